package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-logfmt/logfmt"
)

// NoStreamError says that the logs have no line of a stream that ended.
type NoStreamError struct{}

func (e *NoStreamError) Error() string { return "the logs have no line of a stream that ended" }

// ended is what one log line says of a stream that ended.
type ended struct {
	at            time.Time
	group, result string
	// queued, first and pause are the wait for a place, the time to the first event and the longest pause.
	queued, first, pause time.Duration
}

// slot is one second of one group; streams that were in none have an empty one.
type slot struct {
	second int64 // Unix time.
	group  string
}

// tally sums up the streams that ended in a slot.
type tally struct {
	served, lateFirst, latePause, queued int
	first, pause                         time.Duration
	// refused counts the others by result.
	refused map[string]int
}

// timeline holds the streams of some logs by second and group.
type timeline struct {
	objective, maxPause time.Duration
	slots               map[slot]*tally
}

// showTimeline prints, for each second and group, what became of the streams that ended, from log files or standard input.
func showTimeline(_ context.Context, c *cli, args []string) error {
	t := timeline{objective: c.objective, maxPause: c.maxPause, slots: map[slot]*tally{}}
	if err := c.readLogs(args, t.read); err != nil {
		return err
	}
	if len(t.slots) == 0 {
		return &NoStreamError{}
	}
	return t.print(c.stdout)
}

// read takes the lines of streams that ended.
func (t *timeline) read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		line := lines.Bytes()
		start := bytes.Index(line, []byte("time="))
		if start < 0 || !bytes.Contains(line, []byte("msg="+requestLine+" ")) {
			continue
		}
		if e, ok := parseEnded(line[start:]); ok {
			t.add(e)
		}
	}
	return lines.Err()
}

// parseEnded decodes a line, and returns false for one that is not of a stream or cannot be read.
func parseEnded(text []byte) (ended, bool) {
	e := ended{}
	kind := ""
	dec := logfmt.NewDecoder(bytes.NewReader(text))
	if !dec.ScanRecord() {
		return e, false
	}
	var err error
	for dec.ScanKeyval() && err == nil {
		value := string(dec.Value())
		switch string(dec.Key()) {
		case "time":
			e.at, err = time.Parse(time.RFC3339Nano, value)
		case "kind":
			kind = value
		case "result":
			e.result = value
		case "group":
			e.group = value
		case "queued":
			e.queued, err = time.ParseDuration(value)
		case "first":
			e.first, err = time.ParseDuration(value)
		case "pause":
			e.pause, err = time.ParseDuration(value)
		}
	}
	return e, err == nil && dec.Err() == nil && kind == "stream" && !e.at.IsZero()
}

// waited is the wait for a place from which a stream counts as one that waited.
const waited = 20 * time.Millisecond

func (t *timeline) add(e ended) {
	key := slot{second: e.at.Unix(), group: e.group}
	s := t.slots[key]
	if s == nil {
		s = &tally{refused: map[string]int{}}
		t.slots[key] = s
	}
	if e.result != "ok" {
		s.refused[e.result]++
		return
	}
	s.served++
	s.first += e.first
	s.pause += e.pause
	s.lateFirst += count(e.first > t.objective)
	s.latePause += count(e.pause > t.maxPause)
	s.queued += count(e.queued > waited)
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// print writes a line for each second and group, in their order.
func (t *timeline) print(w io.Writer) error {
	keys := slices.SortedFunc(maps.Keys(t.slots), func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.second, b.second), strings.Compare(a.group, b.group))
	})
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf(table, "time\tgroup\tserved\tlate first\tlate pause\twaited\tfirst ms\tpause ms\tnot served\n")
	for _, k := range keys {
		s := t.slots[k]
		printf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", time.Unix(k.second, 0).UTC().Format(time.TimeOnly), cmp.Or(k.group, "-"),
			s.served, s.lateFirst, s.latePause, s.queued, mean(s.first, s.served), mean(s.pause, s.served), reasons(s.refused))
	}
	return table.Flush()
}

// mean returns a mean in milliseconds, 0 of none.
func mean(sum time.Duration, n int) int64 {
	if n == 0 {
		return 0
	}
	return (sum / time.Duration(n)).Milliseconds()
}

func reasons(counts map[string]int) string {
	var out []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s %d", reason, counts[reason]))
	}
	return strings.Join(out, ", ")
}
