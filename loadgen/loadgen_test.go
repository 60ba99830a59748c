package loadgen

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/callerapi"
)

func customers() []Customer { return []Customer{{Key: "large", Share: 3}, {Key: "small", Share: 1}} }

// Guards against a schedule that depends on anything but its seed, and against wrong rates.
func TestScheduleFollowsSeedAndRates(t *testing.T) {
	m := AssociationMix(customers())
	phases := PeakPhases(100, 3, 10*time.Second, 10*time.Second, 10*time.Second)
	a, b := Schedule(&m, phases, 7), Schedule(&m, phases, 7)
	require.Equal(t, a, b)
	require.NotEqual(t, a, Schedule(&m, phases, 8))
	count := map[string]int{}
	for _, x := range a {
		count[x.Phase]++
	}
	require.InDelta(t, 1000, count["before"], 130)
	require.InDelta(t, 3000, count["crest"], 220)
}

// Guards against counting a truncated, wrong, broken or refused response as goodput.
func TestOnlyCompleteCorrectResponsesCount(t *testing.T) {
	event := "data: {\"choices\":[{\"delta\":{\"content\":\"x \"}}]}\n\n"
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("Authorization") {
		case "Bearer whole":
			fmt.Fprint(w, event, event, "data: [DONE]\n\n")
		case "Bearer wrong":
			fmt.Fprint(w, event, "data: [DONE]\n\n")
		case "Bearer cut":
			fmt.Fprint(w, event, event)
		case "Bearer broken":
			fmt.Fprint(w, event, "event: error\ndata: {\"error\":{\"type\":\"stream_broken\",\"executed\":\"unknown\"}}\n\n")
		default:
			callerapi.WriteError(w, callerapi.NotExecuted(callerapi.Overloaded, "full").WithRetryAfter(time.Second), "id")
		}
	}))
	defer srv.Close()
	class := &Class{Name: "draft", Value: 1, Deadline: 10 * time.Second, Tokens: 2, PromptBytes: 10}
	m := Mix{Model: "m"}
	c := &Client{
		Entries: []string{srv.URL}, Mix: &m, HTTP: NewHTTPClient(),
		ExpectedText: func(string, int) (string, bool) { return "x x ", true },
	}
	var arrivals []Arrival
	for i, key := range []string{"whole", "wrong", "cut", "broken", "refused"} {
		arrivals = append(arrivals, Arrival{Number: i, Class: class, CustomerKey: key})
	}
	rep := NewReport(&m, 1, Run(context.Background(), c, arrivals))
	require.Len(t, rep.Rows, 1)
	row := rep.Rows[0]
	require.Equal(t, 1, row.InTime)
	require.Equal(t, 1, row.Wrong)
	require.Equal(t, map[string]int{"transport": 1, "stream_broken": 1, "overloaded": 1}, row.Errors)
	require.Equal(t, int64(1), row.Refusal.Count)
	require.Zero(t, row.RefusalsWithoutRetryAfter)
}

// Guards against a prompt that is shorter than PromptBytes, which makes the load tool panic.
func TestPromptsAreAtLeastPromptBytesLong(t *testing.T) {
	class := &Class{PromptBytes: 600}
	for n := range 2 * promptPrefixes {
		require.GreaterOrEqual(t, len(prompt(&Arrival{Number: n, Class: class})), class.PromptBytes)
	}
}
