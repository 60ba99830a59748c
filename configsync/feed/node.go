// Package feed distributes the cluster configuration to all processes. The processes of a failure domain form a tree:
// the first two watch the key-value service, and each of the others long-polls its parent.
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

// Attachment is a versioned document, the instance list, that the feed distributes with the configuration. Its methods
// must be safe for concurrent use and must not block.
type Attachment interface {
	// Version returns the version of the current document, or 0 before the first.
	Version() int64
	// DeltaSince returns the delta from a version to the current document, or nil if there is none.
	DeltaSince(version int64) json.RawMessage
	// ApplyDelta applies a delta that DeltaSince returned in another process.
	ApplyDelta(delta json.RawMessage) error
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// noAttachment is the default attachment.
type noAttachment struct{}

func (noAttachment) Version() int64                   { return 0 }
func (noAttachment) DeltaSince(int64) json.RawMessage { return nil }
func (noAttachment) ApplyDelta(json.RawMessage) error { return nil }
func (noAttachment) Changed() <-chan struct{}         { return nil }

// Options configures a Node.
type Options struct {
	// Self describes this process.
	Self Peer
	// Peers returns the processes that take part in the distribution. It is called often and must not block. A returned
	// list must not be changed. Returning the same list again saves computing the tree position.
	Peers func() []Peer
	// Store accesses the configuration in the key-value service.
	Store *store.Store
	// Attachment is distributed with the configuration; nil for none.
	Attachment Attachment
	// Client makes the calls to peers. It must have no timeout, because the calls are long polls.
	Client *http.Client
	Log    *zap.Logger
	// Seed is the seed for choosing peers; 0 means a random one.
	Seed uint64
}

// Node holds the active configuration of this process and serves it to peers. It is safe for concurrent use.
type Node struct {
	opts Options
	// budgeted is the store with the call budget of a process that is not a watcher.
	budgeted *store.Store
	state    atomic.Pointer[cluster.State]
	// cachedPosition is the tree position in the last list of peers.
	cachedPosition atomic.Pointer[cachedPosition]
	// overBudget counts the calls to the service that were not made because of the call budget.
	overBudget atomic.Int64
	stopped    chan struct{}
	stopOnce   sync.Once

	mu sync.Mutex
	// changed is closed and replaced when a configuration is applied.
	changed chan struct{}
	buffer  changeBuffer
	// refused is the result of Refused.
	refused string
	rng     *rand.Rand
	// highest is the highest revision applied so far. It is used to check that the revision never decreases.
	highest int64
	// confirmedAt is the last time at which the active revision was confirmed to be the latest one.
	confirmedAt time.Time
	// snapshotRevision is the revision of the newest snapshot in the service, as of the last check.
	snapshotRevision int64
}

// NewNode returns a Node without a configuration. Run obtains one.
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

// State returns the active configuration, or nil if there is none yet.
func (n *Node) State() *cluster.State { return n.state.Load() }

// Changed returns a channel that is closed when the next configuration is applied.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Refused describes the last revision that failed validation. It is empty if there is none or a configuration has been
// applied since.
func (n *Node) Refused() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused
}

// Age returns the time since the active revision was last confirmed to be the latest, or neverConfirmedAge.
func (n *Node) Age() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ageLocked()
}

// neverConfirmedAge is the age of a configuration that was never confirmed to be the latest.
const neverConfirmedAge = 1000 * time.Hour

func (n *Node) ageLocked() time.Duration {
	if n.confirmedAt.IsZero() {
		return neverConfirmedAge
	}
	return time.Since(n.confirmedAt)
}

// confirmLocked records that the active revision was the latest one at the given time. The caller holds n.mu.
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

// ApplyState applies a complete committed configuration if it is newer than the active one.
func (n *Node) ApplyState(s *cluster.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.Revision > n.revision() {
		n.install(s, nil)
	}
}

// ApplyChange applies a change if it follows the active revision, and ignores earlier changes. If it fails with a
// *cluster.RevisionGapError or a *cluster.ValidationError, the active configuration is unchanged.
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

// reportRefused records and logs a revision that fails validation. It ignores other errors, such as missing revisions,
// and a repetition of the last error. The caller holds n.mu.
func (n *Node) reportRefused(revision int64, err error) {
	var invalid *cluster.ValidationError
	if !errors.As(err, &invalid) || n.refused == err.Error() {
		return
	}
	n.refused = err.Error()
	n.opts.Log.Error("configuration refused", zap.Int64("revision", revision), zap.Error(err))
}

// install replaces the active configuration. No other function does. c is the change that led to it, or nil for a
// complete configuration. The caller holds n.mu.
func (n *Node) install(s *cluster.State, c *operatorv1.Change) {
	invariant.Check(s.Revision > n.highest, invariant.ConfigMonotonic,
		"process %s goes from revision %d to %d", n.opts.Self.Name, n.highest, s.Revision)
	n.highest = max(n.highest, s.Revision)
	n.buffer.add(s.Revision, c)
	n.refused = ""
	n.state.Store(s)
	close(n.changed)
	n.changed = make(chan struct{})
	n.opts.Log.Info("configuration in force", zap.Int64("revision", s.Revision))
}

// CatchUp applies all changes after the active revision from the key-value service. It fails with the errors of the
// service, a *store.LogBehindError or a *cluster.ValidationError.
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

// needsLoad reports whether an error of Since requires loading the complete configuration: the log was trimmed, or it
// holds an invalid revision that a later one may have corrected.
func needsLoad(err error) bool {
	var trimmed *store.TrimmedError
	var gap *cluster.RevisionGapError
	var invalid *cluster.ValidationError
	return errors.As(err, &trimmed) || errors.As(err, &gap) || errors.As(err, &invalid)
}

// Bounds of the changes that a process buffers for its children. 256 changes of average size take 128 KB. A child that
// lacks more changes receives a snapshot.
const (
	maxBufferedChanges = 256
	maxBufferedBytes   = 4 << 20
)

// changeBuffer holds the last changes in binary form, up to revision last.
type changeBuffer struct {
	last    int64
	encoded [][]byte
	// bytes is the total size of the encoded changes.
	bytes int
	// snapshot is the complete configuration at revision last in binary form, or nil until a caller needs it.
	snapshot []byte
}

// add records the change that led to a revision. If c is nil, it drops the buffered changes, because they do not lead
// to that revision.
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

// since returns the changes after a revision, or false if some of them are not buffered.
func (b *changeBuffer) since(revision int64) ([][]byte, bool) {
	missing := b.last - revision
	if missing < 0 || missing > int64(len(b.encoded)) {
		return nil, false
	}
	return b.encoded[int64(len(b.encoded))-missing:], true
}

// ChangesAfter returns the applied changes after a revision, or false if some of them are not buffered.
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
