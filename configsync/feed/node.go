// Package feed distributes the cluster configuration to all processes: a tree of long polls in each failure
// domain, whose first two processes watch the key-value service.
package feed

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/configsync/store"
	"lavendermoor.example/telemetry/invariant"
)

// Attachment is a versioned document that the feed carries beside the configuration: the instance list. Its methods
// may be called from any goroutine and must not block.
type Attachment interface {
	// Version is that of the present document, 0 before the first.
	Version() int64
	// Since returns what a process with the version lacks, nil for nothing.
	Since(version int64) json.RawMessage
	// Take takes what Since returned in another process.
	Take(delta json.RawMessage) error
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// noAttachment is used where Options has none.
type noAttachment struct{}

func (noAttachment) Version() int64              { return 0 }
func (noAttachment) Since(int64) json.RawMessage { return nil }
func (noAttachment) Take(json.RawMessage) error  { return nil }
func (noAttachment) Changed() <-chan struct{}    { return nil }

// Options are the parts of a Node.
type Options struct {
	// Self is this process.
	Self Peer
	// Peers returns the known processes; it is called often and must not block. A list that has been returned must
	// not be changed; returning the same list again saves work.
	Peers func() []Peer
	// Store is the configuration in the key-value service.
	Store *store.Store
	// Attachment is carried beside the configuration; nil for none.
	Attachment Attachment
	// Client is used for calls to peers. It must have no timeout of its own.
	Client *http.Client
	Log    *zap.Logger
	// Seed of the choice of peers; 0 takes a random one.
	Seed uint64
}

// Node holds the configuration in force in this process and serves it to others. All methods may be called by
// any goroutine.
type Node struct {
	opts Options
	// fallback is the store under the call budget of a process that does not watch.
	fallback *store.Store
	state    atomic.Pointer[cluster.State]
	// lastPlace saves computing the place again.
	lastPlace atomic.Pointer[placeOf]
	// overBudget counts the times at which the call budget stopped this process from asking the service.
	overBudget atomic.Int64
	stopped    chan struct{}
	stopOnce   sync.Once

	mu      sync.Mutex
	changed chan struct{}
	recent  recent
	refused string
	rng     *rand.Rand
	// highest is the highest revision ever in force, for the check that it never goes back.
	highest int64
	// confirmed is a time at which the revision in force was the latest one, as far as is known.
	confirmed time.Time
	// snapshot is the revision of the newest snapshot in the service that is known.
	snapshot int64
}

// NewNode returns a Node without a configuration; Run obtains one.
func NewNode(opts Options) *Node {
	if opts.Attachment == nil {
		opts.Attachment = noAttachment{}
	}
	seed := opts.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	budget := rate.NewLimiter(rate.Every(fallbackInterval), fallbackBurst)
	return &Node{
		opts: opts, fallback: opts.Store.Limited(budget), changed: make(chan struct{}),
		stopped: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, seed)),
	}
}

// State returns the configuration in force, or nil before the first.
func (n *Node) State() *cluster.State { return n.state.Load() }

// Changed returns a channel that is closed when a configuration after the present one comes into force.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Refused describes the last revision that did not validate; empty when the newest known revision is in force.
func (n *Node) Refused() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused
}

// Age returns how long ago the revision in force was known to be the latest, a very long time when it never was.
func (n *Node) Age() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.age()
}

// unknownAge stands for a configuration that was never confirmed.
const unknownAge = 1000 * time.Hour

func (n *Node) age() time.Duration {
	if n.confirmed.IsZero() {
		return unknownAge
	}
	return time.Since(n.confirmed)
}

// confirm takes note that the revision in force was the latest one at a time. The caller holds n.mu.
func (n *Node) confirm(at time.Time) {
	if at.After(n.confirmed) {
		n.confirmed = at
	}
}

func (n *Node) confirmNow(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirm(at)
}

func (n *Node) revision() int64 {
	if s := n.state.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Accept puts a whole committed configuration in force if it is newer than the present one.
func (n *Node) Accept(s *cluster.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.Revision > n.revision() {
		n.install(s, nil)
	}
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
	n.opts.Store.Observe(c)
	n.install(next, c)
	return nil
}

// refuse reports a revision that does not validate; one that leaves a gap is not at fault. The caller holds n.mu.
func (n *Node) refuse(revision int64, err error) {
	var invalid *cluster.ValidationError
	if !errors.As(err, &invalid) || n.refused == err.Error() {
		return
	}
	n.refused = err.Error()
	n.opts.Log.Error("configuration refused", zap.Int64("revision", revision), zap.Error(err))
}

// install is the only place that sets the configuration in force. The caller holds n.mu.
func (n *Node) install(s *cluster.State, c *operatorv1.Change) {
	invariant.Check(s.Revision > n.highest, invariant.Config,
		"process %s goes from revision %d to %d", n.opts.Self.Name, n.highest, s.Revision)
	n.highest = max(n.highest, s.Revision)
	n.recent.add(s.Revision, c)
	n.refused = ""
	n.state.Store(s)
	close(n.changed)
	n.changed = make(chan struct{})
	n.opts.Log.Info("configuration in force", zap.Int64("revision", s.Revision))
}

// CatchUp puts in force what the key-value service has after the present revision. It fails with the errors of
// the service, a *store.LogBehindError or a *cluster.ValidationError.
func (n *Node) CatchUp(ctx context.Context) error { return n.catchUp(ctx, n.opts.Store) }

func (n *Node) catchUp(ctx context.Context, from *store.Store) error {
	start := time.Now()
	if n.State() != nil {
		_, err := from.Since(ctx, n.revision(), n.AcceptChange)
		if err == nil {
			n.confirmNow(start)
			return nil
		}
		if !needsLoad(err) {
			return err
		}
	}
	s, err := from.Load(ctx)
	if err != nil {
		n.mu.Lock()
		n.refuse(0, err)
		n.mu.Unlock()
		return err
	}
	if s.Revision > 0 {
		n.Accept(s)
	}
	n.confirmNow(start)
	return nil
}

// needsLoad says whether an error of Since calls for the whole configuration: the log was trimmed, or holds a
// revision that does not validate, which a later one may have put right.
func needsLoad(err error) bool {
	var trimmed *store.TrimmedError
	var gap *cluster.RevisionGapError
	var invalid *cluster.ValidationError
	return errors.As(err, &trimmed) || errors.As(err, &gap) || errors.As(err, &invalid)
}

// Bounds of the changes that a process keeps for its children; at the average size 256 changes have 128 KB. A caller
// that lacks more gets a snapshot.
const (
	keptChanges = 256
	keptBytes   = 4 << 20
)

// recent holds the last changes in their binary form; the last one is that of revision last.
type recent struct {
	last     int64
	encoded  [][]byte
	bytes    int
	snapshot []byte
}

// add records the change that led to a revision; without a change the earlier ones are dropped.
func (r *recent) add(revision int64, c *operatorv1.Change) {
	r.snapshot = nil
	r.last = revision
	raw, err := proto.Marshal(c)
	if c == nil || err != nil {
		r.encoded, r.bytes = nil, 0
		return
	}
	r.encoded = append(r.encoded, raw)
	r.bytes += len(raw)
	for len(r.encoded) > keptChanges || r.bytes > keptBytes {
		r.bytes -= len(r.encoded[0])
		r.encoded = r.encoded[1:]
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
