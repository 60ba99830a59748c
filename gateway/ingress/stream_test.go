package ingress

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// eventsWithIDs returns events with the given IDs, as a caller receives them. An empty ID stands for an event without
// one.
func eventsWithIDs(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		if id != "" {
			b.WriteString("id: " + id + "\n")
		}
		b.WriteString("data: x" + id + "\n\n")
	}
	return b.String()
}

// streamWithIDs returns a chunked response with eventsWithIDs, without the last chunk.
func streamWithIDs(ids ...string) string {
	return eventStream(1, 0) + chunk(eventsWithIDs(ids...))
}

// Guards against cutting a sound stream whose IDs increase by more than one, as when they count tokens (review/2).
func TestStreamsWithIncreasingIDsAreRelayedWhole(t *testing.T) {
	for name, ids := range map[string][]string{
		"four tokens an event":       {"4", "8", "12", "16"},
		"events of different sizes":  {"1", "2", "3", "7", "9", "10", "64"},
		"from zero":                  {"0", "1", "5"},
		"with leading zeros":         {"008", "009", "010", "100"},
		"longer than 64 bits":        {"98765432109876543210", "98765432109876543215", "198765432109876543215"},
		"not numbers":                {"a-1", "a-2", "b-1"},
		"with an event without ID":   {"4", "", "8"},
		"numbers, then other IDs":    {"4", "end"},
		"a single event far from 0":  {"1000000"},
		"64-bit overflow of the gap": {"1", "9223372036854775807", "9223372036854775808"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestBackend(t, "a", respond(streamWithIDs(ids...)+lastChunk))
			resp, body, err := newGateway(t, s).get(t, "/stream/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, eventsWithIDs(ids...), body)
			require.Equal(t, 1, s.count())
		})
	}
}

// Guards against cutting or doubling events where a stream with gaps between its IDs continues on another server, after
// a break or for a caller that resumes it (review/2).
func TestStreamWithGapsBetweenIDsIsContinued(t *testing.T) {
	t.Run("by the gateway", func(t *testing.T) {
		a := newTestBackend(t, "a", respondAndClose(streamWithIDs("4", "8", "12")+chunk("id: 16\nda")))
		b := newTestBackend(t, "b", respond(streamWithIDs("12", "17", "21")+lastChunk))
		g := newGateway(t, a, b)
		g.preferServer("a")
		_, body, err := g.get(t, "/stream/x")
		require.NoError(t, err)
		require.Equal(t, eventsWithIDs("4", "8", "12", "17", "21"), body)
		require.Equal(t, "12", b.firstRequest().Header.Get(testLastEventID))
	})
	t.Run("by the caller", func(t *testing.T) {
		s := newTestBackend(t, "a", respond(streamWithIDs("8", "12", "16")+lastChunk))
		_, body, err := newGateway(t, s).get(t, "/stream/x", testLastEventID, "8")
		require.NoError(t, err)
		require.Equal(t, eventsWithIDs("12", "16"), body)
		require.Equal(t, "8", s.firstRequest().Header.Get(testLastEventID))
	})
}

// Guards against joining the pieces of two runs when a stream breaks off after an event without an ID: no server could
// continue after it.
func TestStreamIsNotContinuedAfterAnEventWithoutID(t *testing.T) {
	for name, ids := range map[string][]string{"no IDs": {"", ""}, "the last event": {"1", "2", ""}} {
		t.Run(name, func(t *testing.T) {
			a := newTestBackend(t, "a", respondAndClose(streamWithIDs(ids...)))
			b := newTestBackend(t, "b", respond(streamWithIDs(ids...)+lastChunk))
			g := newGateway(t, a, b)
			g.preferServer("a")
			_, body, err := g.get(t, "/stream/x")
			require.Error(t, err, "the caller must see that the response is incomplete")
			require.Equal(t, eventsWithIDs(ids...), body)
			require.Zero(t, b.count())
		})
	}
}
