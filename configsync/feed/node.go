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
	// budgeted is the store under the call budget of a process that does not watch.
	budgeted *store.Store
	state    atomic.Pointer[cluster.State]
	// cachedPosition saves computing the place again.
	cachedPosition atomic.Pointer[cachedPosition]
	// overBudget counts the times at which the call budget stopped this process from asking the service.
	overBudget atomic.Int64
	stopped    chan struct{}
	stopOnce   sync.Once

	mu      sync.Mutex
	changed chan struct{}
	buffer  changeBuffer
	refused string
	rng     *rand.Rand
	// highest is the highest revision ever in force, for the check that it never goes back.
	highest int64
	// confirmedAt is a time at which the revision in force was the latest one, as far as is known.
	confirmedAt time.Time
	// snapshotRevision is the revision of the newest snapshotRevision in the service that is known.
	snapshotRevision int64
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
	budget := rate.NewLimiter(rate.Every(budgetInterval), budgetBurst)
	return &Node{
		opts: opts, budgeted: opts.Store.WithBudget(budget), changed: make(chan struct{}),
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
	return n.ageLocked()
}

// neverConfirmedAge stands for a configuration that was never confirmed.
const neverConfirmedAge = 1000 * time.Hour

func (n *Node) ageLocked() time.Duration {
	if n.confirmedAt.IsZero() {
		return neverConfirmedAge
	}
	return time.Since(n.confirmedAt)
}

// confirmLocked takes note that the revision in force was the latest one at a time. The caller holds n.mu.
func (n *Node) confirmLocked(at time.Time) {
	if at.After(n.confirmedAt) {
		n.confirmedAt = at
	}
}

func (n *Node) confirmAt(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmLocked(at)
}

func (n *Node) revision() int64 {
	if s := n.state.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// ApplyState puts a whole committed configuration in force if it is newer than the present one.
func (n *Node) ApplyState(s *cluster.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.Revision > n.revision() {
		n.install(s, nil)
	}
}

// ApplyChange puts a change in force if it follows the present revision, and ignores earlier changes. It fails
// with a *cluster.RevisionGapError or a *cluster.ValidationError; the configuration in force is then unchanged.
func (n *Node) ApplyChange(c *operatorv1.Change) error {
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
		n.reportRefused(c.GetRevision(), err)
		return err
	}
	n.opts.Store.Observe(c)
	n.install(next, c)
	return nil
}

// reportRefused reports a revision that does not validate; one that leaves a gap is not at fault. The caller holds n.mu.
func (n *Node) reportRefused(revision int64, err error) {
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
	n.buffer.add(s.Revision, c)
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
		_, err := from.Since(ctx, n.revision(), n.ApplyChange)
		if err == nil {
			n.confirmAt(start)
			return nil
		}
		if !needsLoad(err) {
			return err
		}
	}
	s, err := from.Load(ctx)
	if err != nil {
		n.mu.Lock()
		n.reportRefused(0, err)
		n.mu.Unlock()
		return err
	}
	if s.Revision > 0 {
		n.ApplyState(s)
	}
	n.confirmAt(start)
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
	maxBufferedChanges = 256
	maxBufferedBytes   = 4 << 20
)

// changeBuffer holds the last changes in their binary form; the last one is that of revision last.
type changeBuffer struct {
	last     int64
	encoded  [][]byte
	bytes    int
	snapshot []byte
}

// add records the change that led to a revision; without a change the earlier ones are dropped.
func (b *changeBuffer) add(revision int64, c *operatorv1.Change) {
	b.snapshot = nil
	b.last = revision
	raw, err := proto.Marshal(c)
	if c == nil || err != nil {
		b.encoded, b.bytes = nil, 0
		return
	}
	b.encoded = append(b.encoded, raw)
	b.bytes += len(raw)
	for len(b.encoded) > maxBufferedChanges || b.bytes > maxBufferedBytes {
		b.bytes -= len(b.encoded[0])
		b.encoded = b.encoded[1:]
	}
}

// since returns the changes after a revision, false when they are not all kept.
func (b *changeBuffer) since(revision int64) ([][]byte, bool) {
	missing := b.last - revision
	if missing < 0 || missing > int64(len(b.encoded)) {
		return nil, false
	}
	return b.encoded[int64(len(b.encoded))-missing:], true
}

// ChangesAfter returns the changes after a revision that are in force here, false when they are not all kept.
func (n *Node) ChangesAfter(revision int64) ([]*operatorv1.Change, bool) {
	n.mu.Lock()
	raw, ok := n.buffer.since(revision)
	n.mu.Unlock()
	if !ok {
		return nil, false
	}
	out := make([]*operatorv1.Change, len(raw))
	for i, encoded := range raw {
		out[i] = &operatorv1.Change{}
		if err := proto.Unmarshal(encoded, out[i]); err != nil {
			return nil, false
		}
	}
	return out, true
}
