package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const streamLogs = `  1.2 front-1 time=2026-01-01T00:00:01.2Z level=info msg=request program=gateway name=front-1 request=a kind=stream result=ok queued=0s first=200ms pause=90ms group=g0
time=2026-01-01T00:00:01.9Z level=info msg=request program=gateway name=front-2 request=b kind=stream result=ok queued=300ms first=600ms pause=150ms group=g0
time=2026-01-01T00:00:01.5Z level=info msg=request program=gateway name=front-2 request=c kind=stream result=overloaded queued=0s first=0s pause=0s group=
time=2026-01-01T00:00:02.5Z level=info msg=request program=gateway name=front-2 request=d kind=stream result=ok queued=0s first=100ms pause=50ms group=g1
time=2026-01-01T00:00:01.5Z level=info msg=request program=gateway name=front-2 request=e kind=once result=ok
time=2026-01-01T00:00:01.5Z level=info msg=request program=gateway name=front-2 request=f kind=stream result=ok first=broken
`

// Guards against a table that counts requests other than streams, omits groups or does not distinguish late streams.
func TestTimelineShowsLateAndRefusedStreams(t *testing.T) {
	var out, errs bytes.Buffer
	code := run(context.Background(), []string{"timeline", "-pause", "120ms"}, strings.NewReader(streamLogs), &out, &errs)
	require.Equal(t, exitOK, code, errs.String())
	var rows [][]string
	for line := range strings.Lines(out.String()) {
		rows = append(rows, strings.Fields(line))
	}
	require.Equal(t, [][]string{
		{"00:00:01", "-", "0", "0", "0", "0", "0", "0", "overloaded", "1"},
		{"00:00:01", "g0", "2", "1", "1", "1", "400", "120"},
		{"00:00:02", "g1", "1", "0", "0", "0", "100", "50"},
	}, rows[1:])
	require.Equal(t, exitFailed, run(context.Background(), []string{"timeline"}, strings.NewReader("nothing"), &out, &errs))
	require.Equal(t, exitUsage, run(context.Background(), []string{"timeline", "-pause", "soon"}, strings.NewReader(""), &out, &errs))
}
