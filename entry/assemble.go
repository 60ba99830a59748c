package entry

import (
	"encoding/json"
	"strings"
	"time"
)

// assembler builds a complete response from the events of a stream.
type assembler struct {
	text         strings.Builder
	tokens       int
	chat         bool
	finishReason *string
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

// add appends the next event of the stream.
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
			a.finishReason = c.FinishReason
		}
	}
	return nil
}

type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type responseChoice struct {
	Index        int              `json:"index"`
	Message      *responseMessage `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   usage            `json:"usage"`
}

// response returns the complete response in the OpenAI-style format.
func (a *assembler) response(id, model string, now time.Time) completionResponse {
	text := a.text.String()
	c := responseChoice{FinishReason: a.finishReason}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		c.Message = &responseMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return completionResponse{
		ID: id, Object: object, Created: now.Unix(), Model: model, Choices: []responseChoice{c},
		Usage: usage{CompletionTokens: a.tokens},
	}
}
