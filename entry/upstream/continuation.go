package upstream

import (
	"bytes"
	"encoding/json"

	"lavendermoor.example/routing"
)

// maxContinuation bounds the text kept of one answer. At 5 bytes a token it holds 50,000 tokens.
const maxContinuation = 256 << 10

// continuation keeps the text of an answer so far, with which another replica's engine continues it. It keeps the
// escaped form, because that needs no decoding of each event.
type continuation struct {
	escaped []byte
	// broken is set when the text of an event was not found or there is too much of it.
	broken bool
}

// textFields precede the text of a chat event and of a completion event.
var textFields = [][]byte{[]byte(`"content":"`), []byte(`"text":"`)}

func (c *continuation) add(data []byte) {
	if c.broken {
		return
	}
	text, ok := textOf(data)
	if !ok || len(c.escaped)+len(text) > maxContinuation {
		c.broken, c.escaped = true, nil
		return
	}
	c.escaped = append(c.escaped, text...)
}

// textOf returns the escaped text of an event. An event with two texts, as of two choices, is not understood.
func textOf(data []byte) ([]byte, bool) {
	for _, field := range textFields {
		_, rest, ok := bytes.Cut(data, field)
		if !ok {
			continue
		}
		end := closingQuote(rest)
		if end < 0 || bytes.Contains(rest[end:], field) {
			return nil, false
		}
		return rest[:end], true
	}
	return nil, false
}

func closingQuote(s []byte) int {
	for i := 0; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return -1
}

func (c *continuation) whole() bool { return !c.broken }

// generated returns the text so far as a JSON string for a replica that did not begin the answer, else nil.
func (c *continuation) generated(replica *routing.Replica, tried []*routing.Replica) json.RawMessage {
	if len(c.escaped) == 0 || c.broken || len(tried) == 0 || tried[0] == replica {
		return nil
	}
	out := make([]byte, 0, len(c.escaped)+2)
	out = append(out, '"')
	out = append(out, c.escaped...)
	return append(out, '"')
}
