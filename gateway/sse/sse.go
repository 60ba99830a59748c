// Package sse reads server-sent events one by one and keeps their bytes. An event can thus be forwarded unchanged, and
// only once it is complete.
package sse

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"

	"lavendermoor.example/gateway/buffer"
)

// MaxEvent is the size limit of one event in bytes.
const MaxEvent = 1 << 20

// FormatError reports a stream of events that must not be forwarded any further because an event is too long or
// incomplete.
type FormatError struct{ Problem string }

func (e *FormatError) Error() string { return "stream of events: " + e.Problem }

// Event is one event with its bytes.
type Event struct {
	// Raw holds the event including the empty line that ends it. It is valid until the next call of Reader.Next.
	Raw []byte
	// ID is the event's ID, empty if it has none.
	ID string
	// HasContent is set when the event has a line that is not a comment. A server that hangs may keep a connection open
	// with comments.
	HasContent bool
}

// Reader reads events from a body.
type Reader struct {
	br  *bufio.Reader
	buf []byte
	// budget is where the bytes of an event beyond buffer.Free are taken from; taken is their number.
	budget *buffer.Budget
	taken  int
}

// NewReader returns a reader of the events of a body. Close must be called when it is no longer used.
func NewReader(r io.Reader, budget *buffer.Budget) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, 2048), budget: budget}
}

// Close returns the memory of the last event.
func (r *Reader) Close() {
	if r.taken > 0 {
		r.buf = nil
		r.budget.Release(int64(r.taken))
		r.taken = 0
	}
}

// grow makes room for n more bytes of an event.
func (r *Reader) grow(n int) error {
	size := len(r.buf) + n
	if size > MaxEvent {
		return merry.Wrap(&FormatError{Problem: fmt.Sprintf("an event is longer than %d bytes", MaxEvent)})
	}
	for size > buffer.Free+r.taken {
		step := max(r.taken, buffer.Free)
		if !r.budget.TryAcquire(int64(step)) {
			return merry.Wrap(&FormatError{Problem: "long events of many responses have used up the memory for them"})
		}
		r.taken += step
	}
	return nil
}

// Next returns the next complete event, or io.EOF at the end of the body. It fails with a *FormatError when the body
// ends inside an event, an event exceeds MaxEvent or the budget has no room for it, and with the errors of the body.
func (r *Reader) Next() (Event, error) {
	r.Close()
	r.buf = r.buf[:0]
	var e Event
	continued := false // The line continues one that is longer than the buffer.
	for {
		line, err := r.br.ReadSlice('\n')
		if err := r.grow(len(line)); err != nil {
			return Event{}, err
		}
		r.buf = append(r.buf, line...)
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
}

// CompareIDs compares two IDs that are decimal numbers of any length. The result is negative if a is smaller, 0 if they
// are equal, and positive if a is greater. It reports false if one of them is not such a number; such IDs have no order.
func CompareIDs(a, b string) (order int, ok bool) {
	if !isNumber(a) || !isNumber(b) {
		return 0, false
	}
	a, b = strings.TrimLeft(a, "0"), strings.TrimLeft(b, "0")
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)), true
}

func isNumber(id string) bool {
	for _, c := range id {
		if c < '0' || c > '9' {
			return false
		}
	}
	return id != ""
}
