// Package rankapi defines the JSON messages between the side process of a group's rank 0 server and the ranks,
// and their client. Each rank has a base URL.
package rankapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"

	"lavendermoor.example/expertmap"
)

// Paths below a rank's base URL.
const (
	// PathMap takes an Offer by POST and answers with a Status, or with a Refusal and status 409.
	PathMap = "/rank/v1/map"
	// PathStatus returns a Status. The query "experts=true" asks for the tokens of each expert.
	PathStatus = "/rank/v1/status"
)

// QueryExperts is the query parameter of PathStatus.
const QueryExperts = "experts"

// Offer offers a map to a rank. A repeat has no further effect.
type Offer struct {
	Group string         `json:"group"`
	Map   *expertmap.Map `json:"map"`
}

// Refusal says why a rank did not take a map.
type Refusal struct {
	// Have is the highest version that the rank knows.
	Have    int64  `json:"have"`
	Message string `json:"message"`
}

// Status is a rank's report of itself. The counters start at 0 when the rank switches to another map.
type Status struct {
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	// Active is the version of the last step, 0 before the first; Digest is its digest.
	Active int64  `json:"active"`
	Digest string `json:"digest,omitempty"`
	// Top is the highest version known, loaded or not.
	Top int64 `json:"top"`
	expertmap.BarrierReport
	// Steps is the number of steps with the active map.
	Steps int64 `json:"steps"`
	// Seconds is the time that the rank computed in these steps, without waiting for others.
	Seconds float64 `json:"seconds"`
	// Tokens is the number of tokens in these steps, over all layers.
	Tokens int64 `json:"tokens"`
	// Experts counts the tokens of each expert that the rank holds, in order of layer and slot. It is sent only
	// when asked for, since it is most of the message.
	Experts []int64 `json:"experts,omitempty"`
}

// RefusedError says that a rank refused a request.
type RefusedError struct {
	Status int
	Refusal
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("rank refused with status %d: %s", e.Status, e.Message)
}

// Client speaks to one rank. It may be used by any goroutine.
type Client struct {
	base *url.URL
	http *http.Client
}

// NewClient returns a client of the rank at base. The HTTP client has to bound the time of a call.
func NewClient(base *url.URL, h *http.Client) *Client { return &Client{base: base, http: h} }

// maxResponseBytes bounds an answer; a status of 60 layers x 5 slots is a few kilobytes.
const maxResponseBytes = 4 << 20

// Offer offers a map. It fails with a *RefusedError (no effect) or an error of the transport, after which the
// rank may have taken the map; the offer may be repeated.
func (c *Client) Offer(ctx context.Context, o Offer) (Status, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return Status{}, merry.Wrap(err)
	}
	return c.do(ctx, http.MethodPost, c.base.JoinPath(PathMap), bytes.NewReader(body))
}

// Status asks for a rank's status, with the tokens of each expert if experts is set. It fails with a
// *RefusedError or an error of the transport.
func (c *Client) Status(ctx context.Context, experts bool) (Status, error) {
	u := c.base.JoinPath(PathStatus)
	if experts {
		u.RawQuery = QueryExperts + "=true"
	}
	return c.do(ctx, http.MethodGet, u, nil)
}

func (c *Client) do(ctx context.Context, method string, u *url.URL, body io.Reader) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, method, u.String(), body)
	if err != nil {
		return Status{}, merry.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Status{}, merry.Wrap(err)
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode != http.StatusOK {
		refused := &RefusedError{Status: resp.StatusCode}
		_ = dec.Decode(&refused.Refusal)
		return Status{}, merry.Wrap(refused)
	}
	var out Status
	if err := dec.Decode(&out); err != nil {
		return Status{}, merry.Wrap(err)
	}
	return out, nil
}
