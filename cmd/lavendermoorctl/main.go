// Command lavendermoorctl reads and changes the cluster configuration through the operator RPC of any entry.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"lavendermoor.example/api/operatorv1/operatorv1connect"
	"lavendermoor.example/telemetry/buildinfo"
)

// Exit codes; exitHelp describes them.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitDenied      = 6
	exitNotFound    = 7
	exitUnknown     = 8
	exitDiffers     = 9
)

const exitHelp = `Exit codes: 0 done, 1 other failure, 2 wrong usage or unreadable file, 3 configuration not valid, 4 another change
won or is in progress, 5 key-value service or entry not reachable and nothing changed, 6 key not accepted or role
too low, 7 object or revision not found, 8 the change may have taken effect (repeat with the same -operation),
9 diff found differences.`

// command is one subcommand.
type command struct {
	args    string
	summary string
	// details is part of the command's help text.
	details string
	// offline commands need no entry.
	offline bool
	run     func(ctx context.Context, c *cli, args []string) error
	// flags declares the command's flags.
	flags func(fs *flag.FlagSet, c *cli)
}

// cli holds the state of one invocation.
type cli struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	client         operatorv1connect.OperatorServiceClient

	server, key, output  string
	file, operation      string
	comment              string
	dryRun, failOnDiff   bool
	expected, revision   int64
	limit                int
	objective, targetGap time.Duration
	against              string
	jsonFindings         bool
	memoryMB             int64
}

// UsageError reports an invalid command line.
type UsageError struct{ Problem string }

func (e *UsageError) Error() string { return e.Problem }

// printf writes output to the terminal. Write errors are ignored, as there is nowhere else to report them.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	c := &cli{stdin: stdin, stdout: stdout, stderr: stderr}
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		return c.help(args)
	}
	if args[0] == "version" || args[0] == "-version" || args[0] == "--version" {
		printf(stdout, "lavendermoorctl %s\n", buildinfo.Current())
		return exitOK
	}
	cmd, ok := commands()[args[0]]
	if !ok {
		printf(stderr, "lavendermoorctl: unknown command %q; see lavendermoorctl help\n", args[0])
		return exitUsage
	}
	rest, code, ok := c.parse(args[0], cmd, args[1:])
	if !ok {
		return code
	}
	if err := cmd.run(ctx, c, rest); err != nil {
		return c.report(args[0], err)
	}
	return exitOK
}

func (c *cli) help(args []string) int {
	if len(args) > 1 {
		if cmd, ok := commands()[args[1]]; ok {
			c.flagSet(args[1], cmd, c.stdout).Usage()
			return exitOK
		}
	}
	printf(c.stdout, "lavendermoorctl reads and changes the configuration of a lavendermoor cluster.\n\nCommands:\n")
	cmds := commands()
	names := make([]string, 0, len(cmds))
	for name := range cmds {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		printf(c.stdout, "  %-10s %s\n", name, cmds[name].summary)
	}
	printf(c.stdout, "\nlavendermoorctl help COMMAND describes a command and its flags, --version prints the version.\n\n%s\n", exitHelp)
	if len(args) == 0 {
		return exitUsage
	}
	return exitOK
}

func (c *cli) flagSet(name string, cmd command, out io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(out)
	if !cmd.offline {
		fs.StringVar(&c.server, "server", envOr("LAVENDERMOOR_SERVER", "http://127.0.0.1:8080"),
			"URL of an entry (or LAVENDERMOOR_SERVER)")
		fs.StringVar(&c.output, "o", "table", "output format: table or json")
	}
	if cmd.flags != nil {
		cmd.flags(fs, c)
	}
	fs.Usage = func() {
		printf(out, "usage: lavendermoorctl %s [flags] %s\n\n%s. %s\n\nFlags:\n", name, cmd.args, cmd.summary, cmd.details)
		fs.PrintDefaults()
		if !cmd.offline {
			printf(out, "\nThe operator key is read from the environment variable LAVENDERMOOR_KEY.\n")
		}
		printf(out, "\n%s\n", exitHelp)
	}
	return fs
}

func envOr(name, def string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return def
}

// parse returns the arguments without the flags, which may precede or follow them. If ok is false, the command must not
// run, and code is the exit code.
func (c *cli) parse(name string, cmd command, args []string) (rest []string, code int, ok bool) {
	fs := c.flagSet(name, cmd, c.stderr)
	for {
		if err := fs.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, exitOK, false
			}
			return nil, exitUsage, false
		}
		if fs.NArg() == 0 {
			break
		}
		rest = append(rest, fs.Arg(0))
		args = fs.Args()[1:]
	}
	if cmd.offline {
		return rest, exitOK, true
	}
	if c.output != "table" && c.output != "json" {
		printf(c.stderr, "lavendermoorctl: -o must be table or json\n")
		return nil, exitUsage, false
	}
	c.key = os.Getenv("LAVENDERMOOR_KEY")
	c.client = operatorv1connect.NewOperatorServiceClient(http.DefaultClient, c.server,
		connect.WithInterceptors(bearer(c.key)))
	return rest, exitOK, true
}

// bearer adds the operator key to each call.
type bearer string

// WrapUnary implements connect.Interceptor.
func (b bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		req.Header().Set("Authorization", "Bearer "+string(b))
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (b bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", "Bearer "+string(b))
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (b bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
