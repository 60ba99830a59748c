package buffer

import (
	"net"
	"net/http"
	"time"
)

const (
	// MemoryRetryAfter is the Retry-After while bodies have used up the memory for them. Stalled ones lose it by then.
	MemoryRetryAfter = time.Second
	// refusedBodyTime is how long the rest of a body that was not accepted is read and dropped. A connection that is
	// closed with unread bytes is reset, and the caller may then lose the refusal.
	refusedBodyTime = 500 * time.Millisecond
	// maxSkippedBody is the largest body for which a connection is kept open after a refusal that did not read it.
	maxSkippedBody = 64 << 10
)

// NewRequestShare returns the share of a request's body. Its owners are the caller's address and the customer, unless the
// name is empty. A body that has lost its share ends its read.
func (b *Budget) NewRequestShare(w http.ResponseWriter, r *http.Request, customer string) *Share {
	controller := http.NewResponseController(w)
	evict := func() { _ = controller.SetReadDeadline(time.Now()) }
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	owners := []string{"address " + host}
	if customer != "" {
		owners = append(owners, "customer "+customer)
	}
	return b.NewShare(evict, time.Now(), owners...)
}

// AbandonBody makes sure that the rest of a request's body that was not accepted delays the refusal only briefly, and that
// nothing of it is taken for the next request: the connection is closed, unless the rest is short and arrives in time.
// begun is set if a part of the body was read. It must be called before the header of the response is written.
func AbandonBody(w http.ResponseWriter, r *http.Request, begun bool) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTime))
	if begun || r.ContentLength < 0 || r.ContentLength > maxSkippedBody {
		w.Header().Set("Connection", "close")
	}
}
