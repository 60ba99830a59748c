package ingress

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// notFinal are status lines that no final response to a request of a gateway has. Gateways never ask for another
// protocol.
var notFinal = []string{"000 Zero", "099 Low", "+20 Sign", "101 Switching Protocols", "600 High", "999 Highest"}

// bodyEnds are the ends of a response's header with the body after it: none, short, and a stream that goes on.
var bodyEnds = map[string]string{
	"empty":  "Content-Length: 0\r\n\r\n",
	"short":  "Content-Length: 3\r\n\r\nbad",
	"stream": "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 9\ndata: bad\n\n"),
}

// headersOfInvalidResponses are headers of a signed response and of a refusal.
var headersOfInvalidResponses = map[string]string{"signed": "T-Seal: s\r\n", "refusal": "T-Not-Run: 1\r\nT-Retry-After: 9\r\n"}

// forEachInvalidResponse runs a test with each response that has a status of notFinal.
func forEachInvalidResponse(t *testing.T, test func(t *testing.T, response string)) {
	t.Helper()
	for _, status := range notFinal {
		for name, end := range bodyEnds {
			for kind, header := range headersOfInvalidResponses {
				t.Run(status+" "+kind+" "+name, func(t *testing.T) {
					test(t, "HTTP/1.1 "+status+"\r\nT-Id: ID\r\n"+header+end)
				})
			}
		}
	}
}

// Guards against a response with a status that HTTP does not have, such as 000, that reaches the caller, or for which the
// caller waits until its deadline because the next response is awaited.
func TestInvalidStatusIsAFailureAtOnce(t *testing.T) {
	forEachInvalidResponse(t, func(t *testing.T, response string) {
		for _, write := range []func(string) responder{respond, respondAndClose} {
			s := newTestBackend(t, "a", write(response))
			g := newGateway(t, s)
			resp, body, err := g.send(t, http.MethodPost, "/once/x", "")
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "the request may have run")
			require.Empty(t, resp.Header.Get(testSignature))
			require.NotContains(t, body, "bad")
			require.Equal(t, 1, s.count(), "the request runs once")
		}
	})
}

// Guards against an invalid status that ends a request which another server can still serve.
func TestRequestIsRepeatedAfterAnInvalidStatus(t *testing.T) {
	forEachInvalidResponse(t, func(t *testing.T, response string) {
		for path, sound := range map[string]responder{
			"/idem/x": respondOK(eventsText(3)), "/stream/x": respond(eventStream(1, 3) + lastChunk),
		} {
			a, b := newTestBackend(t, "a", respond(response)), newTestBackend(t, "b", sound)
			g := newGateway(t, a, b)
			g.preferServer("a")
			resp, body, err := g.get(t, path)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, eventsText(3), body)
			require.Equal(t, 1, a.count())
		}
	})
}

// Guards against a stream that continues with the body of a response with an invalid status, or looks complete after it.
func TestInvalidStatusDoesNotContinueAStream(t *testing.T) {
	forEachInvalidResponse(t, func(t *testing.T, response string) {
		a, b := newTestBackend(t, "a", respondAndClose(eventStream(1, 3))), newTestBackend(t, "b", respond(response))
		g := newGateway(t, a, b)
		g.preferServer("a")
		resp, body, err := g.get(t, "/stream/x")
		require.Error(t, err, "the caller must see that the stream is incomplete")
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, eventsText(3), body)
		require.Equal(t, 1, b.count())
	})
}

// Guards against the reuse of a connection whose last response had an invalid status.
func TestConnectionWithAnInvalidStatusIsNotReused(t *testing.T) {
	forEachInvalidResponse(t, func(t *testing.T, response string) {
		s := newTestBackend(t, "a", respondOK("first"), respond(response), respondOK("third"))
		g := newGateway(t, s)
		for _, want := range []int{http.StatusOK, http.StatusBadGateway, http.StatusOK} {
			resp, _, err := g.send(t, http.MethodPost, "/once/x", "")
			require.NoError(t, err)
			require.Equal(t, want, resp.StatusCode)
		}
		require.Equal(t, 2, s.connections())
	})
}

// Guards against the body of an interim response, which has none, that is awaited or read as the next response.
func TestInterimResponseWithABodyIsAFailureAtOnce(t *testing.T) {
	for name, end := range map[string]string{
		"length":  "Content-Length: 3\r\n\r\nbad",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n" + chunk("bad"),
	} {
		for _, status := range []string{"100 Continue", "103 Early Hints", "199 Unknown"} {
			t.Run(status+" "+name, func(t *testing.T) {
				s := newTestBackend(t, "a", respond("HTTP/1.1 "+status+"\r\nT-Id: ID\r\n"+end))
				g := newGateway(t, s)
				resp, body, err := g.send(t, http.MethodPost, "/once/x", "")
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode)
				require.NotContains(t, body, "bad")
			})
		}
	}
}

// Guards against a final response that is lost after sound interim responses.
func TestInterimResponsesAreSkipped(t *testing.T) {
	var interim strings.Builder
	for _, status := range []string{"100 Continue", "102 Processing", "103 Early Hints\r\nLink: a", "199 Unknown"} {
		interim.WriteString("HTTP/1.1 " + status + "\r\n\r\nHTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n")
	}
	var runs atomic.Int64
	s := newTestBackend(t, "a", func(c net.Conn, r *http.Request) bool {
		runs.Add(1)
		text := strings.Join(strings.SplitAfter(interim.String(), "\r\n\r\n")[:7], "")
		return respond(text)(c, r) && respondOK("x")(c, r)
	})
	g := newGateway(t, s)
	resp, body, err := g.send(t, http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "x", body)
	require.EqualValues(t, 1, runs.Load())
}
