package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/config/cluster/configfile"
)

func commands() map[string]command {
	return map[string]command{
		"apply": {
			args: "-f FILE", summary: "Commit the objects of a file as one change, all or nothing",
			details: "Objects of the file replace those of the same name; others stay. A member \"deletes\" of the file\n" +
				"names objects to delete. An error names file, line and field.",
			run: apply, flags: func(fs *flag.FlagSet, c *cli) {
				fs.StringVar(&c.file, "f", "", "file of objects, - for standard input")
				fs.BoolVar(&c.dryRun, "dry-run", false, "validate and show the differences, commit nothing")
				fs.Int64Var(&c.expected, "expect", 0, "refuse the change unless this is the latest revision; 0 for any")
				changeFlags(fs, c)
			},
		},
		"get": {args: "TYPE/NAME", summary: "Show one object", run: get},
		"list": {
			args: "[TYPE]", summary: "List the objects of one type, or all",
			details: "Types: model, group, server, service, customer, rule, operator, limits.", run: list,
		},
		"diff": {
			args: "-f FILE", summary: "Show what apply of a file would change",
			details: "Exits with 9 when there are differences and -exit-code is given.",
			run:     diff, flags: func(fs *flag.FlagSet, c *cli) {
				fs.StringVar(&c.file, "f", "", "file of objects, - for standard input")
				fs.BoolVar(&c.failOnDiff, "exit-code", false, "exit with 9 when there are differences")
			},
		},
		"delete": {
			args: "TYPE/NAME...", summary: "Delete objects as one change", run: remove,
			flags: func(fs *flag.FlagSet, c *cli) {
				fs.BoolVar(&c.dryRun, "dry-run", false, "validate and show the differences, commit nothing")
				fs.Int64Var(&c.expected, "expect", 0, "refuse the change unless this is the latest revision; 0 for any")
				changeFlags(fs, c)
			},
		},
		"history": {
			summary: "Show committed changes, the newest first", run: history,
			flags: func(fs *flag.FlagSet, c *cli) {
				fs.IntVar(&c.limit, "n", 50, "number of changes, at most 1000")
				fs.Int64Var(&c.revision, "before", 0, "only changes before this revision; 0 for the newest")
			},
		},
		"rollback": {
			args: "REVISION", summary: "Commit, as a new revision, the objects as they were at a revision",
			run: rollback, flags: changeFlags,
		},
		"drain": {
			args: "SERVER", summary: "Give a backend server no new work", run: drain(false), flags: operationFlag,
		},
		"undrain": {
			args: "SERVER", summary: "End the drain of a backend server", run: drain(true), flags: operationFlag,
		},
		"status": {summary: "Show the active revision of each process", run: status},
		"watch": {
			summary: "Show changes as the entry applies them, until interrupted", run: watch,
			flags: func(fs *flag.FlagSet, c *cli) {
				fs.Int64Var(&c.revision, "after", 0, "first show the changes after this revision; 0 for new ones only")
			},
		},
		"config": {
			args: "check FILE", summary: "Check a file of the platform's configuration op/config", offline: true,
			details: "Prints errors, warnings and, with -against, differences. Exits with 1 if there are errors or warnings,\n" +
				"and with 2 if a file or the other configuration cannot be read. Keys are never printed.",
			run: checkConfig, flags: checkFlags,
		},
		"hash-key": {
			summary: "Read a key from standard input and print its SHA-256 for the configuration", offline: true, run: hashKey,
		},
		"explain": {
			args: "ID [FILE...]", summary: "Show what led to the result of one request, from log files or standard input", offline: true,
			details: "Prints the request's log lines, and the state changes of its gateway and of expert map planners that may affect it.",
			run:     explain,
		},
		"timeline": {
			args: "[FILE...]", summary: "Show when streams were late or refused, from log files or standard input", offline: true,
			details: "Prints, for each second and each group of model engines, how many of the streams that ended were served, how\n" +
				"many of these were late because of their first event or a pause, and how many were not served, by reason.",
			run: showTimeline, flags: timelineFlags,
		},
	}
}

func timelineFlags(fs *flag.FlagSet, c *cli) {
	const defaultObjective, defaultTargetGap = 500 * time.Millisecond, 120 * time.Millisecond
	fs.DurationVar(&c.objective, "objective", defaultObjective, "time to the first event above which a stream is late")
	fs.DurationVar(&c.targetGap, "pause", defaultTargetGap, "gap between two events above which a stream is late")
}

func changeFlags(fs *flag.FlagSet, c *cli) {
	fs.StringVar(&c.comment, "m", "", "comment kept with the change")
	operationFlag(fs, c)
}

func operationFlag(fs *flag.FlagSet, c *cli) {
	fs.StringVar(&c.operation, "operation", "",
		"operation ID; a repeat with the same ID is never applied twice (default: a new one)")
}

// operationID returns the operation ID that the operator has given, or else a new one for this invocation.
func (c *cli) operationID() string {
	if c.operation == "" {
		c.operation = uuid.NewString()
	}
	return c.operation
}

// readFileFlag reads the file of the flag -f.
func (c *cli) readFileFlag(args []string) (*configfile.File, error) {
	if c.file == "" || len(args) > 0 {
		return nil, &UsageError{Problem: "exactly one -f FILE and no other argument is needed"}
	}
	return configfile.Read(c.file)
}

func apply(ctx context.Context, c *cli, args []string) error {
	f, err := c.readFileFlag(args)
	if err != nil {
		return err
	}
	resp, err := c.client.Apply(ctx, connect.NewRequest(&operatorv1.ApplyRequest{
		OperationId: c.operationID(), ExpectedRevision: c.expected, Upserts: f.Upserts, Deletes: f.Deletes,
		Comment: c.comment, DryRun: c.dryRun,
	}))
	if err != nil {
		return &fileError{file: f, cause: err}
	}
	return c.showApplied(resp.Msg)
}

func parseRef(text string) (*operatorv1.ObjectRef, error) {
	kind, name, _ := strings.Cut(text, "/")
	if kind == string(cluster.TypeLimits) {
		name = cluster.LimitsName
	}
	if !slices.Contains(cluster.Types, cluster.Type(kind)) || name == "" {
		return nil, &UsageError{Problem: fmt.Sprintf("%q is not TYPE/NAME; types are %v", text, cluster.Types)}
	}
	return &operatorv1.ObjectRef{Type: kind, Name: name}, nil
}

func get(ctx context.Context, c *cli, args []string) error {
	if len(args) != 1 {
		return &UsageError{Problem: "exactly one TYPE/NAME is needed"}
	}
	ref, err := parseRef(args[0])
	if err != nil {
		return err
	}
	resp, err := c.client.Get(ctx, connect.NewRequest(&operatorv1.GetRequest{Ref: ref}))
	if err != nil {
		return err
	}
	return c.showObject(resp.Msg)
}

func list(ctx context.Context, c *cli, args []string) error {
	if len(args) > 1 {
		return &UsageError{Problem: "at most one TYPE may be given"}
	}
	req := &operatorv1.ListRequest{}
	if len(args) == 1 {
		req.Type = args[0]
	}
	resp, err := c.client.List(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	return c.showList(resp.Msg)
}

func diff(ctx context.Context, c *cli, args []string) error {
	f, err := c.readFileFlag(args)
	if err != nil {
		return err
	}
	resp, err := c.client.Diff(ctx, connect.NewRequest(&operatorv1.DiffRequest{Upserts: f.Upserts, Deletes: f.Deletes}))
	if err != nil {
		return &fileError{file: f, cause: err}
	}
	if err := c.showDiff(resp.Msg); err != nil {
		return err
	}
	if c.failOnDiff && len(resp.Msg.GetDifferences()) > 0 {
		return &differsError{}
	}
	return nil
}

func remove(ctx context.Context, c *cli, args []string) error {
	if len(args) == 0 {
		return &UsageError{Problem: "at least one TYPE/NAME is needed"}
	}
	req := &operatorv1.ApplyRequest{
		OperationId: c.operationID(), ExpectedRevision: c.expected, Comment: c.comment, DryRun: c.dryRun,
	}
	for _, a := range args {
		ref, err := parseRef(a)
		if err != nil {
			return err
		}
		req.Deletes = append(req.Deletes, ref)
	}
	resp, err := c.client.Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	return c.showApplied(resp.Msg)
}

func history(ctx context.Context, c *cli, _ []string) error {
	resp, err := c.client.History(ctx, connect.NewRequest(&operatorv1.HistoryRequest{
		Limit: int32(min(max(c.limit, 0), 1000)), BeforeRevision: c.revision,
	}))
	if err != nil {
		return err
	}
	return c.showHistory(resp.Msg)
}

func rollback(ctx context.Context, c *cli, args []string) error {
	if len(args) != 1 {
		return &UsageError{Problem: "exactly one REVISION is needed"}
	}
	revision, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil {
		return &UsageError{Problem: fmt.Sprintf("%q is not a revision", args[0])}
	}
	resp, err := c.client.Rollback(ctx, connect.NewRequest(&operatorv1.RollbackRequest{
		OperationId: c.operationID(), ToRevision: revision, Comment: c.comment,
	}))
	if err != nil {
		return err
	}
	return c.showApplied(resp.Msg)
}

func drain(undo bool) func(context.Context, *cli, []string) error {
	return func(ctx context.Context, c *cli, args []string) error {
		if len(args) != 1 {
			return &UsageError{Problem: "exactly one SERVER is needed"}
		}
		resp, err := c.client.Drain(ctx, connect.NewRequest(&operatorv1.DrainRequest{
			OperationId: c.operationID(), Server: args[0], Undo: undo,
		}))
		if err != nil {
			return err
		}
		return c.showApplied(resp.Msg)
	}
}

func status(ctx context.Context, c *cli, _ []string) error {
	resp, err := c.client.Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
	if err != nil {
		return err
	}
	return c.showStatus(resp.Msg)
}

func watch(ctx context.Context, c *cli, _ []string) error {
	stream, err := c.client.Watch(ctx, connect.NewRequest(&operatorv1.WatchRequest{AfterRevision: c.revision}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		if err := c.showChange(stream.Msg()); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return nil // A watch normally ends with an interrupt.
	}
	return stream.Err()
}

func hashKey(_ context.Context, c *cli, _ []string) error {
	in := bufio.NewScanner(c.stdin)
	if !in.Scan() || in.Text() == "" {
		return &UsageError{Problem: "a key is expected on standard input"}
	}
	sum := sha256.Sum256([]byte(in.Text()))
	_, err := fmt.Fprintln(c.stdout, hex.EncodeToString(sum[:]))
	return err
}
