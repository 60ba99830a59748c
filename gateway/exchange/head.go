package exchange

import (
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
)

const (
	// maxHead bounds the bytes that a server may send before the head of its answer ends, interim answers included.
	// net/http itself reads a head of any length into memory.
	maxHead = 64 << 10
	// maxInterim bounds the interim answers (1xx) before the final one.
	maxInterim = 8
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
	// left is the number of bytes that may still be read for the head; it is not used while unbounded.
	left      int
	unbounded bool
}

// expectHead bounds what is read from now on.
func (l *limitedReader) expectHead() { l.left, l.unbounded = maxHead, false }

// expectBody ends the bound.
func (l *limitedReader) expectBody() { l.unbounded = true }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.unbounded {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, merry.Wrap(&HeaderTooLargeError{Limit: maxHead})
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
