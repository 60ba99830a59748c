package exchange

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Request is a request as a server gets it.
type Request struct {
	// ID is repeated by the answer.
	ID     string
	Method string
	// Target is the path with the query, unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that the caller sent a body, which may be empty.
	HasBody bool
	// ShouldSend is asked directly before the request is written, which may be some time after the server was chosen; nil for always.
	ShouldSend func() bool
}

func (r *Request) parserRequest() *http.Request { return &http.Request{Method: r.Method} }

// hopByHopHeaders concern only one connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// RemoveHopByHopHeaders deletes the headers that concern one connection, and those that Connection names.
func RemoveHopByHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// maxInlineBody is the largest body that is written before the answer is read. A larger one may not fit into the buffers
// on the way, and a server may answer before it reads it.
const maxInlineBody = 8 << 10

// write sends the request. The channel gives the outcome once all is written.
func (r *Request) write(w io.Writer) <-chan error {
	done := make(chan error, 1)
	head := r.head()
	if len(r.Body) <= maxInlineBody {
		_, err := w.Write(append(head, r.Body...))
		done <- err
		return done
	}
	go func() {
		_, err := w.Write(head)
		if err == nil {
			_, err = w.Write(r.Body)
		}
		done <- err
	}()
	return done
}

func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// Writing to a buffer cannot fail.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
