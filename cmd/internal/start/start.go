// Package start holds the common parts of the daemons' main functions: flags, settings, signals and exit codes.
package start

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"lavendermoor.example/config/settings"
	"lavendermoor.example/telemetry"
	"lavendermoor.example/telemetry/buildinfo"
)

// VersionFlag declares the flag -version. After parsing, the returned function prints the build of the program and
// returns true if the flag is set.
func VersionFlag(fs *flag.FlagSet) func() bool {
	requested := fs.Bool("version", false, "print the version, then exit")
	return func() bool {
		if *requested {
			fmt.Println(fs.Name(), buildinfo.Current())
		}
		return *requested
	}
}

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// settingsEnv is the environment variable with the default of -config.
const settingsEnv = "LAVENDERMOOR_SETTINGS"

// Main runs a daemon and returns its exit code. It reads the settings file into s, a pointer to the defaults, and calls
// run with a context that ends at SIGTERM or SIGINT. It returns 2 for invalid flags or settings, without calling run.
func Main(name string, args []string, s any, run func(context.Context) error) int {
	return MainWithSettingsFile(name, args, s, func(ctx context.Context, _ string) error { return run(ctx) })
}

// MainWithSettingsFile is Main for a daemon that watches its settings file. It passes the file's path to run.
func MainWithSettingsFile(name string, args []string, s any, run func(ctx context.Context, file string) error) int {
	ctx, stop := HandleSignals()
	defer stop()
	stderr, flush := telemetry.StartLogWriter(ctx, os.Stderr)
	defer flush()
	log.SetOutput(stderr) // net/http writes to this logger.
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("config", os.Getenv(settingsEnv),
		"settings `FILE`, JSON with comments; the default comes from "+settingsEnv)
	check := flags.Bool("check-config", false, "check the settings, then exit with 0 or 2")
	printConfig := flags.Bool("print-config", false, "print the settings with defaults, then exit")
	version := VersionFlag(flags)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitSettings
	}
	if version() {
		return exitOK
	}
	if code := loadSettings(stderr, *file, *printConfig, s); code != exitOK {
		return code
	}
	switch {
	case *printConfig:
		return printSettings(os.Stdout, s)
	case *check:
		return exitOK
	}
	err := run(ctx, *file)
	if err == nil || (ctx.Err() != nil && errors.Is(err, context.Canceled)) {
		return exitOK // A stop during the start is no failure.
	}
	return Fail(stderr, name, instanceName(s), err)
}

// instanceName returns the name in settings that have one, for the log.
func instanceName(settings any) string {
	if named, ok := settings.(interface{ InstanceName() string }); ok {
		return named.InstanceName()
	}
	return ""
}

// HandleSignals returns a context that ends at SIGTERM or SIGINT; stop releases it. A process that has called it is not
// ended by SIGHUP, which daemons without a settings file to watch ignore, or by SIGPIPE, when the reader of its output
// goes away.
func HandleSignals() (ctx context.Context, stop func()) {
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// Fail logs the error that ends a program against its will to stderr, and returns the exit code.
func Fail(stderr io.Writer, program, instance string, cause error) int {
	logger, _, err := telemetry.NewLogger(stderr, program, instance, zap.ErrorLevel.String())
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, cause)
		return exitFailed
	}
	logger.Error("process failed", zap.Error(cause))
	return exitFailed
}

func loadSettings(w io.Writer, file string, optional bool, s any) int {
	if file == "" {
		if optional {
			return exitOK
		}
		fmt.Fprintln(w, "the flag -config is required")
		return exitSettings
	}
	if err := settings.Load(file, s); err != nil {
		fmt.Fprintln(w, err)
		return exitSettings
	}
	return exitOK
}

func printSettings(w io.Writer, s any) int {
	text, err := settings.FormatJSON(s)
	if err != nil {
		fmt.Fprintln(w, err)
		return exitFailed
	}
	fmt.Fprintln(w, string(text))
	return exitOK
}
