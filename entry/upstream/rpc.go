package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/membership"
	"lavendermoor.example/routing"
)

// maxRPCResponseBytes bounds the response to an RPC, which may hold the result of a call.
const maxRPCResponseBytes = maxFrameBytes

func postJSON(ctx context.Context, client *http.Client, address, path string, body []byte, out any) error {
	url := "http://" + address + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return merry.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return merry.Wrap(&StatusError{Status: resp.StatusCode})
	}
	return merry.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxRPCResponseBytes)).Decode(out))
}

// newProber returns the membership prober: it fetches a server's load report over a new connection.
func newProber(router *routing.Router) membership.Prober {
	client := newRPCClient()
	return func(ctx context.Context, server string) (membership.Report, error) {
		replica := router.Picker().Replica(server)
		if replica == nil {
			return membership.Report{}, &routing.NoReplicaError{}
		}
		var l peerapi.LoadReport
		if err := postJSON(ctx, client, replica.Address, peerapi.PathLoad, nil, &l); err != nil {
			return membership.Report{}, err
		}
		return membershipReport(&l), nil
	}
}

const (
	// maxOutcomeFailures bounds the failed polls. Without it, the caller would receive the error only at the deadline.
	maxOutcomeFailures = 2
	// outcomePollInterval is the time between polls while the call is running.
	outcomePollInterval = 100 * time.Millisecond
)

// pollOutcome queries the sidecar that received a call for its outcome until the call has ended. If the sidecar cannot
// be reached, the outcome is unknown. The incarnation is the highest one that the server had reported before the call
// was sent, 0 if it had reported none.
func (c *Client) pollOutcome(
	ctx context.Context, replica *routing.Replica, id string, incarnation int64,
) peerapi.OutcomeResponse {
	query := &peerapi.OutcomeRequest{ID: id, Incarnation: incarnation}
	for failed := 0; failed < maxOutcomeFailures && ctx.Err() == nil; {
		var out peerapi.OutcomeResponse
		err := c.post(ctx, replica.Address, peerapi.PathOutcome, query, &out)
		switch {
		case err != nil:
			failed++
		case !out.Running:
			return out
		}
		select {
		case <-ctx.Done():
		case <-time.After(outcomePollInterval):
		}
	}
	return peerapi.OutcomeResponse{Executed: callerapi.ExecutedUnknown}
}
