package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/peerapi"
)

func newTestClient(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	base, err := url.Parse(s.URL)
	require.NoError(t, err)
	return NewClient(base)
}

// Guards against a response that is truncated at the size limit and relayed as if it were complete (invariant P2).
func TestCallRejectsResponseAboveLimit(t *testing.T) {
	size := 0
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	})
	size = maxResultBytes
	result, err := c.Call(t.Context(), &peerapi.CallRequest{Method: http.MethodGet, Path: "/"})
	require.NoError(t, err)
	require.Len(t, result.Body, maxResultBytes)

	size = maxResultBytes + 1
	_, err = c.Call(t.Context(), &peerapi.CallRequest{Method: http.MethodGet, Path: "/"})
	var broken *BrokenError
	require.ErrorAs(t, err, &broken)
	var tooLarge *ResultTooLargeError
	require.ErrorAs(t, err, &tooLarge)
}

// Guards against a client that follows a redirect: it would send a second request, possibly to another host, and the
// caller would receive that response instead of the redirect.
func TestCallReturnsRedirects(t *testing.T) {
	var paths []string
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		paths = append(paths, r.URL.Path)
		if r.URL.Path == "/bookings" {
			http.Redirect(w, r, "/bookings/1", http.StatusSeeOther)
		}
	})
	result, err := c.Call(t.Context(), &peerapi.CallRequest{Method: http.MethodPost, Path: "/bookings"})
	require.NoError(t, err)
	require.Equal(t, http.StatusSeeOther, result.Status)
	require.Equal(t, "/bookings/1", result.Header.Get("Location"))
	require.Equal(t, []string{"/bookings"}, paths)
}

// Guards against lost or doubled tokens when an engine whose events hold several tokens is asked to go on after a number
// of events: it gets the ID of its last event instead.
func TestGenerationContinuesAfterTheLastEventID(t *testing.T) {
	var header, body string
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		header, body = r.Header.Get("Last-Event-Id"), string(raw)
		_, _ = io.WriteString(w, "id: 12\ndata: {}\n\nid: 16\ndata: {}\n\ndata: [DONE]\n\n")
	})
	var ids []string
	collect := func(id string, _ json.RawMessage) error {
		ids = append(ids, id)
		return nil
	}
	r := &peerapi.GenerateRequest{Path: "/v1/completions", Body: json.RawMessage(`{}`), ResumeFrom: 2, LastEventID: "8"}
	require.NoError(t, c.Generate(t.Context(), r, collect))
	require.Equal(t, "8", header)
	require.NotContains(t, body, "resume_from")
	require.Equal(t, []string{"12", "16"}, ids)

	r.LastEventID = ""
	require.NoError(t, c.Generate(t.Context(), r, collect))
	require.Empty(t, header)
	require.Contains(t, body, `"resume_from":2`)
}

// Guards against a faulty engine that exhausts the sidecar's memory with a header without end.
func TestEndlessHeaderIsRejected(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		sent := 0
		for err == nil && sent < 1<<30 {
			var n int
			n, err = io.WriteString(conn, "X: "+strings.Repeat("x", 1<<10)+"\r\n")
			sent += n
		}
	})
	_, err := c.Call(t.Context(), &peerapi.CallRequest{Method: http.MethodGet, Path: "/"})
	require.ErrorContains(t, err, "exceeded 65536 bytes")
}

// Guards against a response with a status that HTTP does not have, such as 000, as the result of a call or as a refusal of
// a generation, and against the reuse of its connection.
func TestInvalidStatusIsABrokenExchange(t *testing.T) {
	call := func(c *Client) error {
		_, err := c.Call(t.Context(), &peerapi.CallRequest{Method: http.MethodPost, Path: "/"})
		return err
	}
	generate := func(c *Client) error {
		r := &peerapi.GenerateRequest{Path: "/v1/completions", Body: json.RawMessage(`{}`)}
		return c.Generate(t.Context(), r, func(string, json.RawMessage) error { return nil })
	}
	for _, status := range []string{"000 Zero", "099 Low", "+20 Sign", "101 Switching Protocols", "600 High", "999 Highest"} {
		for _, end := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 3\r\n\r\nbad"} {
			for name, send := range map[string]func(*Client) error{"call": call, "generation": generate} {
				t.Run(name+" "+status+" "+end[16:17], func(t *testing.T) {
					ended := make(chan error, 1)
					c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
						conn, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							return
						}
						defer conn.Close()
						_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\n"+end)
						_, err = conn.Read(make([]byte, 1))
						ended <- err
					})
					var broken *BrokenError
					require.ErrorAs(t, send(c), &broken, "the request may have run")
					require.Error(t, <-ended, "the connection is closed")
				})
			}
		}
	}
}
