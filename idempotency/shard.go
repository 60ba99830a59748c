package idempotency

import (
	"slices"
	"sort"
	"time"

	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
)

// shard is the state of one shard at this holder.
type shard struct {
	holders HolderSets
	records map[peerapi.CallKey]*record
	// complete means that every record that an earlier incarnation or an earlier holder may have had is here. A missing
	// record then proves that this holder has not granted the key.
	complete bool
	// mayHaveGranted means that grants of this server may be missing here: an earlier incarnation may have held the
	// shard, or a view was skipped.
	mayHaveGranted bool
	// retentionStart is the time from which the retention is counted if the copies are unavailable.
	retentionStart time.Time
	// copiedFrom contains the servers from which all records of the shard have been copied.
	copiedFrom map[string]bool
}

// SetView applies a view. A view with an older epoch than the current one is ignored.
func (t *Table) SetView(now time.Time, v View) {
	previous := t.views[v.Service]
	if previous != nil && v.Epoch < previous.Epoch {
		return
	}
	t.views[v.Service] = &v
	for i := range Shards {
		t.setShardView(now, shardID{v.Service, i}, previous, &v)
	}
}

func (t *Table) setShardView(now time.Time, id shardID, previous, v *View) {
	sets := v.HolderSets(id.shard)
	s := t.shards[id]
	if !contains(sets.All(), t.self.Server) {
		t.leaveShard(id, s)
		return
	}
	if s != nil && previous != nil && previous.Epoch == v.Epoch {
		s.holders = sets
		return
	}
	fresh := t.newShard(now, id.service, sets, previous == nil)
	if s != nil {
		fresh.records = s.records
		t.carryOver(s, fresh, previous, v)
	}
	t.shards[id] = fresh
}

func (t *Table) leaveShard(id shardID, s *shard) {
	if s == nil {
		return
	}
	for k := range s.records {
		t.remove(k)
	}
	delete(t.shards, id)
	t.lastDiscardedAttempt[id] = t.lastAttempt
}

// newShard returns the initial state of a shard for a holder without records of it. In the first view of a process
// the retention counts from the start of the process, later from the time at which the view was applied.
func (t *Table) newShard(now time.Time, service string, sets HolderSets, firstView bool) *shard {
	joined := len(sets.Old) > 0 && !contains(sets.Old, t.self.Server)
	s := &shard{
		holders: sets, records: map[peerapi.CallKey]*record{}, copiedFrom: map[string]bool{},
		mayHaveGranted: t.self.Incarnation != 1 && t.opts.PredecessorHeldKeys(service), retentionStart: now,
	}
	s.complete = !s.mayHaveGranted && !joined && firstView && !t.incarnationUnrecorded
	if firstView && !joined {
		s.retentionStart = t.startTime
	}
	return s
}

// carryOver keeps the completeness of a shard that this server already held before a change of servers. After a skipped
// epoch the shard becomes incomplete, because it may have had other holders in between.
func (t *Table) carryOver(s, fresh *shard, previous, v *View) {
	isNextEpoch := v.Epoch == previous.Epoch+1
	wasHolder := len(fresh.holders.Old) == 0 || contains(fresh.holders.Old, t.self.Server)
	if !isNextEpoch || !wasHolder {
		fresh.mayHaveGranted = true
		return
	}
	fresh.complete = s.complete
	fresh.retentionStart = s.retentionStart
	fresh.mayHaveGranted = s.mayHaveGranted
}

// PendingCopy is an incomplete shard, with the holders whose records are still missing.
type PendingCopy struct {
	Service string
	Shard   int
	Epoch   int64
	Sources []cluster.Member
}

// PendingCopies returns the incomplete shards, after completing those whose copies are all here or whose retention
// has passed.
func (t *Table) PendingCopies(now time.Time) []PendingCopy {
	var out []PendingCopy
	for id, s := range t.shards {
		t.tryComplete(now, s)
		if s.complete {
			continue
		}
		pending := PendingCopy{Service: id.service, Shard: id.shard, Epoch: t.views[id.service].Epoch}
		for _, m := range s.holders.All() {
			if m.Name != t.self.Server && !s.copiedFrom[m.Name] {
				pending.Sources = append(pending.Sources, m)
			}
		}
		out = append(out, pending)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Shard < out[j].Shard
	})
	return out
}

// tryComplete marks a shard complete if it has the required copies, or if its missing records have expired everywhere.
func (t *Table) tryComplete(now time.Time, s *shard) {
	if !s.complete && !t.incarnationUnrecorded && (s.hasRequiredCopies(t.self.Server) || now.Sub(s.retentionStart) > t.opts.Retention) {
		s.complete = true
	}
}

// isAuthoritative reports whether this holder may state that it has not granted a key of the shard.
func (t *Table) isAuthoritative(service string, s *shard) bool {
	return s.complete && (!t.opts.RequireHeldRecord || t.heldServices[service])
}

// UnrecordedServices returns the services that have complete shards here and are not recorded as held.
func (t *Table) UnrecordedServices() []string {
	var out []string
	for id, s := range t.shards {
		if s.complete && t.opts.RequireHeldRecord && !t.heldServices[id.service] && !slices.Contains(out, id.service) {
			out = append(out, id.service)
		}
	}
	return out
}

// MarkHeld notes that a service is recorded as held by this server, in a write that a later incarnation will see.
func (t *Table) MarkHeld(service string) { t.heldServices[service] = true }

// IncompleteShards returns the number of shards for which this holder is not authoritative yet.
func (t *Table) IncompleteShards() int {
	n := 0
	for id, s := range t.shards {
		if !t.isAuthoritative(id.service, s) {
			n++
		}
	}
	return n
}

// EpochReady reports whether an epoch of a service is active here and this holder is authoritative for all its shards
// of the service.
func (t *Table) EpochReady(service string, epoch int64) bool {
	v := t.views[service]
	if v == nil || v.Epoch != epoch {
		return false
	}
	for id, s := range t.shards {
		if id.service == service && !t.isAuthoritative(id.service, s) {
			return false
		}
	}
	return true
}

// hasRequiredCopies reports whether the copies contain every record that this holder must have before it may grant a
// key. Each attempt that counted a grant by an earlier incarnation of this server has a record at its runner, which is
// one of the new holders, and at one more holder of each set whose majority it needed. A server that never held the
// shard needs only the records of calls that ran under the older epoch, which a majority of the old holders has
// recorded.
func (s *shard) hasRequiredCopies(self string) bool {
	allCopied := func(members []cluster.Member) bool {
		others := 0
		for _, m := range members {
			if m.Name == self {
				continue
			}
			others++
			if !s.copiedFrom[m.Name] {
				return false
			}
		}
		return others > 0
	}
	isCopied := func(name string) bool { return s.copiedFrom[name] }
	switch {
	case len(s.holders.Old) == 0:
		return allCopied(s.holders.New)
	case contains(s.holders.Old, self):
		return allCopied(s.holders.New) && allCopied(s.holders.Old)
	case s.mayHaveGranted:
		return allCopied(s.holders.New) && hasMajority(s.holders.Old, isCopied)
	}
	return hasMajority(s.holders.Old, isCopied)
}

// ExportPage returns a page of a shard's records, which ends after the key that reaches the limit.
func (t *Table) ExportPage(now time.Time, from peerapi.Peer, p peerapi.PullRange, limit int) peerapi.RecordsResponse {
	t.ObserveIncarnation(from)
	out := peerapi.RecordsResponse{From: t.self, Epoch: t.epoch(p.Service)}
	s := t.shards[shardID{p.Service, p.Shard}]
	if s == nil {
		return out
	}
	t.tryComplete(now, s)
	out.Complete = t.isAuthoritative(p.Service, s)
	for _, k := range keysAfter(s, p.Cursor) {
		if len(out.Records) >= limit {
			out.Next = cursorOf(out.Records[len(out.Records)-1].Key)
			break
		}
		out.Records = append(out.Records, t.keyRecords(now, k, s.records[k])...)
	}
	return out
}

func keysAfter(s *shard, cursor string) []peerapi.CallKey {
	keys := make([]peerapi.CallKey, 0, len(s.records))
	for k := range s.records {
		if cursorOf(k) > cursor {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b peerapi.CallKey) int {
		if cursorOf(a) < cursorOf(b) {
			return -1
		}
		return 1
	})
	return keys
}

// cursorOf returns the sort key of a key within its shard. Customer names contain no zero byte.
func cursorOf(k peerapi.CallKey) string { return k.Customer + "\x00" + k.Key }

func (t *Table) keyRecord(now time.Time, k peerapi.CallKey, r *record) peerapi.KeyRecord {
	age := now.Sub(t.startTime) - r.changedAt
	return peerapi.KeyRecord{
		Key: k, Digest: r.digest, Attempt: r.attempt, Outcome: r.decodeOutcome(), AgeMs: age.Milliseconds(),
	}
}

func (t *Table) keyRecords(now time.Time, k peerapi.CallKey, r *record) []peerapi.KeyRecord {
	out := []peerapi.KeyRecord{t.keyRecord(now, k, r)}
	for _, a := range r.otherAttempts {
		m := out[0]
		m.Attempt = a
		out = append(out, m)
	}
	return out
}

func (t *Table) epoch(service string) int64 {
	if v := t.views[service]; v != nil {
		return v.Epoch
	}
	return 0
}

// IsUsablePage reports whether a page may be used for a copy at the given epoch. A source with a newer epoch shows
// that this process lags; one with an older epoch could still grant claims of that epoch after the copy.
func IsUsablePage(r peerapi.RecordsResponse, epoch int64) bool { return r.Complete && r.Epoch == epoch }

// ImportPage stores the records of one page.
func (t *Table) ImportPage(now time.Time, from peerapi.Peer, records []peerapi.KeyRecord) {
	t.ObserveIncarnation(from)
	for _, r := range records {
		t.StoreRecord(now, r)
	}
}

// MarkCopied notes that all pages of a holder were imported, all from the same incarnation of it, while the epoch was
// active here. It does nothing if the epoch has changed since.
func (t *Table) MarkCopied(now time.Time, pending PendingCopy, from peerapi.Peer) {
	s := t.shards[shardID{pending.Service, pending.Shard}]
	if s == nil || t.epoch(pending.Service) != pending.Epoch || t.isReplaced(from) {
		return
	}
	s.copiedFrom[from.Server] = true
	t.tryComplete(now, s)
}

// StoreRecord stores a record from another holder. An outcome replaces grants. A grant to another attempt is kept
// beside the existing ones, because any of these attempts may have run.
func (t *Table) StoreRecord(now time.Time, m peerapi.KeyRecord) {
	age := time.Duration(m.AgeMs) * time.Millisecond
	if age > t.opts.Retention || t.shardOf(m.Key) == nil {
		return
	}
	r := t.find(m.Key)
	if r == nil {
		r = &record{digest: m.Digest, attempt: m.Attempt, copied: true}
		t.put(now, m.Key, r, age)
	}
	if m.Outcome == nil || r.state == stateDone {
		t.checkSameRun(r, m)
		r.addAttempt(m.Attempt)
		return
	}
	t.checkNotRunning(r, m)
	r.digest = m.Digest
	r.attempt = m.Attempt
	t.setDone(now, m.Key, r, *m.Outcome, age)
}

func (r *record) addAttempt(a peerapi.Attempt) {
	if r.state != stateDone && r.attempt != a && !slices.Contains(r.otherAttempts, a) {
		r.otherAttempts = append(r.otherAttempts, a)
	}
}
