package idempotency

import (
	"encoding/json"
	"slices"
	"time"

	"lavendermoor.example/api/peerapi"
)

// Options configure a Table. Zero fields take their defaults.
type Options struct {
	// Retention is how long a key is kept after its last change.
	Retention time.Duration
	// MaxRecords is the maximum number of keys; further new keys are refused.
	MaxRecords int
	// MaxBodyBytes limits the total size of stored outcomes; beyond it, outcomes are stored without their body.
	MaxBodyBytes int
	// PredecessorHeldKeys reports whether an earlier incarnation of this server may have held keys of a service; nil
	// means yes. Its result must not change.
	PredecessorHeldKeys func(service string) bool
	// RequireHeldRecord makes this server authoritative for a service only after MarkHeld, that is, after the service
	// was recorded as held by it. PredecessorHeldKeys of a later incarnation then returns true.
	RequireHeldRecord bool
	// MaxClaimAge is the maximum age of a claim whose run may begin. It bounds how long a paused runner can wait
	// between claim and run, so that its grants cannot have expired by then.
	MaxClaimAge time.Duration
}

// Defaults of Options. 200,000 records of 650 bytes take 130 MB of the 256 MB of a node.
const (
	DefaultRetention    = time.Hour
	DefaultMaxRecords   = 200_000
	DefaultMaxBodyBytes = 64 << 20
	DefaultMaxClaimAge  = 5 * time.Second
	// MaxKeptBodyBytes is the size of the largest body that is stored with an outcome.
	MaxKeptBodyBytes = 64 << 10
)

func (o Options) withDefaults() Options {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.MaxRecords == 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if o.MaxClaimAge == 0 {
		o.MaxClaimAge = DefaultMaxClaimAge
	}
	if o.PredecessorHeldKeys == nil {
		o.PredecessorHeldKeys = func(string) bool { return true }
	}
	return o
}

type state uint8

const (
	stateGranted state = iota
	// stateRunning is used only by the runner.
	stateRunning
	stateDone
)

type record struct {
	digest  peerapi.Digest
	attempt peerapi.Attempt
	state   state
	// copied means that the attempt comes from the record of another holder; this server has not granted it.
	copied bool
	// otherAttempts are further attempts to which other holders had granted the key when their records were copied.
	// Any of these attempts may have run.
	otherAttempts []peerapi.Attempt
	// outcome is a peerapi.Outcome as JSON, which takes 650 bytes per record; the decoded message with its header map
	// takes 1,000.
	outcome []byte
	// changedAt is the time since startTime of the table.
	changedAt time.Duration
}

type shardID struct {
	service string
	shard   int
}

// expiry is an entry of the expiry queue, which is in order of arrival. An entry is stale once its record has changed
// again. A copied record has an older change than the entries before it and so is kept longer, but at most twice the
// retention.
type expiry struct {
	key       peerapi.CallKey
	changedAt time.Duration
}

// Table is the state of a sidecar for keyed calls, both as a holder of records and as a runner. It is not safe for
// concurrent use. All times passed to it must carry a monotonic clock reading.
type Table struct {
	self         peerapi.Peer
	opts         Options
	startTime    time.Time
	views        map[string]*View
	shards       map[shardID]*shard
	records      int
	outcomeBytes int
	expiryQueue  []expiry
	lastAttempt  int64
	claims       map[int64]*Claim
	// running contains the attempts that have begun and not ended. It is separate from the records so that it can be used
	// to check that no key begins twice.
	running map[peerapi.CallKey]peerapi.Attempt
	// lastDiscardedAttempt is, for each shard that this server has left, the number of the last attempt of this server
	// before it left. The table no longer has the results of the attempts up to this number for keys of the shard.
	lastDiscardedAttempt map[shardID]int64
	// incarnationUnrecorded means that the incarnation number has not been written to the key-value service, so that
	// a successor could mistake itself for the first incarnation. Nothing is granted until it is written.
	incarnationUnrecorded bool
	// heldServices are the services that are recorded as held by this server.
	heldServices map[string]bool
	// newestIncarnations is the newest known incarnation of each server.
	newestIncarnations map[string]int64
}

// NewTable returns the table of an incarnation that starts at the given time. Incarnation 1 has no predecessor.
func NewTable(self peerapi.Peer, opts Options, start time.Time) *Table {
	return &Table{
		self: self, opts: opts.withDefaults(), startTime: start,
		views: map[string]*View{}, heldServices: map[string]bool{}, shards: map[shardID]*shard{}, claims: map[int64]*Claim{},
		running: map[peerapi.CallKey]peerapi.Attempt{}, lastDiscardedAttempt: map[shardID]int64{},
		newestIncarnations: map[string]int64{self.Server: self.Incarnation},
	}
}

// Self returns the incarnation that the table belongs to.
func (t *Table) Self() peerapi.Peer { return t.self }

// SetIncarnationRecorded sets whether the incarnation number has been written to the key-value service. For a new
// table it counts as written.
func (t *Table) SetIncarnationRecorded(recorded bool) { t.incarnationUnrecorded = !recorded }

// SetRetention changes how long keys are kept.
func (t *Table) SetRetention(d time.Duration) { t.opts.Retention = d }

// ObserveIncarnation notes that an incarnation of a server exists. Earlier ones get no grants from then on, and their
// own grants no longer count: a restarted holder may have copied the records before its paused predecessor made a
// grant.
func (t *Table) ObserveIncarnation(p peerapi.Peer) {
	if p.Incarnation > t.newestIncarnations[p.Server] {
		t.newestIncarnations[p.Server] = p.Incarnation
	}
}

func (t *Table) isReplaced(p peerapi.Peer) bool {
	return p.Incarnation < t.newestIncarnations[p.Server]
}

func shardIDOf(k peerapi.CallKey) shardID { return shardID{k.Service, ShardOf(k)} }

// shardOf returns the shard of a key, or nil if this server does not hold it.
func (t *Table) shardOf(k peerapi.CallKey) *shard { return t.shards[shardIDOf(k)] }

func (t *Table) find(k peerapi.CallKey) *record {
	if s := t.shardOf(k); s != nil {
		return s.records[k]
	}
	return nil
}

func (t *Table) put(now time.Time, k peerapi.CallKey, r *record, age time.Duration) {
	id := shardIDOf(k)
	s := t.shards[id]
	if s == nil {
		return
	}
	if s.records[k] == nil {
		t.records++
	}
	s.records[k] = r
	t.touch(now, k, r, age)
}

func (t *Table) touch(now time.Time, k peerapi.CallKey, r *record, age time.Duration) {
	r.changedAt = now.Sub(t.startTime) - age
	t.expiryQueue = append(t.expiryQueue, expiry{k, r.changedAt})
}

func (t *Table) remove(k peerapi.CallKey) {
	s := t.shardOf(k)
	if s == nil || s.records[k] == nil {
		return
	}
	t.outcomeBytes -= len(s.records[k].outcome)
	delete(s.records, k)
	t.records--
}

// removeAttempt removes an attempt that will never run from the record of a key, and the record if that was the only
// attempt.
func (t *Table) removeAttempt(k peerapi.CallKey, a peerapi.Attempt) {
	r := t.find(k)
	if r == nil || r.state == stateDone {
		return
	}
	if i := slices.Index(r.otherAttempts, a); i >= 0 {
		r.otherAttempts = slices.Delete(r.otherAttempts, i, i+1)
	}
	switch {
	case r.attempt != a:
	case len(r.otherAttempts) > 0:
		r.attempt, r.otherAttempts, r.copied, r.state = r.otherAttempts[0], r.otherAttempts[1:], true, stateGranted
	default:
		t.remove(k)
	}
}

func bodyBytes(o *peerapi.Outcome) int {
	if o == nil || o.Result == nil {
		return 0
	}
	return len(o.Result.Body)
}

// Expire removes the records whose retention has passed, except for unfinished attempts of this incarnation.
func (t *Table) Expire(now time.Time) {
	cutoff := now.Sub(t.startTime) - t.opts.Retention
	n := 0
	for ; n < len(t.expiryQueue) && t.expiryQueue[n].changedAt < cutoff; n++ {
		e := t.expiryQueue[n]
		r := t.find(e.key)
		if r == nil || r.changedAt != e.changedAt || t.isOwnUnfinished(r) {
			continue
		}
		t.remove(e.key)
	}
	t.expiryQueue = t.expiryQueue[n:]
}

func (t *Table) isOwnUnfinished(r *record) bool {
	return r.attempt.Peer == t.self && r.state != stateDone
}

// Len returns the number of records.
func (t *Table) Len() int { return t.records }

// isFull reports whether new keys must be refused.
func (t *Table) isFull() bool { return t.records >= t.opts.MaxRecords }

// encodeOutcome returns the outcome in its stored form, without a body that is too large.
func (t *Table) encodeOutcome(o peerapi.Outcome) []byte {
	raw, err := json.Marshal(truncateOutcome(o, t.opts.MaxBodyBytes-t.outcomeBytes))
	if err != nil {
		panic(err) // The message contains only strings, numbers and bytes, which can always be encoded.
	}
	return raw
}

// decodeOutcome returns the outcome of a record, or nil.
func (r *record) decodeOutcome() *peerapi.Outcome {
	if r.outcome == nil {
		return nil
	}
	var o peerapi.Outcome
	if err := json.Unmarshal(r.outcome, &o); err != nil {
		panic(err) // It was encoded by this table.
	}
	return &o
}

func truncateOutcome(o peerapi.Outcome, maxBody int) *peerapi.Outcome {
	if o.Result == nil || len(o.Result.Body) <= min(maxBody, MaxKeptBodyBytes) {
		return &o
	}
	truncated := *o.Result
	truncated.Body = nil
	truncated.Truncated = true
	return &peerapi.Outcome{Result: &truncated, Failure: o.Failure}
}

// setDone stores the outcome of a run that ended the given duration ago.
func (t *Table) setDone(now time.Time, k peerapi.CallKey, r *record, o peerapi.Outcome, age time.Duration) {
	t.outcomeBytes -= len(r.outcome)
	r.outcome = t.encodeOutcome(o)
	t.outcomeBytes += len(r.outcome)
	r.state = stateDone
	r.otherAttempts = nil
	t.touch(now, k, r, age)
}
