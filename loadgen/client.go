package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"lavendermoor.example/api/callerapi"
)

// Result is the result of one request.
type Result struct {
	Arrival *Arrival
	// Total is the time from the scheduled arrival to the end of the response, FirstToken the time to the first event.
	Total, FirstToken time.Duration
	// Gaps are the times between consecutive events of a stream.
	Gaps []time.Duration
	// Error is the error type, or "transport" if the exchange failed, or empty.
	Error string
	// Executed is the executed field of an error response.
	Executed callerapi.Executed
	// RetryAfter reports whether an error response had a Retry-After header.
	RetryAfter bool
	// Complete means that the whole response arrived, Wrong that its content differs from the expected one.
	Complete, Wrong bool
}

// InTime reports whether a complete and correct response arrived within the deadline, so that it counts as goodput.
func (r *Result) InTime() bool { return r.Complete && !r.Wrong && r.Total <= r.Arrival.Class.Deadline }

// ExpectedText returns the expected text of a generation with the given number of tokens, or false if it is unknown.
type ExpectedText func(prompt string, tokens int) (string, bool)

// Client sends the requests of a mix to the entries round-robin, as the platform's load balancer does.
type Client struct {
	Entries      []string
	Mix          *Mix
	ExpectedText ExpectedText
	// RunID makes idempotency keys unique between runs.
	RunID string
	HTTP  *http.Client
}

// transportError is Result.Error for an exchange without a valid response.
const transportError = "transport"

func (c *Client) send(ctx context.Context, a *Arrival, scheduled time.Time) *Result {
	res := &Result{Arrival: a}
	resp, err := c.do(ctx, a)
	if err == nil {
		defer resp.Body.Close()
		err = c.read(resp, res, scheduled)
	}
	if err != nil && res.Error == "" {
		res.Error = transportError
	}
	res.Total = time.Since(scheduled)
	return res
}

func (c *Client) do(ctx context.Context, a *Arrival) (*http.Response, error) {
	base := c.Entries[a.Number%len(c.Entries)]
	method, path, body := c.request(a)
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+a.CustomerKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(callerapi.HeaderDeadline, fmt.Sprint(a.Class.Deadline.Milliseconds()))
	if a.Class.Keyed {
		req.Header.Set(callerapi.HeaderIdempotencyKey, fmt.Sprintf("%s-%d", c.RunID, a.Number))
	}
	return c.HTTP.Do(req)
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

func (c *Client) request(a *Arrival) (method, path string, body []byte) {
	if a.Class.Tokens == 0 {
		path = "/v1/services/" + c.Mix.Service + expandNumber(a.Class.Path, a.Number)
		return a.Class.Method, path, []byte(expandNumber(a.Class.Body, a.Number))
	}
	// Marshal cannot fail for strings and integers.
	body, _ = json.Marshal(chatRequest{
		Model: c.Mix.Model, Stream: true, MaxTokens: a.Class.Tokens,
		Messages: []chatMessage{{Role: "user", Content: prompt(a)}},
	})
	return http.MethodPost, "/v1/chat/completions", body
}

func expandNumber(text string, n int) string { return strings.ReplaceAll(text, "%d", fmt.Sprint(n)) }

func (c *Client) read(resp *http.Response, res *Result, scheduled time.Time) error {
	if resp.StatusCode >= http.StatusBadRequest {
		return readError(resp, res)
	}
	if res.Arrival.Class.Tokens > 0 {
		return c.readStream(resp.Body, res, scheduled)
	}
	_, err := io.Copy(io.Discard, resp.Body)
	res.Complete = err == nil
	return err
}

// readError reads an error response. A response in another format than callerapi.ErrorBody comes from the service
// itself and counts as complete.
func readError(resp *http.Response, res *Result) error {
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var body callerapi.ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.Error == nil {
		res.Complete = true
		return nil //nolint:nilerr // See above.
	}
	res.Error, res.Executed = string(body.Error.Type), body.Error.Executed
	res.RetryAfter = resp.Header.Get(callerapi.HeaderRetryAfter) != ""
	return nil
}

type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (c *Client) readStream(body io.Reader, res *Result, scheduled time.Time) error {
	lines := bufio.NewScanner(body)
	var text strings.Builder
	var last time.Time
	failed := false
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			failed = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if failed {
			return readStreamError(data, res)
		}
		if data == "[DONE]" {
			res.Complete = true
			c.verify(res, text.String())
			return nil
		}
		last = res.recordEvent(scheduled, last)
		var chunk streamChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func readStreamError(data string, res *Result) error {
	var body callerapi.ErrorBody
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return err
	}
	res.Error, res.Executed = string(body.Error.Type), body.Error.Executed
	return nil
}

// recordEvent records the arrival of an event and returns its time.
func (r *Result) recordEvent(scheduled, last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		r.FirstToken = now.Sub(scheduled)
	} else {
		r.Gaps = append(r.Gaps, now.Sub(last))
	}
	return now
}

func (c *Client) verify(res *Result, text string) {
	if c.ExpectedText == nil {
		return
	}
	expected, known := c.ExpectedText(prompt(res.Arrival), res.Arrival.Class.Tokens)
	res.Wrong = known && text != expected
}
