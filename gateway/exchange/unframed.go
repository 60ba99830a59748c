package exchange

import (
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// IncompleteBodyError reports that a body without length or chunks ended while the connection failed, so that nothing shows
// that the body is whole.
type IncompleteBodyError struct {
	// Cause is the error of the writing of the request.
	Cause error
}

func (e *IncompleteBodyError) Error() string {
	return "the answer ended with its connection, which failed while the request was written: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *IncompleteBodyError) Unwrap() error { return e.Cause }

// unframedBody is a body that ends with its connection. A socket reports an error once: if the goroutine that writes the
// request receives it, a read returns io.EOF after a reset too. The end of the connection is therefore the end of the body
// only if the whole request was written. While it is still being written, a server may have closed its side after an early
// response and read on, or it may have ended in the middle of the response; the result of the writing tells.
type unframedBody struct {
	io.ReadCloser
	conn    *conn
	sending *sending
}

// Read implements io.Reader. Instead of io.EOF, it fails with an *IncompleteBodyError if the request was not written whole.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A server that has responded may read the rest of the request late.
	b.conn.removeUserTimeout()
	if cause := b.sending.wait(); cause != nil {
		return n, merry.Wrap(&IncompleteBodyError{Cause: cause})
	}
	return n, err
}
