package upstream

import (
	"bytes"
	"encoding/json"

	"lavendermoor.example/routing"
)

// maxContinuationBytes bounds the text kept of one answer. At 5 bytes a token it holds 50,000 tokens.
const maxContinuationBytes = 256 << 10

// continuation keeps the text of an answer so far, with which another replica's engine continues it. It keeps the
// escaped form, because that needs no decoding of each event.
type continuation struct {
	escapedText []byte
	// unavailable is set when the text of an event was not found or there is too much of it.
	unavailable bool
}

// textFields precede the text of a chat event and of a completion event.
var textFields = [][]byte{[]byte(`"content":"`), []byte(`"text":"`)}

func (c *continuation) add(data []byte) {
	if c.unavailable {
		return
	}
	text, ok := escapedText(data)
	if !ok || len(c.escapedText)+len(text) > maxContinuationBytes {
		c.unavailable, c.escapedText = true, nil
		return
	}
	c.escapedText = append(c.escapedText, text...)
}

// escapedText returns the escaped text of an event. An event with two texts, as of two choices, is not understood.
func escapedText(data []byte) ([]byte, bool) {
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

func (c *continuation) available() bool { return !c.unavailable }

// generated returns the text so far as a JSON string for a replica that did not begin the answer, else nil.
func (c *continuation) generated(replica *routing.Replica, tried []*routing.Replica) json.RawMessage {
	if len(c.escapedText) == 0 || c.unavailable || len(tried) == 0 || tried[0] == replica {
		return nil
	}
	out := make([]byte, 0, len(c.escapedText)+2)
	out = append(out, '"')
	out = append(out, c.escapedText...)
	return append(out, '"')
}
