package exchange

import (
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
)

const (
	// maxHeaderBytes bounds the bytes that a server may send before the head of its answer ends, interim answers included.
	// net/http itself reads a head of any length into memory.
	maxHeaderBytes = 64 << 10
	// maxInterimResponses bounds the interim answers (1xx) before the final one.
	maxInterimResponses = 8
)

// HeaderTooLargeError says that a server sent more bytes than a head may have without ending it.
type HeaderTooLargeError struct{ Limit int }

func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("the head of the answer does not end within %d bytes", e.Limit)
}

// InterimResponseError says that a server sent interim answers without end.
type InterimResponseError struct{ Limit int }

func (e *InterimResponseError) Error() string {
	return fmt.Sprintf("no final answer after %d interim ones", e.Limit)
}

// limitedReader reads from a connection and fails with a *HeadError once more than the bytes allowed were read while a
// head is expected. Bodies are not bounded by it.
type limitedReader struct {
	r io.Reader
	// remaining is the number of bytes that may still be read for the head; it is not used while unbounded.
	remaining int
	unbounded bool
}

// limitHeader bounds what is read from now on.
func (l *limitedReader) limitHeader() { l.remaining, l.unbounded = maxHeaderBytes, false }

// removeLimit ends the bound.
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
