package buffer

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
)

// TooLargeError reports a body above the limit.
type TooLargeError struct{ Limit int64 }

func (*TooLargeError) Error() string { return "the body is above the limit" }

const (
	// firstBytes is the first size of the buffer for a body without an announced length.
	firstBytes = 2 << 10
	// growthFactor is the factor by which the buffer for a body grows. The bytes that are copied are at most a third of
	// those that have arrived.
	growthFactor = 4
)

// Body describes a request body that is to be read.
type Body struct {
	Reader io.Reader
	// Announced is the length that the caller has announced, negative if there is none. Limit is the largest length.
	Announced, Limit int64
	// NewShare returns the share of the body in a budget. It is called when the body exceeds Free.
	NewShare func() *Share
}

// ReadBody reads a body whole. The share, nil for a short body, must be closed when the body is no longer used, also
// after an error. Memory is allocated and charged as bytes arrive, whatever length is announced. It fails with a
// *TooLargeError, an *ExhaustedError, io.ErrUnexpectedEOF or the errors of the reader and the context.
func ReadBody(ctx context.Context, b Body) (body []byte, share *Share, err error) {
	if b.Announced > b.Limit {
		return nil, nil, merry.Wrap(&TooLargeError{Limit: b.Limit})
	}
	r := bodyReader{Body: b, last: b.Limit}
	first := int64(firstBytes)
	if b.Announced >= 0 {
		r.last, first = b.Announced, min(b.Announced, Free)
	}
	r.buf = make([]byte, 0, min(first, r.last))
	if err := r.read(ctx); err != nil {
		return nil, r.share, err
	}
	if r.share != nil {
		r.share.Complete()
	}
	return r.buf, r.share, nil
}

type bodyReader struct {
	Body
	buf   []byte
	share *Share
	// last is the largest length that the body may still have.
	last int64
}

func (r *bodyReader) read(ctx context.Context) error {
	for {
		var err error
		if len(r.buf) == cap(r.buf) {
			err = r.readBeyond(ctx)
		} else {
			err = r.readInto(r.buf[len(r.buf):cap(r.buf)])
		}
		switch {
		case errors.Is(err, io.EOF) && int64(len(r.buf)) < r.Announced:
			return merry.Wrap(io.ErrUnexpectedEOF)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readInto reads into free, which follows the bytes of the buffer.
func (r *bodyReader) readInto(free []byte) error {
	n, err := r.Reader.Read(free)
	r.buf = r.buf[:len(r.buf)+n]
	if r.share != nil {
		r.share.Progress(n, time.Now())
	}
	return err
}

// readBeyond reads one byte beyond a full buffer, which grows only if there is one.
func (r *bodyReader) readBeyond(ctx context.Context) error {
	var next [1]byte
	n, err := r.Reader.Read(next[:])
	if n == 0 {
		return err
	}
	if int64(len(r.buf)) == r.last {
		return merry.Wrap(&TooLargeError{Limit: r.Limit})
	}
	if growErr := r.grow(ctx); growErr != nil {
		return growErr
	}
	r.buf = append(r.buf, next[0])
	return err
}

// grow replaces the buffer by a larger one. Both are charged while the bytes are copied.
func (r *bodyReader) grow(ctx context.Context) error {
	old := int64(cap(r.buf))
	size := min(old*growthFactor, r.last)
	if old < Free {
		size = min(size, Free)
	}
	if size <= Free {
		r.buf = append(make([]byte, 0, size), r.buf...)
		return nil
	}
	charged := int64(0)
	if r.share == nil {
		r.share = r.NewShare()
	} else {
		charged = old
	}
	if err := r.share.Grow(ctx, size); err != nil {
		return err
	}
	r.buf = append(make([]byte, 0, size), r.buf...)
	r.share.Shrink(charged)
	return nil
}
