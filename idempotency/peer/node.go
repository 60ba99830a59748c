// Package peer runs the protocol of package idempotency between sidecars, as JSON over HTTP.
package peer

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/idempotency"
)

// RunFunc executes a call once at the backend server. An error with ExecutedNo means that the call did not run and will
// not.
type RunFunc = func(ctx context.Context) (*peerapi.CallResult, *callerapi.Error)

// Configuration provides the active configuration, or nil before the first one.
type Configuration interface {
	State() *cluster.State
}

// Options are the settings and dependencies of a Node.
type Options struct {
	Self peerapi.Peer
	// Incarnation is the result of AcquireIncarnation. The zero value stands for a process without records in the
	// key-value service, as in tests of the protocol alone.
	Incarnation   ProcessIncarnation
	Configuration Configuration
	Log           *zap.Logger
	// Table limits the records of keyed calls; its retention is replaced by that of the configuration.
	Table idempotency.Options
	// Transport carries the messages to the peers; nil means a transport with its own limits.
	Transport http.RoundTripper
}

// Limits of the protocol.
const (
	// claimTimeout bounds the wait for the verdicts of holders. A paused holder delays a call by at most this time,
	// and only if its verdict is needed.
	claimTimeout = 500 * time.Millisecond
	// recordTimeout bounds the wait for holders to confirm an outcome before the caller receives it.
	recordTimeout = 500 * time.Millisecond
	// messageTimeout bounds any other message.
	messageTimeout = 2 * time.Second
	// maxAttemptWait is how long a runner delays its response to a query for an attempt in progress.
	maxAttemptWait = time.Second
	// retryAfter is the delay after which callers may retry, as sent with an error.
	retryAfter = time.Second
	// maxClaimAttempts bounds the attempts of one call, which tries again when another attempt for its key has ended or
	// was withdrawn.
	maxClaimAttempts = 16
	// maxKeyBytes bounds an idempotency key, because each holder stores it for the retention.
	maxKeyBytes = 255
	// idleTimeout and maxIdlePerHost limit the idle connections to a peer.
	idleTimeout    = 15 * time.Second
	maxIdlePerHost = 64
)

// Node runs the non-idempotent calls of one sidecar. Its methods are safe for concurrent use. One mutex guards the
// state; it is never held during I/O.
type Node struct {
	opts   Options
	client *http.Client

	mu      sync.Mutex
	table   *idempotency.Table
	tokens  *idempotency.Tokens
	unkeyed *idempotency.UnkeyedCalls
	// keyedEnded, by attempt number, and tokenEnded, by sequence number of the token, hold a channel for each attempt in
	// progress. The channel is closed when the attempt ends.
	keyedEnded map[int64]chan struct{}
	tokenEnded map[int64]chan struct{}
	views      map[string]idempotency.View
	state      *cluster.State
	draining   bool

	// viewChanged wakes MaintainIncarnationRecord when a service has new servers.
	viewChanged chan struct{}
	// incarnationRecorded means that the number is in the key-value service. Only MaintainIncarnationRecord uses it.
	incarnationRecorded bool

	// background counts the messages and runs that continue after the response to the call that caused them.
	background sync.WaitGroup
	// sentMessages and sentBytes count the messages to peers, for the state dump and for measurements.
	sentMessages, sentBytes int64
}

// New returns the node of an incarnation that starts now.
func New(opts Options) *Node {
	var key idempotency.MACKey
	_, _ = rand.Read(key[:]) // It never fails; see the documentation of crypto/rand.
	transport := opts.Transport
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout}
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	return &Node{
		opts: opts, client: &http.Client{Transport: transport},
		viewChanged: make(chan struct{}, 1),
		table:       newTable(&opts), incarnationRecorded: opts.Incarnation.Recorded, tokens: idempotency.NewTokens(opts.Self, key), unkeyed: idempotency.NewUnkeyedCalls(opts.Self.Incarnation),
		keyedEnded: map[int64]chan struct{}{}, tokenEnded: map[int64]chan struct{}{}, views: map[string]idempotency.View{},
	}
}

// newTable returns the table of a process. A process whose number is not recorded assumes that its predecessors held
// keys of all services.
func newTable(opts *Options) *idempotency.Table {
	o := opts.Table
	incarnation := opts.Incarnation
	o.RequireHeldRecord = incarnation.owner != ""
	if incarnation.Recorded {
		o.PredecessorHeldKeys = func(service string) bool { return slices.Contains(incarnation.HeldServices, service) }
	}
	t := idempotency.NewTable(opts.Self, o, time.Now())
	t.SetIncarnationRecorded(incarnation.Recorded || incarnation.owner == "")
	for _, service := range incarnation.HeldServices {
		t.MarkHeld(service)
	}
	return t
}

// Ready reports whether this server is authoritative for its complete shards. It is not ready until it has recorded,
// once for each service, that it holds keys.
func (n *Node) Ready() bool {
	n.lock()
	defer n.mu.Unlock()
	return len(n.table.UnrecordedServices()) == 0
}

// Self returns the incarnation of the node.
func (n *Node) Self() peerapi.Peer { return n.opts.Self }

// lock locks the mutex and applies the active configuration if the node has not applied it yet.
func (n *Node) lock() {
	st := n.opts.Configuration.State()
	n.mu.Lock()
	if st != nil && st != n.state && (n.state == nil || st.Revision >= n.state.Revision) {
		n.applyConfiguration(st)
	}
}

func (n *Node) applyConfiguration(st *cluster.State) {
	n.state = st
	n.table.SetRetention(st.Limits().KeyRetention)
	for _, o := range st.Objects() {
		service := o.GetService().GetName()
		if service == "" {
			continue
		}
		v := idempotency.ViewOf(st, service)
		if previous, ok := n.views[service]; !ok || !reflect.DeepEqual(previous, v) {
			n.views[service] = v
			n.table.SetView(time.Now(), v)
			select {
			case n.viewChanged <- struct{}{}:
			default: // A wake-up is already pending.
			}
		}
	}
}

// address returns the address of a server, or an empty string.
func (n *Node) address(server string) string {
	n.lock()
	defer n.mu.Unlock()
	if n.state != nil && n.state.Server(server) != nil {
		return n.state.Server(server).GetAddress()
	}
	for _, v := range n.views {
		for _, m := range append(append([]cluster.Member{}, v.Servers...), v.Previous...) {
			if m.Name == server {
				return m.Address
			}
		}
	}
	return ""
}

// Call runs, joins or replays a call of a plain service. It returns at the call's deadline at the latest.
func (n *Node) Call(ctx context.Context, r *peerapi.CallRequest, run RunFunc) (*peerapi.CallResult, *callerapi.Error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.DeadlineMs)*time.Millisecond)
	defer cancel()
	switch {
	case len(r.Key) > maxKeyBytes:
		return nil, callerapi.NotExecuted(callerapi.InvalidRequest, "idempotency key is longer than %d bytes", maxKeyBytes)
	case r.Token != "":
		return n.callToken(ctx, r, run)
	case r.Key != "":
		return n.callKeyed(ctx, r, run)
	case r.Idempotent:
		return run(ctx)
	}
	return n.callUnkeyed(ctx, r, run)
}

// digestOf returns the digest of a call. Each part is preceded by its length, so that different calls never yield the
// same input.
func digestOf(r *peerapi.CallRequest) peerapi.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Path), []byte(r.Query), r.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return peerapi.Digest(h.Sum(nil))
}

// outcomeOf returns the outcome to store for a run, or nil if the call did not run.
func outcomeOf(result *peerapi.CallResult, e *callerapi.Error) *peerapi.Outcome {
	switch {
	case e == nil:
		return &peerapi.Outcome{Result: result}
	case e.Executed == callerapi.ExecutedNo:
		return nil
	}
	return &peerapi.Outcome{Failure: peerapi.NewFrameError(e)}
}

// replayOutcome returns a stored outcome as the response to a call.
func replayOutcome(o *peerapi.Outcome) (*peerapi.CallResult, *callerapi.Error) {
	if o.Result == nil {
		return nil, &callerapi.Error{
			Type: o.Failure.Type, Message: o.Failure.Message, Executed: o.Failure.Executed,
			RetryAfter: time.Duration(o.Failure.RetryAfterMs) * time.Millisecond,
		}
	}
	result := *o.Result
	result.Replayed = true
	return &result, nil
}

func unknownOutcome(format string, args ...any) *callerapi.Error {
	return callerapi.MaybeExecuted(callerapi.OutcomeUnknown, format, args...).WithRetryAfter(retryAfter)
}

func deadlineError() *callerapi.Error {
	return callerapi.MaybeExecuted(callerapi.DeadlineExceeded, "deadline passed before the outcome was known").
		WithRetryAfter(retryAfter)
}

// runInBackground runs fn without delaying the response to the current call.
func (n *Node) runInBackground(fn func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		fn()
	}()
}

// Wait waits for the messages and runs in the background.
func (n *Node) Wait() { n.background.Wait() }

// Dump is the state dump of a node.
type Dump struct {
	Self       peerapi.Peer `json:"self"`
	Records    int          `json:"records"`
	Incomplete int          `json:"incomplete_shards"`
	Draining   bool         `json:"draining"`
	Sent       int64        `json:"messages_sent"`
	SentBytes  int64        `json:"message_bytes_sent"`
}

// Dump returns the state dump.
func (n *Node) Dump() Dump {
	n.lock()
	defer n.mu.Unlock()
	return Dump{
		Self: n.opts.Self, Records: n.table.Len(), Incomplete: n.table.IncompleteShards(), Draining: n.draining,
		Sent: n.sentMessages, SentBytes: n.sentBytes,
	}
}

// EpochReady reports whether an epoch of a service is active in this process and all copies are complete, which is the
// condition for clearing the list of previous servers.
func (n *Node) EpochReady(service string, epoch int64) bool {
	n.lock()
	defer n.mu.Unlock()
	return n.table.EpochReady(service, epoch)
}
