package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const explainLogs = `   0.1 front-1 time=2026-01-01T00:00:01Z level=info msg="configuration in force" program=gateway name=front-1 config_version=3
time=2026-01-01T00:00:02Z level=info msg=request program=gateway name=front-1 request=other took=10ms result=ok
time=2026-01-01T00:00:02.5Z level=info msg="backend server removed" program=gateway name=front-2 server=i-1
time=2026-01-01T00:00:03Z level=info msg="expert map switched" program=rank name=side-1 version=4
not a line of ours
time=2026-01-01T00:00:04Z level=info msg=request program=gateway name=front-1 request=wanted took=1.5s result=overloaded detail="24 of 24 streams are in flight"
time=2026-01-01T00:00:05Z level=warn msg="key-value service lost" program=gateway name=front-1 prefix=op/
`

// Guards against a trace that includes other requests or state changes of unrelated processes, or that omits the lines
// that explain the result.
func TestExplainShowsOneRequest(t *testing.T) {
	var out, errs bytes.Buffer
	code := run(context.Background(), []string{"explain", "wanted"}, strings.NewReader(explainLogs), &out, &errs)
	require.Equal(t, exitOK, code, errs.String())
	text := out.String()
	require.Contains(t, text, "config_version=3")
	require.Contains(t, text, "24 of 24 streams")
	require.Contains(t, text, "side-1 (another clock)")
	require.NotContains(t, text, "request=other")
	require.NotContains(t, text, "i-1", "the state of another gateway has no effect on the request")
	require.NotContains(t, text, "service lost", "the change occurred after the request")
	require.Less(t, strings.Index(text, "config_version=3"), strings.Index(text, "24 of 24"))
}

// Guards against success for a request that is not in the logs or a missing request ID.
func TestExplainRejectsUnknownOrMissingRequest(t *testing.T) {
	var out, errs bytes.Buffer
	require.Equal(t, exitFailed, run(context.Background(), []string{"explain", "nobody"}, strings.NewReader(explainLogs), &out, &errs))
	require.Contains(t, errs.String(), "nobody")
	require.Equal(t, exitUsage, run(context.Background(), []string{"explain"}, strings.NewReader(""), &out, &errs))
}

// Guards against a missing --version flag.
func TestVersion(t *testing.T) {
	var out, errs bytes.Buffer
	require.Equal(t, exitOK, run(context.Background(), []string{"--version"}, strings.NewReader(""), &out, &errs))
	require.Contains(t, out.String(), "lavendermoorctl")
}
