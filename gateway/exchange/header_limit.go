package exchange

import (
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
)

const (
	// maxHeaderBytes bounds the bytes that a server may send before the header of its final response ends, interim
	// responses included. net/http itself reads a header of any size into memory.
	maxHeaderBytes = 64 << 10
	// maxInterimResponses bounds the interim (1xx) responses before the final one.
	maxInterimResponses = 8
)

// HeaderTooLargeError reports that a server exceeded the size limit for the header of a response.
type HeaderTooLargeError struct{ Limit int }

func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("the head of the answer does not end within %d bytes", e.Limit)
}

// InterimResponseError reports that a server sent too many interim responses.
type InterimResponseError struct{ Limit int }

func (e *InterimResponseError) Error() string {
	return fmt.Sprintf("no final answer after %d interim ones", e.Limit)
}

// limitedReader reads from a connection. While a header is expected, it fails with a *HeaderTooLargeError once the
// limit is exceeded. Bodies are not limited.
type limitedReader struct {
	r io.Reader
	// remaining is the number of bytes that may still be read for the header. It is ignored while unbounded is set.
	remaining int
	unbounded bool
}

// limitHeader limits the bytes read from now on to maxHeaderBytes.
func (l *limitedReader) limitHeader() { l.remaining, l.unbounded = maxHeaderBytes, false }

func (l *limitedReader) removeLimit() { l.unbounded = true }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.unbounded {
		return l.r.Read(p)
	}
	if l.remaining <= 0 {
		return 0, merry.Wrap(&HeaderTooLargeError{Limit: maxHeaderBytes})
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
