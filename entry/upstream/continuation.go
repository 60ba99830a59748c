package upstream

import (
	"bytes"
	"encoding/json"

	"lavendermoor.example/routing"
)

// maxContinuationBytes bounds the text kept for one response. At 5 bytes per token it holds 50,000 tokens.
const maxContinuationBytes = 256 << 10

// continuation keeps the text generated so far, from which another replica's engine can continue. The text is kept in
// its JSON-escaped form, which avoids decoding each event.
type continuation struct {
	escapedText []byte
	// unavailable is set when the text of an event was not found or the text exceeds maxContinuationBytes.
	unavailable bool
}

// textFields are the JSON fields that precede the text of a chat event and of a completion event.
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

// escapedText returns the JSON-escaped text of an event. It reports false for an event without text, or with several
// texts, as an event with two choices has.
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

// generated returns the text generated so far as a JSON string, for a request to replica. It returns nil if there is no
// text, if the text is unavailable, or if replica is the first one tried, which is taken to have started the response.
func (c *continuation) generated(replica *routing.Replica, tried []*routing.Replica) json.RawMessage {
	if len(c.escapedText) == 0 || c.unavailable || len(tried) == 0 || tried[0] == replica {
		return nil
	}
	out := make([]byte, 0, len(c.escapedText)+2)
	out = append(out, '"')
	out = append(out, c.escapedText...)
	return append(out, '"')
}
