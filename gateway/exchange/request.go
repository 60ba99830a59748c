package exchange

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Request is a request as it is sent to a server.
type Request struct {
	// ID identifies the request. The response repeats it.
	ID     string
	Method string
	// Target is the unmodified path with the query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set when the caller sent a body, which may be empty.
	HasBody bool
	// ShouldSend is called directly before the request is written, which may be some time after the server was chosen.
	// If it returns false, the request is not sent. If ShouldSend is nil, the request is always sent.
	ShouldSend func() bool
}

func (r *Request) parserRequest() *http.Request { return &http.Request{Method: r.Method} }

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// RemoveHopByHopHeaders deletes the hop-by-hop headers, including those listed in Connection.
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

// maxInlineBody is the size in bytes of the largest body that is written before the response is read. A larger body is
// written concurrently, because it may not fit into the buffers on the path and a server may respond before it reads
// the body.
const maxInlineBody = 8 << 10

// sending is the writing of a request.
type sending struct {
	// done is closed when the writing has ended. err is its result from then on.
	done chan struct{}
	err  error
}

// end records the result of the writing.
func (s *sending) end(err error) {
	s.err = err
	close(s.done)
}

// wait waits until the writing has ended and returns its result. The writing ends at the latest when the connection is
// closed.
func (s *sending) wait() error {
	<-s.done
	return s.err
}

// succeeded reports whether the whole request was written by now.
func (s *sending) succeeded() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// write sends the request.
func (r *Request) write(w io.Writer) *sending {
	s := &sending{done: make(chan struct{})}
	head := r.head()
	if len(r.Body) <= maxInlineBody {
		_, err := w.Write(append(head, r.Body...))
		s.end(err)
		return s
	}
	go func() {
		_, err := w.Write(head)
		if err == nil {
			_, err = w.Write(r.Body)
		}
		s.end(err)
	}()
	return s
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
