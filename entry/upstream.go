package entry

import (
	"context"
	"encoding/json"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/entry/upstream"
)

// Upstream sends requests to sidecars: calls with a token or a key to the servers that record whether the call has
// run, all others to the replica that the router picks. It is safe for concurrent use.
type Upstream struct {
	client *upstream.Client
	keyed  *keyedCalls
}

// NewUpstream returns an upstream that sends its requests with the client.
func NewUpstream(client *upstream.Client) *Upstream {
	return &Upstream{client: client, keyed: &keyedCalls{client: client}}
}

func noReplica() *callerapi.Error {
	return callerapi.NotExecuted(callerapi.NoReplica, "no replica takes the request").WithRetryAfter(upstream.NoReplicaRetryAfter)
}

// Generate runs a generation and calls fn for each event in order. It returns nil only after a complete response.
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

// Token requests a call token from a sidecar of the service.
func (u *Upstream) Token(
	ctx context.Context, st *cluster.State, r *peerapi.TokenRequest,
) (*peerapi.TokenResponse, *callerapi.Error) {
	return u.client.Token(ctx, st, r)
}
