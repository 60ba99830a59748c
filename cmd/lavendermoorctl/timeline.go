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

// NoStreamsError says that the logs have no line of a stream that ended.
type NoStreamsError struct{}

func (e *NoStreamsError) Error() string { return "the logs have no line of a stream that ended" }

// streamRecord is what one log line says of a stream that streamRecord.
type streamRecord struct {
	at            time.Time
	group, result string
	// queued, first and pause are the wait for a place, the time to the first event and the longest pause.
	queued, first, pause time.Duration
}

// bucketKey is one second of one group; streams that were in none have an empty one.
type bucketKey struct {
	second int64 // Unix time.
	group  string
}

// bucket sums up the streams that ended in a slot.
type bucket struct {
	served, lateFirst, latePause, queued int
	first, pause                         time.Duration
	// refused counts the others by result.
	refused map[string]int
}

// timeline holds the streams of some logs by second and group.
type timeline struct {
	objective, maxPause time.Duration
	buckets             map[bucketKey]*bucket
}

// showTimeline prints, for each second and group, what became of the streams that ended, from log files or standard input.
func showTimeline(_ context.Context, c *cli, args []string) error {
	t := timeline{objective: c.objective, maxPause: c.maxPause, buckets: map[bucketKey]*bucket{}}
	if err := c.readLogs(args, t.read); err != nil {
		return err
	}
	if len(t.buckets) == 0 {
		return &NoStreamsError{}
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
		if start < 0 || !bytes.Contains(line, []byte("msg="+requestMessage+" ")) {
			continue
		}
		if rec, ok := parseStreamRecord(line[start:]); ok {
			t.add(rec)
		}
	}
	return lines.Err()
}

// parseStreamRecord decodes a line, and returns false for one that is not of a stream or cannot be read.
func parseStreamRecord(text []byte) (streamRecord, bool) {
	rec := streamRecord{}
	kind := ""
	dec := logfmt.NewDecoder(bytes.NewReader(text))
	if !dec.ScanRecord() {
		return rec, false
	}
	var err error
	for dec.ScanKeyval() && err == nil {
		value := string(dec.Value())
		switch string(dec.Key()) {
		case "time":
			rec.at, err = time.Parse(time.RFC3339Nano, value)
		case "kind":
			kind = value
		case "result":
			rec.result = value
		case "group":
			rec.group = value
		case "queued":
			rec.queued, err = time.ParseDuration(value)
		case "first":
			rec.first, err = time.ParseDuration(value)
		case "pause":
			rec.pause, err = time.ParseDuration(value)
		}
	}
	return rec, err == nil && dec.Err() == nil && kind == "stream" && !rec.at.IsZero()
}

// minQueued is the wait for a place from which a stream counts as one that minQueued.
const minQueued = 20 * time.Millisecond

func (t *timeline) add(rec streamRecord) {
	key := bucketKey{second: rec.at.Unix(), group: rec.group}
	s := t.buckets[key]
	if s == nil {
		s = &bucket{refused: map[string]int{}}
		t.buckets[key] = s
	}
	if rec.result != "ok" {
		s.refused[rec.result]++
		return
	}
	s.served++
	s.first += rec.first
	s.pause += rec.pause
	s.lateFirst += boolToInt(rec.first > t.objective)
	s.latePause += boolToInt(rec.pause > t.maxPause)
	s.queued += boolToInt(rec.queued > minQueued)
}

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// print writes a line for each second and group, in their order.
func (t *timeline) print(w io.Writer) error {
	keys := slices.SortedFunc(maps.Keys(t.buckets), func(a, b bucketKey) int {
		return cmp.Or(cmp.Compare(a.second, b.second), strings.Compare(a.group, b.group))
	})
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf(table, "time\tgroup\tserved\tlate first\tlate pause\twaited\tfirst ms\tpause ms\tnot served\n")
	for _, k := range keys {
		s := t.buckets[k]
		printf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", time.Unix(k.second, 0).UTC().Format(time.TimeOnly), cmp.Or(k.group, "-"),
			s.served, s.lateFirst, s.latePause, s.queued, mean(s.first, s.served), mean(s.pause, s.served), formatCounts(s.refused))
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

func formatCounts(counts map[string]int) string {
	var out []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s %d", reason, counts[reason]))
	}
	return strings.Join(out, ", ")
}
