// Package rankapi defines the JSON messages between the sidecar of a group's rank 0 server and the ranks, and the
// client that the sidecar uses. Each rank has a separate base URL.
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

	"lavendermoor.example/clients/httpstatus"

	"lavendermoor.example/expertmap"
)

// Paths relative to a rank's base URL.
const (
	// PathMap accepts an Offer by POST. The response is a Status, or a Refusal with status 409.
	PathMap = "/rank/v1/map"
	// PathStatus returns a Status. The query "experts=true" includes the token counts of each expert.
	PathStatus = "/rank/v1/status"
)

// QueryExperts is the query parameter of PathStatus.
const QueryExperts = "experts"

// Offer offers a map to a rank. It is idempotent.
type Offer struct {
	Group string         `json:"group"`
	Map   *expertmap.Map `json:"map"`
}

// Refusal is the reason why a rank rejected a map.
type Refusal struct {
	// Have is the highest version that the rank holds if the offered version does not directly follow it, 0 if the rank
	// rejected the map for another reason.
	Have    int64  `json:"have"`
	Message string `json:"message"`
}

// Status is the state of a rank. The counters are reset to 0 when the rank switches to another map.
type Status struct {
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	// Active is the version used by the last step, 0 before the first step; Digest is the digest of that map.
	Active int64  `json:"active"`
	Digest string `json:"digest,omitempty"`
	// HighestVersion is the highest version that the rank holds, loaded or not, 0 if there is none.
	HighestVersion int64 `json:"top"`
	expertmap.BarrierReport
	// Steps is the number of steps run with the active map.
	Steps int64 `json:"steps"`
	// Seconds is the rank's compute time in these steps, without waiting for other ranks.
	Seconds float64 `json:"seconds"`
	// Tokens is the number of tokens that the rank processed in these steps, summed over all layers.
	Tokens int64 `json:"tokens"`
	// Experts counts the tokens of each expert that the rank holds, ordered by layer and slot. It is sent only on
	// request, since it makes up most of the message.
	Experts []int64 `json:"experts,omitempty"`
}

// RefusedError reports that a rank rejected a request. Status is the HTTP status of the response.
type RefusedError struct {
	Status int
	Refusal
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("rank refused with status %d: %s", e.Status, e.Message)
}

// StatusError reports a response with a status that says nothing about the request. The rank may have carried it out.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("rank answered with status %d", e.Status) }

// Client calls one rank. It is safe for concurrent use.
type Client struct {
	base *url.URL
	http *http.Client
}

// NewClient returns a client for the rank at base. The HTTP client must have a timeout.
func NewClient(base *url.URL, h *http.Client) *Client { return &Client{base: base, http: h} }

// maxResponseBytes limits a response; a status of 60 layers x 5 slots takes a few kilobytes.
const maxResponseBytes = 4 << 20

// Offer offers a map. It fails with a *RefusedError (no effect), or with a *StatusError or a transport error, after which
// the rank may have accepted the map. Offer can be retried.
func (c *Client) Offer(ctx context.Context, o Offer) (Status, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return Status{}, merry.Wrap(err)
	}
	return c.do(ctx, http.MethodPost, c.base.JoinPath(PathMap), bytes.NewReader(body))
}

// Status returns the rank's status, with the token counts of each expert if experts is set. It fails with a
// *RefusedError, a *StatusError or a transport error.
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
	switch {
	case httpstatus.IsRejection(resp.StatusCode):
		refused := &RefusedError{Status: resp.StatusCode}
		_ = dec.Decode(&refused.Refusal)
		return Status{}, merry.Wrap(refused)
	case resp.StatusCode != http.StatusOK:
		return Status{}, merry.Wrap(&StatusError{Status: resp.StatusCode})
	}
	var out Status
	if err := dec.Decode(&out); err != nil {
		return Status{}, merry.Wrap(err)
	}
	return out, nil
}
