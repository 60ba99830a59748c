// Package sse reads server-sent events one by one and keeps their bytes, so that an event is passed on unchanged and
// only when it is whole.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// MaxEvent bounds one event in bytes.
const MaxEvent = 1 << 20

// FormatError says that the bytes are not an event that can be passed on.
type FormatError struct{ Problem string }

func (e *FormatError) Error() string { return "stream of events: " + e.Problem }

// Event is one event with its bytes.
type Event struct {
	// Raw holds the event with the empty line that ends it. It is valid until the next call of Next.
	Raw []byte
	// ID is the event's id, empty if it has none.
	ID string
	// NumericID is the id as a number, valid if Numbered.
	NumericID    int64
	HasNumericID bool
	// HasContent says that the event is more than comments, by which a server that stands still may keep a connection open.
	HasContent bool
}

// Reader reads events.
type Reader struct {
	br  *bufio.Reader
	buf []byte
}

// NewReader returns a reader of the events of a body.
func NewReader(r io.Reader) *Reader { return &Reader{br: bufio.NewReaderSize(r, 2048)} }

// Next returns the next whole event, or io.EOF at the end of the body. It fails with a *FormatError when the body ends
// in the middle of an event, and with the errors of the body.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	var e Event
	continued := false // The line is the rest of one that is longer than the buffer.
	for {
		line, err := r.br.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		if len(r.buf) > MaxEvent {
			return Event{}, merry.Wrap(&FormatError{Problem: fmt.Sprintf("an event is longer than %d bytes", MaxEvent)})
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continued = true
			continue
		case errors.Is(err, io.EOF) && len(r.buf) > 0:
			return Event{}, merry.Wrap(&FormatError{Problem: "the body ends inside an event"})
		case err != nil:
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		switch {
		case continued:
			continued = false
		case len(text) == 0:
			e.Raw = r.buf
			return e, nil
		default:
			e.parseField(text)
		}
	}
}

func (e *Event) parseField(line []byte) {
	e.HasContent = e.HasContent || line[0] != ':'
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	e.ID = string(bytes.TrimSpace(value))
	n, err := strconv.ParseInt(e.ID, 10, 64)
	e.NumericID, e.HasNumericID = n, err == nil
}
