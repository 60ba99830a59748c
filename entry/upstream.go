package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
)

// Upstream chooses a replica for each request and exchanges it with the replica's side process. It may be
// used by any goroutine.
type Upstream struct {
	http *http.Client
	once *once
}

// Bounds of connections to side processes.
const (
	idleTimeout = 15 * time.Second
	idlePerHost = 64
)

// noReplicaRetry is how long a caller should wait when no replica can take its request.
const noReplicaRetry = time.Second

// NewUpstream returns an upstream with its own connections.
func NewUpstream() *Upstream {
	return &Upstream{once: newOnce(), http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout,
	}}}
}

// pick returns a random server that takes new work.
func pick(servers []*operatorv1.BackendServer) *operatorv1.BackendServer {
	var live []*operatorv1.BackendServer
	for _, s := range servers {
		if !s.GetDraining() {
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[rand.IntN(len(live))]
}

func noReplica() *callerapi.Error {
	return callerapi.NotRun(callerapi.NoReplica, "no replica takes the request").WithRetryAfter(noReplicaRetry)
}

// Generate runs a generation and calls fn for each event in order. It returns nil only after the complete
// answer.
func (u *Upstream) Generate(
	ctx context.Context, st *cluster.State, r *peerapi.GenerateRequest, fn func(json.RawMessage) error,
) *callerapi.Error {
	server := pick(st.ServersOfModel(r.Model))
	if server == nil {
		return noReplica()
	}
	r.Server = server.GetName()
	_, e := u.exchange(ctx, server.GetAddress(), peerapi.PathGenerate, r.ID, r, fn)
	return e
}

// Call runs a call of a plain service.
func (u *Upstream) Call(ctx context.Context, st *cluster.State, r *peerapi.CallRequest) (*peerapi.CallResult, *callerapi.Error) {
	if r.Token != "" || r.Key != "" {
		return u.once.call(ctx, st, r)
	}
	server := pick(st.ServersOfService(r.Service))
	if server == nil {
		return nil, noReplica()
	}
	r.Server = server.GetName()
	known := u.once.incarnation(r.Server)
	result, e := u.exchange(ctx, server.GetAddress(), peerapi.PathCall, r.ID, r, func(json.RawMessage) error { return nil })
	if e != nil && !r.Idempotent && broken(e) {
		return u.once.outcome(ctx, server.GetAddress(), r, known, e)
	}
	return result, e
}

// Token asks a side process of the service for a token.
func (u *Upstream) Token(ctx context.Context, st *cluster.State, r *peerapi.TokenRequest) (*peerapi.TokenResponse, *callerapi.Error) {
	server := pick(st.ServersOfService(r.Service))
	if server == nil {
		return nil, noReplica()
	}
	resp, err := u.post(ctx, server.GetAddress(), peerapi.PathToken, r)
	if err != nil {
		return nil, callerapi.NotRun(callerapi.BackendFailed, "no token: %v", err).WithRetryAfter(noReplicaRetry)
	}
	defer resp.Body.Close()
	var out peerapi.TokenResponse
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil || out.Token == "" {
		return nil, callerapi.NotRun(callerapi.BackendFailed, "server %q issues no tokens", server.GetName())
	}
	return &out, nil
}

func (u *Upstream) post(ctx context.Context, address, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.GetBody = nil // The transport must not repeat a request by itself.
	return u.http.Do(req)
}

// maxFrameBytes bounds one frame: the answer of a plain service, in base64.
const maxFrameBytes = 96 << 20

// exchange sends a request and reads the frames of its answer.
func (u *Upstream) exchange(
	ctx context.Context, address, path, id string, in any, fn func(json.RawMessage) error,
) (*peerapi.CallResult, *callerapi.Error) {
	resp, err := u.post(ctx, address, path, in)
	if err != nil {
		return nil, callerapi.Unknown(callerapi.BackendFailed, "exchange with %s failed: %v", address, err)
	}
	defer resp.Body.Close()
	u.once.note(resp.Header)
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxFrameBytes)
	var next int64
	for lines.Scan() {
		var f peerapi.Frame
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			return nil, callerapi.Unknown(callerapi.StreamBroken, "frame is not valid: %v", err)
		}
		switch {
		case f.ID != id || f.Seq < next:
			continue
		case f.Error != nil:
			return nil, frameError(f.Error)
		case f.End:
			return f.Result, nil
		case len(f.Data) > 0:
			next++
			if err := fn(f.Data); err != nil {
				return nil, callerapi.Unknown(callerapi.StreamBroken, "caller has gone: %v", err)
			}
		}
	}
	return nil, callerapi.Unknown(callerapi.StreamBroken, "answer ended early: %v", lines.Err())
}

func frameError(f *peerapi.FrameError) *callerapi.Error {
	return &callerapi.Error{
		Type: f.Type, Message: f.Message, Executed: f.Executed,
		RetryAfter: time.Duration(f.RetryAfterMs) * time.Millisecond,
	}
}
