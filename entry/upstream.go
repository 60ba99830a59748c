package entry

import (
	"context"
	"encoding/json"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/entry/upstream"
)

// Upstream exchanges requests with side processes: calls with a token or a key with the servers that can tell
// whether they have run, all others with the replica that routing chooses. It may be used by any goroutine.
type Upstream struct {
	client *upstream.Client
	keyed  *keyedCalls
}

// NewUpstream returns an upstream that uses the client for all calls without token or key.
func NewUpstream(client *upstream.Client) *Upstream {
	return &Upstream{client: client, keyed: &keyedCalls{client: client}}
}

func noReplica() *callerapi.Error {
	return callerapi.NotRun(callerapi.NoReplica, "no replica takes the request").WithRetryAfter(upstream.NoReplicaRetryAfter)
}

// Generate runs a generation and calls fn for each event in order. It returns nil only after the complete
// answer.
func (u *Upstream) Generate(
	ctx context.Context, r *peerapi.GenerateRequest, fn func(json.RawMessage) error,
) *callerapi.Error {
	return u.client.Generate(ctx, r, fn)
}

// Call runs a call of a plain service.
func (u *Upstream) Call(
	ctx context.Context, st *cluster.State, r *peerapi.CallRequest,
) (*peerapi.CallResult, *callerapi.Error) {
	if r.Token != "" || r.Key != "" {
		return u.keyed.call(ctx, st, r)
	}
	return u.client.Call(ctx, r)
}

// Token asks a side process of the service for a token.
func (u *Upstream) Token(
	ctx context.Context, st *cluster.State, r *peerapi.TokenRequest,
) (*peerapi.TokenResponse, *callerapi.Error) {
	return u.client.Token(ctx, st, r)
}
