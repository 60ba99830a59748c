package rig

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one client attempt.
type Request struct {
	ID, Method, Path, Key, Body string
	// Tokens is the number of tokens to write, 0 for a plain request.
	Tokens   int
	Deadline time.Duration
}

// Answer is what the client got.
type Answer struct {
	// Status is 0 if the connection ended without an answer.
	Status   int
	Header   http.Header
	Body     string
	Complete bool
}

// NewClient returns a client that keeps connections.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}
}

// Send sends one request to a gateway and records it with its answer.
func (r *Rig) Send(c *http.Client, g *Gateway, q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline+time.Second)
	defer cancel()
	var body io.Reader
	if q.Body != "" {
		body = strings.NewReader(q.Body)
	}
	req, err := http.NewRequestWithContext(ctx, q.Method, g.URL+q.Path, body)
	if err != nil {
		return Answer{}
	}
	req.Host, req.GetBody = Host, nil
	req.Header.Set("Authorization", "Bearer "+q.Key)
	req.Header.Set("X-Attempt-Id", q.ID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	if q.Tokens > 0 {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Usage", "700,"+strconv.Itoa(q.Tokens))
		req.Header.Set("X-Prompt-Prefix", "5c1e07a2:40,"+q.ID+":660")
	}
	r.Rec.Add("client: sends %s %s %s to %s, %d bytes", q.ID, q.Method, q.Path, g.Name, len(q.Body))
	a := do(c, req)
	r.Rec.Add("client: %s answered by %s: status %d, %d bytes, complete %t", q.ID, g.Name, a.Status, len(a.Body), a.Complete)
	return a
}

func do(c *http.Client, req *http.Request) Answer {
	resp, err := c.Do(req)
	if err != nil {
		return Answer{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(text), Complete: err == nil}
}
