// Package feed distributes the cluster configuration to all processes: a tree of long polls in each failure
// domain, whose first two processes watch the key-value service.
package feed

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/configsync/store"
	"lavendermoor.example/telemetry/invariant"
)

// Options are the parts of a Node.
type Options struct {
	// Self is this process.
	Self Peer
	// Peers returns the known processes; it is called often and must not block.
	Peers func() []Peer
	// Store is the configuration in the key-value service.
	Store *store.Store
	// Client is used for calls to peers. It must have no timeout of its own.
	Client *http.Client
	Log    *zap.Logger
	// Seed of the jitter; 0 takes a random one.
	Seed uint64
}

// Node holds the configuration in force in this process and serves it to others. All methods may be called by
// any goroutine.
type Node struct {
	opts  Options
	state atomic.Pointer[cluster.State]

	mu      sync.Mutex
	changed chan struct{}
	recent  recent
	refused string
	rng     *rand.Rand
}

// keptChanges is the number of changes that a process keeps for its children; at the average size 128 KB.
const keptChanges = 256

// recent holds the last changes in their binary form; the last one is that of revision last.
type recent struct {
	last     int64
	encoded  [][]byte
	snapshot []byte
}

// NewNode returns a Node without a configuration; Run obtains one.
func NewNode(opts Options) *Node {
	seed := opts.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	return &Node{opts: opts, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, seed))}
}

// State returns the configuration in force, or nil before the first.
func (n *Node) State() *cluster.State { return n.state.Load() }

// Changed returns a channel that is closed when a configuration after the present one comes into force.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Refused describes the last revision that did not validate, empty when none was refused since the last accepted.
func (n *Node) Refused() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused
}

func (n *Node) revision() int64 {
	if s := n.state.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Accept puts a committed configuration in force if it is newer than the present one. It is called with the
// result of a commit of this process, which the tree would bring later.
func (n *Node) Accept(s *cluster.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.install(s, nil)
}

// AcceptChange puts a change in force if it follows the present revision, and ignores earlier changes. It fails
// with a *cluster.RevisionGapError or a *cluster.ValidationError; the configuration in force is then unchanged.
func (n *Node) AcceptChange(c *operatorv1.Change) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	base := n.state.Load()
	if base == nil {
		base = cluster.Empty()
	}
	if c.GetRevision() <= base.Revision {
		return nil
	}
	next, err := base.Apply(c)
	if err != nil {
		n.refuse(c.GetRevision(), err)
		return err
	}
	n.install(next, c)
	return nil
}

func (n *Node) refuse(revision int64, err error) {
	n.refused = err.Error()
	n.opts.Log.Error("configuration refused", zap.Int64("revision", revision), zap.Error(err))
}

// install is the only place that sets the configuration in force. The caller holds n.mu.
func (n *Node) install(s *cluster.State, c *operatorv1.Change) {
	before := n.state.Load()
	if before != nil && s.Revision <= before.Revision {
		return
	}
	invariant.Check(before == nil || s.Revision > before.Revision, invariant.Config,
		"process %s goes from revision %d to %d", n.opts.Self.Name, n.revision(), s.Revision)
	n.recent.add(s.Revision, c)
	n.refused = ""
	n.state.Store(s)
	close(n.changed)
	n.changed = make(chan struct{})
	n.opts.Log.Info("configuration in force", zap.Int64("revision", s.Revision))
}

// add records the change that led to a revision; without a change the earlier ones are dropped.
func (r *recent) add(revision int64, c *operatorv1.Change) {
	r.snapshot = nil
	r.last = revision
	if c == nil {
		r.encoded = nil
		return
	}
	raw, err := proto.Marshal(c)
	if err != nil {
		r.encoded = nil
		return
	}
	r.encoded = append(r.encoded, raw)
	if len(r.encoded) > keptChanges {
		r.encoded = append([][]byte(nil), r.encoded[len(r.encoded)-keptChanges:]...)
	}
}

// since returns the changes after a revision, false when they are not all kept.
func (r *recent) since(revision int64) ([][]byte, bool) {
	missing := r.last - revision
	if missing < 0 || missing > int64(len(r.encoded)) {
		return nil, false
	}
	return r.encoded[int64(len(r.encoded))-missing:], true
}

// ChangesAfter returns the changes after a revision that are in force here, false when they are not all kept.
func (n *Node) ChangesAfter(revision int64) ([]*operatorv1.Change, bool) {
	n.mu.Lock()
	raw, ok := n.recent.since(revision)
	n.mu.Unlock()
	if !ok {
		return nil, false
	}
	out := make([]*operatorv1.Change, len(raw))
	for i, b := range raw {
		out[i] = &operatorv1.Change{}
		if err := proto.Unmarshal(b, out[i]); err != nil {
			return nil, false
		}
	}
	return out, true
}

// Run keeps the configuration up to date until the context ends, and returns the context's error.
func (n *Node) Run(ctx context.Context) error {
	var failures int
	for ctx.Err() == nil {
		err := n.round(ctx, failures)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			break
		}
		n.opts.Log.Warn("configuration source failed", zap.Error(err), zap.Int("failures", failures))
		failures++
		n.pause(ctx, failures)
	}
	return ctx.Err()
}

// Bounds of the pause after a failure.
const (
	minPause = 500 * time.Millisecond
	maxPause = 30 * time.Second
)

// pause waits a random time up to a bound that doubles with each failure.
func (n *Node) pause(ctx context.Context, failures int) {
	bound := min(minPause<<min(failures-1, 10), maxPause)
	n.mu.Lock()
	d := bound/2 + time.Duration(n.rng.Int64N(int64(bound/2)+1))
	n.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// round obtains changes from the source that this process's place says, or from the next one after failures.
func (n *Node) round(ctx context.Context, failures int) error {
	p := locate(n.opts.Self, n.opts.Peers())
	if p.watches() {
		err := n.follow(ctx)
		if ctx.Err() != nil || n.State() != nil {
			return err
		}
		return n.pollNth(ctx, p, failures)
	}
	if failures == 0 {
		return n.poll(ctx, p.parent())
	}
	err := n.pollNth(ctx, p, failures)
	if err == nil || ctx.Err() != nil {
		return err
	}
	return n.loadOnce(ctx)
}

func (n *Node) pollNth(ctx context.Context, p place, nth int) error {
	peer, ok := p.fallback(nth)
	if !ok {
		peer, ok = p.fallback(0)
	}
	if !ok {
		return &NoPeerError{}
	}
	return n.poll(ctx, peer)
}

// follow loads the configuration and watches the service; it returns only with an error.
func (n *Node) follow(ctx context.Context) error {
	if err := n.loadOnce(ctx); err != nil {
		return err
	}
	state := n.State()
	if state == nil {
		state = cluster.Empty()
	}
	return n.opts.Store.Follow(ctx, state, n.AcceptChange)
}

func (n *Node) loadOnce(ctx context.Context) error {
	var s *cluster.State
	var err error
	if have := n.State(); have != nil {
		s, err = n.opts.Store.Refresh(ctx, have)
	} else {
		s, err = n.opts.Store.Load(ctx)
	}
	if err != nil {
		return err
	}
	if s.Revision > 0 {
		n.Accept(s)
	}
	return nil
}
