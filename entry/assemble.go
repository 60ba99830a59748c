package entry

import (
	"encoding/json"
	"strings"
	"time"
)

// assembler builds a whole answer from the events of a stream.
type assembler struct {
	text   strings.Builder
	tokens int
	chat   bool
	reason *string
}

type streamEvent struct {
	Choices []struct {
		Delta *struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text         *string `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// add takes the next event.
func (a *assembler) add(data json.RawMessage) error {
	var ev streamEvent
	if err := json.Unmarshal(data, &ev); err != nil {
		return err
	}
	a.tokens++
	for _, c := range ev.Choices {
		if c.Delta != nil {
			a.chat = true
			a.text.WriteString(c.Delta.Content)
		}
		if c.Text != nil {
			a.text.WriteString(*c.Text)
		}
		if c.FinishReason != nil {
			a.reason = c.FinishReason
		}
	}
	return nil
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   usage         `json:"usage"`
}

// answer returns the whole answer in the OpenAI-style format.
func (a *assembler) answer(id, model string, now time.Time) wholeAnswer {
	text := a.text.String()
	c := wholeChoice{FinishReason: a.reason}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		c.Message = &wholeMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return wholeAnswer{
		ID: id, Object: object, Created: now.Unix(), Model: model, Choices: []wholeChoice{c},
		Usage: usage{CompletionTokens: a.tokens},
	}
}
