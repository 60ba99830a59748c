package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// stateChangeWindow is how long before a request a state change of its process may still affect it.
	stateChangeWindow = 15 * time.Second
	// maxClockSkew is the assumed maximum difference between the clocks of two instances.
	maxClockSkew    = 3 * time.Second
	maxLogLineBytes = 1 << 20
	// requestMessage is the message of the log line that a gateway writes at the end of each request.
	requestMessage = "request"
)

// RequestNotFoundError reports that the logs contain no line about a request.
type RequestNotFoundError struct{ ID string }

func (e *RequestNotFoundError) Error() string {
	return fmt.Sprintf("no log line is about request %q", e.ID)
}

// logLine is a parsed log line.
type logLine struct {
	at            time.Time
	process, text string
	program, msg  string
	// request is the ID of the request that the line is about, and took the duration of this request.
	request string
	took    time.Duration
}

// requestTrace collects the log lines about one request, and the state changes of the processes.
type requestTrace struct {
	id       string
	requests []logLine
	changes  []logLine
}

// explain prints the trace of a request from log files or standard input.
func explain(_ context.Context, c *cli, args []string) error {
	if len(args) == 0 {
		return &UsageError{Problem: "the ID of a request is needed"}
	}
	trace := requestTrace{id: args[0]}
	if err := c.readLogs(args[1:], trace.read); err != nil {
		return err
	}
	if len(trace.requests) == 0 {
		return &RequestNotFoundError{ID: trace.id}
	}
	trace.print(c.stdout)
	return nil
}

// readLogs calls read with each file in order, or with standard input if there are no files.
func (c *cli) readLogs(names []string, read func(io.Reader) error) error {
	if len(names) == 0 {
		return read(c.stdin)
	}
	for _, name := range names {
		if err := readFile(name, read); err != nil {
			return err
		}
	}
	return nil
}

func readFile(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return read(f)
}

// read collects the lines about the request and the state changes. Every line that is not about a request counts as a
// state change.
func (t *requestTrace) read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLineBytes)
	requestMarker, idMarker := []byte("msg="+requestMessage+" "), []byte("request="+t.id+" ")
	for lines.Scan() {
		line := lines.Bytes()
		start := bytes.Index(line, []byte("time="))
		if start < 0 || (bytes.Contains(line, requestMarker) && !bytes.Contains(line, idMarker)) {
			continue
		}
		l, ok := parseLine(line[start:])
		switch {
		case !ok:
		case l.msg == requestMessage && l.request == t.id:
			t.requests = append(t.requests, l)
		case l.msg != requestMessage:
			t.changes = append(t.changes, l)
		}
	}
	return lines.Err()
}

// parseLine decodes a line; it returns false if the line is malformed or does not name its process.
func parseLine(text []byte) (logLine, bool) {
	l := logLine{text: string(text)}
	dec := logfmt.NewDecoder(bytes.NewReader(text))
	if !dec.ScanRecord() {
		return l, false
	}
	for dec.ScanKeyval() {
		value := string(dec.Value())
		switch string(dec.Key()) {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return l, false
			}
			l.at = at
		case "name":
			l.process = value
		case "program":
			l.program = value
		case "msg":
			l.msg = value
		case "request":
			l.request = value
		case "took":
			took, err := time.ParseDuration(value)
			if err != nil {
				return l, false
			}
			l.took = took
		}
	}
	return l, dec.Err() == nil && l.process != ""
}

// print writes the trace in time order for each process that served the request. Lines of other processes are marked,
// as their clocks may differ.
func (t *requestTrace) print(w io.Writer) {
	sort.SliceStable(t.requests, func(i, j int) bool { return t.requests[i].at.Before(t.requests[j].at) })
	for _, r := range t.requests {
		started := r.at.Add(-r.took)
		printf(w, "request %s at %s, from %s for %v\n", t.id, r.process, started.Format(time.RFC3339Nano), r.took)
		for _, change := range t.relevantChanges(r, started) {
			note := ""
			if change.process != r.process {
				note = " (another clock)"
			}
			printf(w, "  %+9.3fs %s%s: %s\n", change.at.Sub(started).Seconds(), change.process, note, change.text)
		}
		printf(w, "  %+9.3fs %s: %s\n", r.took.Seconds(), r.process, r.text)
	}
}

// relevantChanges returns the state changes that may have affected a request: those of its own process, and those of
// the planners of expert maps while it ran.
func (t *requestTrace) relevantChanges(r logLine, started time.Time) []logLine {
	var out []logLine
	for _, change := range t.changes {
		own := change.process == r.process && !change.at.Before(started.Add(-stateChangeWindow)) && !change.at.After(r.at)
		other := change.program == "rank" && !change.at.Before(started.Add(-maxClockSkew)) && !change.at.After(r.at.Add(maxClockSkew))
		if own || (other && change.process != r.process) {
			out = append(out, change)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at.Before(out[j].at) })
	return out
}
