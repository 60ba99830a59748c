package proctest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/standin/serviceserver"
)

// callTimeout limits each request to the system.
const callTimeout = 60 * time.Second

// Do sends a request with CallerKey. A []byte body is sent as it is, nil as an empty body and any other value as JSON.
// After a transport error, the status is 0 and the response body is the error's text.
func Do(
	t testing.TB, method, url string, header http.Header, body any,
) (status int, h http.Header, responseBody []byte) {
	t.Helper()
	var raw []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		raw = b
	default:
		var err error
		raw, err = json.Marshal(b)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+CallerKey)
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	defer resp.Body.Close()
	responseBody, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	return resp.StatusCode, resp.Header, responseBody
}

// DecodeError returns the error in a response body, or nil if there is none.
func DecodeError(body []byte) *callerapi.Error {
	var b callerapi.ErrorBody
	// Other bodies leave the error nil, which callers check.
	_ = json.Unmarshal(body, &b)
	return b.Error
}

// Stream is the part of a streamed generation that a caller received.
type Stream struct {
	Status int
	Text   string
	Events int
	// Done is true if the stream ended with [DONE].
	Done bool
	// Error is from the error event or the body of an error response.
	Error *callerapi.Error
}

// StreamChat streams a chat completion. It calls onEvent, if not nil, with the number of events after each event.
func StreamChat(t testing.TB, entry, content string, tokens int, onEvent func(n int)) Stream {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return StreamChatContext(ctx, t, entry, content, tokens, onEvent)
}

// StreamChatContext is StreamChat with a context; canceling it simulates a caller that disconnects.
func StreamChatContext(
	ctx context.Context, t testing.TB, entry, content string, tokens int, onEvent func(n int),
) Stream {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": ModelName, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/chat/completions", bytes.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+CallerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Stream{}
	}
	defer resp.Body.Close()
	s := Stream{Status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(resp.Body)
		s.Error = DecodeError(raw)
		return s
	}
	s.read(resp.Body, onEvent)
	return s
}

func (s *Stream) read(body io.Reader, onEvent func(n int)) {
	lines := bufio.NewScanner(body)
	errorEvent := false
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			errorEvent = true
		case isData && errorEvent:
			s.Error = DecodeError([]byte(data))
		case data == "[DONE]":
			s.Done = true
		case isData:
			s.add(data)
			if onEvent != nil {
				onEvent(s.Events)
			}
		}
	}
}

func (s *Stream) add(data string) {
	var ev struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &ev) != nil {
		return
	}
	s.Events++
	for _, c := range ev.Choices {
		s.Text += c.Delta.Content
	}
}

// Runs returns the executions that the plain service has recorded.
func (d *Deployment) Runs() []serviceserver.Run {
	d.t.Helper()
	var runs []serviceserver.Run
	require.NoError(d.t, getJSON("http://"+d.serviceAddresses[0]+"/standin/runs", &runs))
	return runs
}
