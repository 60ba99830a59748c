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

// NoStreamsError reports that the logs contain no line about a stream that ended.
type NoStreamsError struct{}

func (e *NoStreamsError) Error() string { return "the logs contain no line about a stream that ended" }

// streamRecord is the content of the log line of a stream that ended.
type streamRecord struct {
	at            time.Time
	group, result string
	// queued is the time in the queue, firstEvent the time to the first event, longestGap the longest gap between two
	// events.
	queued, firstEvent, longestGap time.Duration
}

// bucketKey identifies one second of one group. The group is empty for streams that were assigned to none.
type bucketKey struct {
	second int64 // Unix time.
	group  string
}

// bucket aggregates the streams of one bucketKey.
type bucket struct {
	served, lateFirstEvent, lateGap, queued int
	sumFirstEvent, sumLongestGap            time.Duration
	// notServed counts the other streams by result.
	notServed map[string]int
}

// timeline aggregates the streams in the logs by second and group.
type timeline struct {
	objective, targetGap time.Duration
	buckets              map[bucketKey]*bucket
}

// showTimeline prints the results of the streams that ended, by second and group, from log files or standard input.
func showTimeline(_ context.Context, c *cli, args []string) error {
	t := timeline{objective: c.objective, targetGap: c.targetGap, buckets: map[bucketKey]*bucket{}}
	if err := c.readLogs(args, t.read); err != nil {
		return err
	}
	if len(t.buckets) == 0 {
		return &NoStreamsError{}
	}
	return t.print(c.stdout)
}

// read adds the streams that ended to the timeline.
func (t *timeline) read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLineBytes)
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

// parseStreamRecord decodes a line; it returns false if the line is not about a stream or is malformed.
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
			rec.firstEvent, err = time.ParseDuration(value)
		case "pause":
			rec.longestGap, err = time.ParseDuration(value)
		}
	}
	return rec, err == nil && dec.Err() == nil && kind == "stream" && !rec.at.IsZero()
}

// minQueued is the time in the queue above which a stream counts as queued.
const minQueued = 20 * time.Millisecond

func (t *timeline) add(rec streamRecord) {
	key := bucketKey{second: rec.at.Unix(), group: rec.group}
	b := t.buckets[key]
	if b == nil {
		b = &bucket{notServed: map[string]int{}}
		t.buckets[key] = b
	}
	if rec.result != "ok" {
		b.notServed[rec.result]++
		return
	}
	b.served++
	b.sumFirstEvent += rec.firstEvent
	b.sumLongestGap += rec.longestGap
	b.lateFirstEvent += boolToInt(rec.firstEvent > t.objective)
	b.lateGap += boolToInt(rec.longestGap > t.targetGap)
	b.queued += boolToInt(rec.queued > minQueued)
}

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// print writes a row for each second and group, in this order.
func (t *timeline) print(w io.Writer) error {
	keys := slices.SortedFunc(maps.Keys(t.buckets), func(a, b bucketKey) int {
		return cmp.Or(cmp.Compare(a.second, b.second), strings.Compare(a.group, b.group))
	})
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf(table, "time\tgroup\tserved\tlate first\tlate pause\twaited\tfirst ms\tpause ms\tnot served\n")
	for _, k := range keys {
		b := t.buckets[k]
		printf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", time.Unix(k.second, 0).UTC().Format(time.TimeOnly), cmp.Or(k.group, "-"),
			b.served, b.lateFirstEvent, b.lateGap, b.queued, mean(b.sumFirstEvent, b.served), mean(b.sumLongestGap, b.served),
			formatCounts(b.notServed))
	}
	return table.Flush()
}

// mean returns the mean in whole milliseconds, or 0 if n is 0.
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
