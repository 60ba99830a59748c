package main

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/config/cluster/configfile"
	"lavendermoor.example/config/settings"
	"lavendermoor.example/telemetry/buildinfo"
)

// fileError is an error that the server reports about the content of a file.
type fileError struct {
	file  *configfile.File
	cause error
}

func (e *fileError) Error() string { return e.cause.Error() }

func (e *fileError) Unwrap() error { return e.cause }

// differsError makes diff exit with exitDiffers.
type differsError struct{}

func (e *differsError) Error() string { return "the configuration differs" }

var exitByCode = map[connect.Code]int{
	connect.CodeInvalidArgument:    exitInvalid,
	connect.CodeAborted:            exitConflict,
	connect.CodeFailedPrecondition: exitConflict,
	connect.CodeUnavailable:        exitUnavailable,
	connect.CodeUnauthenticated:    exitDenied,
	connect.CodePermissionDenied:   exitDenied,
	connect.CodeNotFound:           exitNotFound,
	connect.CodeUnknown:            exitUnknown,
	connect.CodeDeadlineExceeded:   exitUnknown,
	connect.CodeCanceled:           exitUnknown,
}

// report prints an error and returns the exit code.
func (c *cli) report(name string, err error) int {
	var usage *UsageError
	var file *settings.Error
	var differs *differsError
	var input *InputError
	var findings *FindingsError
	switch {
	case errors.As(err, &input):
		printf(c.stderr, "lavendermoorctl %s: %v\n", name, err)
		return exitUsage
	case errors.As(err, &findings):
		return exitFailed
	case errors.As(err, &usage):
		printf(c.stderr, "lavendermoorctl %s: %v; see lavendermoorctl help %s\n", name, err, name)
		return exitUsage
	case errors.As(err, &file):
		printf(c.stderr, "%v\n", err)
		return exitUsage
	case errors.As(err, &differs):
		return exitDiffers
	}
	return c.reportRPC(name, err)
}

func (c *cli) reportRPC(name string, err error) int {
	var rpc *connect.Error
	if !errors.As(err, &rpc) {
		printf(c.stderr, "lavendermoorctl %s: %v\n", name, err)
		return exitFailed
	}
	code, ok := exitByCode[rpc.Code()]
	if !ok {
		code = exitFailed
	}
	if c.reportDetails(err, rpc) {
		return code
	}
	printf(c.stderr, "lavendermoorctl %s: %s: %s\n", name, rpc.Code(), rpc.Message())
	// After an error on the client side the outcome is unknown, unless the connection was refused.
	if code == exitUnavailable && !connect.IsWireError(err) && !errors.Is(err, syscall.ECONNREFUSED) && c.operation != "" {
		code = exitUnknown
	}
	if code == exitUnknown && c.operation != "" {
		printf(c.stderr, "repeat the command with -operation %s\n", c.operation)
	}
	return code
}

// reportDetails prints the typed details of an error; it returns false if there are none.
func (c *cli) reportDetails(err error, rpc *connect.Error) bool {
	found := false
	for _, d := range rpc.Details() {
		v, valueErr := d.Value()
		if valueErr != nil {
			continue
		}
		switch m := v.(type) {
		case *operatorv1.ConflictDetail:
			printf(c.stderr, "another change won: revision %d by %s, operation %s: %s\n",
				m.GetRevision(), m.GetAuthor(), m.GetOperationId(), m.GetComment())
			found = true
		case *operatorv1.ValidationDetail:
			for _, f := range m.GetErrors() {
				printf(c.stderr, "%s\n", c.formatFieldError(err, f))
			}
			found = true
		}
	}
	return found
}

// formatFieldError returns the text of an invalid field, with its position if it comes from a file.
func (c *cli) formatFieldError(err error, f *operatorv1.FieldError) string {
	ref := cluster.RefFromProto(f.GetRef())
	var inFile *fileError
	if errors.As(err, &inFile) {
		if e, ok := inFile.file.Locate(ref, f.GetField(), f.GetProblem()); ok {
			return e.Error()
		}
	}
	return fmt.Sprintf("%s: %s: %s", ref, f.GetField(), f.GetProblem())
}

// json prints a message as JSON.
func (c *cli) json(m proto.Message) error {
	raw, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "%s\n", raw)
	return err
}

// table prints rows, or the message as JSON if that is the output format.
func (c *cli) table(m proto.Message, rows func(w io.Writer)) error {
	if c.output == "json" {
		return c.json(m)
	}
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

func (c *cli) showApplied(m *operatorv1.ApplyResponse) error {
	return c.table(m, func(w io.Writer) {
		switch {
		case c.dryRun:
			printf(w, "valid at revision %d; nothing committed\n", m.GetRevision())
		case m.GetRepeatedOperation():
			printf(w, "operation had been committed as revision %d\n", m.GetRevision())
		default:
			printf(w, "committed as revision %d\n", m.GetRevision())
		}
		if len(m.GetDifferences()) == 0 && !m.GetRepeatedOperation() {
			printf(w, "no differences\n")
		}
		differenceRows(w, m.GetDifferences())
	})
}

func (c *cli) showDiff(m *operatorv1.DiffResponse) error {
	return c.table(m, func(w io.Writer) {
		if len(m.GetDifferences()) == 0 {
			printf(w, "no differences to revision %d\n", m.GetRevision())
		}
		differenceRows(w, m.GetDifferences())
	})
}

func differenceRows(w io.Writer, ds []*operatorv1.Difference) {
	for _, d := range ds {
		ref := cluster.RefFromProto(d.GetRef())
		switch {
		case d.GetBefore() == nil:
			printf(w, "+ %s\t%s\n", ref, compact(d.GetAfter()))
		case d.GetAfter() == nil:
			printf(w, "- %s\t%s\n", ref, compact(d.GetBefore()))
		default:
			printf(w, "- %s\t%s\n", ref, compact(d.GetBefore()))
			printf(w, "+ %s\t%s\n", ref, compact(d.GetAfter()))
		}
	}
}

// compact returns an object as JSON on one line.
func compact(o *operatorv1.Object) string {
	raw, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(o)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

func (c *cli) showObject(m *operatorv1.GetResponse) error {
	if c.output == "json" {
		return c.json(m)
	}
	return c.json(m.GetObject())
}

func (c *cli) showList(m *operatorv1.ListResponse) error {
	return c.table(m, func(w io.Writer) {
		printf(w, "OBJECT\tCONTENT (revision %d)\n", m.GetRevision())
		for _, o := range m.GetObjects() {
			printf(w, "%s\t%s\n", cluster.RefOf(o), compact(o))
		}
	})
}

func timeText(unixMs int64) string { return time.UnixMilli(unixMs).UTC().Format(time.RFC3339) }

func (c *cli) showHistory(m *operatorv1.HistoryResponse) error {
	return c.table(m, func(w io.Writer) {
		printf(w, "REVISION\tTIME\tAUTHOR\tOBJECTS\tOPERATION\tCOMMENT\n")
		for _, h := range m.GetChanges() {
			changeRow(w, h)
		}
	})
}

func changeRow(w io.Writer, h *operatorv1.Change) {
	printf(w, "%d\t%s\t%s\t+%d -%d\t%s\t%s\n", h.GetRevision(), timeText(h.GetTimeUnixMs()), h.GetAuthor(),
		len(h.GetUpserts()), len(h.GetDeletes()), h.GetOperationId(), h.GetComment())
}

func (c *cli) showChange(m *operatorv1.WatchResponse) error {
	return c.table(m, func(w io.Writer) { changeRow(w, m.GetChange()) })
}

func (c *cli) showStatus(m *operatorv1.StatusResponse) error {
	return c.table(m, func(w io.Writer) {
		printf(w, "latest revision known: %d\n", m.GetRevision())
		printf(w, "NAME\tPROGRAM\tADDRESS\tREVISION\tDRAINING\tBUILD\tPROBLEM\n")
		for _, p := range m.GetProcesses() {
			problem := p.GetError()
			if problem == "" {
				problem = p.GetRefused()
			}
			printf(w, "%s\t%s\t%s\t%d\t%t\t%s\t%s\n", p.GetName(), p.GetProgram(), p.GetAddress(),
				p.GetRevisionInForce(), p.GetDraining(), buildText(p.GetBuild()), problem)
		}
	})
}

// buildText returns the build of a process for a table. A process that could not be asked, or does not tell, has none.
func buildText(b *operatorv1.Build) string {
	if b == nil {
		return buildinfo.Unknown
	}
	return buildinfo.Info{Revision: b.GetRevision(), BuildID: b.GetId()}.Short()
}
