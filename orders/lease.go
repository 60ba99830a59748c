// Package orders issues orders to model engines under a lease with a fencing number, and spreads loads over the
// rate of the weight store.
package orders

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"lavendermoor.example/clients/kv"
)

// LeaseKey returns the key of the lease of a backend server in an era of the service. Each era has a key of its own: revisions
// are given out again after a restore, so that a late write of an earlier era could meet the revision that it expects.
func LeaseKey(server string, era int64) string {
	key := "lease/" + server
	if era > 0 {
		key += "/" + strconv.FormatInt(era, 10)
	}
	return key
}

// tokensPerEra is the number of fencing numbers of one era. A restored service does not know which numbers were used after its copy
// was made, so that the numbers of each era lie above all earlier ones.
const tokensPerEra = 1 << 24

// LeaseRecord is the value of a lease key. The key is never deleted, so that the fencing number only grows.
type LeaseRecord struct {
	// Holder identifies one start of one process; empty after a release.
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	// Nonce identifies one write, so that a lost answer can be resolved by reading.
	Nonce string `json:"nonce"`
	TTLMs int64  `json:"ttl_ms"`
}

func (r LeaseRecord) ttl() time.Duration { return time.Duration(r.TTLMs) * time.Millisecond }

// LeaseSettings are the times of a lease.
type LeaseSettings struct {
	TTL time.Duration
	// Margin is taken off the end of the lease at the holder. It covers the way of an order to the engine and the
	// difference in rate of two monotonic clocks.
	Margin time.Duration
	// SinceBoot returns the time since the instance has started, suspensions included; nil for the kernel's clock.
	SinceBoot func() time.Duration
}

// DefaultLeaseSettings returns the usual times: orders may be sent for 8 s after the lease was taken, and another process may take
// it over 10 s after it has seen the record.
func DefaultLeaseSettings() LeaseSettings {
	return LeaseSettings{TTL: 10 * time.Second, Margin: 2 * time.Second}
}

// observation is a record that this process has seen unchanged since a time.
type observation struct {
	at    kv.Position
	since time.Time
}

// Lease is one process's view of the lease of one backend server. Its methods may be called from any goroutine.
type Lease struct {
	store    kv.Store
	server   string
	holder   string
	settings LeaseSettings

	// storeMu is held by the one call in progress to the service; it guards revision, lastSeen and knownEra.
	storeMu  sync.Mutex
	revision int64
	lastSeen observation
	// knownEra is since when this process knows the present era; since is zero before the first one.
	knownEra struct {
		era   int64
		since time.Time
	}

	mu    sync.Mutex
	fence int64
	// era is that in which the lease was taken.
	era       int64
	expiresAt time.Time
	// expiresAtBoot is the same end by the time since the instance has started.
	expiresAtBoot time.Duration
}

// NewLease returns a lease that is not held. The holder has to be unique to this start of this process.
func NewLease(store kv.Store, server, holder string, settings LeaseSettings) *Lease {
	if settings.SinceBoot == nil {
		settings.SinceBoot = sinceBoot
	}
	return &Lease{store: store, server: server, holder: holder, settings: settings}
}

// Check returns the fencing number if the lease is held at this moment by the monotonic clock of this process and by the time since
// its instance has started, else a *LeaseExpiredError. It is called directly before an order is sent.
func (l *Lease) Check() (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.remaining() <= 0 {
		return 0, merry.Wrap(&LeaseExpiredError{Fence: l.fence})
	}
	return l.fence, nil
}

// Remaining returns for how long the lease is held unless it is renewed; not above 0 when it is not held.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remaining()
}

// remaining returns for how long the lease is held. A lease of an earlier era is void: the service may have given it to another process.
func (l *Lease) remaining() time.Duration {
	if l.era != kv.EraOf(l.store) {
		return 0
	}
	return min(time.Until(l.expiresAt), l.expiresAtBoot-l.settings.SinceBoot())
}

// instant is a moment by both clocks.
type instant struct {
	at   time.Time
	boot time.Duration
}

func (l *Lease) now() instant { return instant{at: time.Now(), boot: l.settings.SinceBoot()} }

func (l *Lease) setHeld(fence, era int64, start instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence, l.era = fence, era
	l.expiresAt, l.expiresAtBoot = start.at.Add(l.settings.TTL-l.settings.Margin), start.boot+l.settings.TTL-l.settings.Margin
}

func (l *Lease) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiresAt = time.Time{}
}

// Acquire takes the lease with a new fencing number if it is free, was released, was this process's own, or has
// stayed unchanged for its whole TTL while this process watched. Otherwise it fails with a *LeaseHeldError and is
// called again after Wait. Other failures are a *LeaseExpiredError when the answer came after the end of the lease, an
// *UnresolvedWriteError, a *LeaseRecordError, and those of kv.Store.
func (l *Lease) Acquire(ctx context.Context) error {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	return l.acquire(ctx)
}

// Ensure acquires the lease unless it is held already, and waits while another process holds it. Errors are
// those of Acquire except *LeaseHeldError, and that of the context.
func (l *Lease) Ensure(ctx context.Context) error {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	for {
		if _, err := l.Check(); err == nil {
			return nil
		}
		err := l.acquire(ctx)
		var held *LeaseHeldError
		if !errors.As(err, &held) {
			return err
		}
		select {
		case <-time.After(held.Wait):
		case <-ctx.Done():
			return merry.Wrap(ctx.Err())
		}
	}
}

func (l *Lease) acquire(ctx context.Context) error {
	l.expire()
	known := kv.EraOf(l.store)
	current, revision, err := l.read(ctx, known)
	if err != nil {
		return err
	}
	// The first answer of all shows the era; its key is read then.
	era := kv.EraOf(l.store)
	if era != known {
		if current, revision, err = l.read(ctx, era); err != nil {
			return err
		}
	}
	if err := l.checkEra(era); err != nil {
		return err
	}
	wait := max(l.takeoverWait(current, revision, era), l.newEraWait(era, revision))
	if wait > 0 {
		return merry.Wrap(&LeaseHeldError{Holder: current.Holder, Fence: current.Fence, Wait: wait})
	}
	return l.write(ctx, l.newRecord(max(current.Fence, era*tokensPerEra)+1), revision, era)
}

// newEraWait returns how long a lease that nobody has taken in this era has to be left alone. Its holder of the era before may not
// have heard of the restore yet.
func (l *Lease) newEraWait(era, revision int64) time.Duration {
	now := time.Now()
	if l.knownEra.since.IsZero() || l.knownEra.era != era {
		l.knownEra.era, l.knownEra.since = era, now
	}
	if era == 0 || revision != kv.Absent {
		return 0
	}
	return l.knownEra.since.Add(l.settings.TTL).Sub(now)
}

// checkEra fails with a *StoreRestoredError when a later era than that given has been seen.
func (l *Lease) checkEra(era int64) error {
	if now := kv.EraOf(l.store); now != era {
		l.expire()
		return merry.Wrap(&StoreRestoredError{Before: era, Now: now})
	}
	return nil
}

func (l *Lease) newRecord(fence int64) LeaseRecord {
	return LeaseRecord{Holder: l.holder, Fence: fence, Nonce: uuid.NewString(), TTLMs: l.settings.TTL.Milliseconds()}
}

// takeoverWait returns how long the record has to stay as it is. The time is counted from the answer that first
// showed it, which comes after the holder's own start of the lease.
func (l *Lease) takeoverWait(r LeaseRecord, revision, era int64) time.Duration {
	if r.Holder == "" || r.Holder == l.holder {
		return 0
	}
	now := time.Now()
	if at := (kv.Position{Era: era, Revision: revision}); l.lastSeen.at != at {
		l.lastSeen = observation{at: at, since: now}
	}
	return l.lastSeen.since.Add(r.ttl()).Sub(now)
}

// read returns the record, the zero LeaseRecord with revision kv.Absent if there is none.
func (l *Lease) read(ctx context.Context, era int64) (LeaseRecord, int64, error) {
	return readRecord(ctx, l.store, LeaseKey(l.server, era))
}

func readRecord(ctx context.Context, store kv.Store, key string) (LeaseRecord, int64, error) {
	entry, err := store.Get(ctx, key)
	var missing *kv.NotFoundError
	if errors.As(err, &missing) {
		return LeaseRecord{}, kv.Absent, nil
	}
	if err != nil {
		return LeaseRecord{}, 0, err
	}
	var r LeaseRecord
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return LeaseRecord{}, 0, merry.Wrap(&LeaseRecordError{Key: key, Cause: err})
	}
	return r, entry.ModRevision, nil
}

// Renew extends a held lease. It fails with a *LeaseExpiredError when the lease has ended, a *LeaseHeldError when another process
// has taken it, a *StoreRestoredError, an *UnresolvedWriteError, or an error of kv.Store; after the last two the lease lasts for as long as
// it did.
func (l *Lease) Renew(ctx context.Context) error {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	fence, err := l.Check()
	if err != nil {
		return err
	}
	return l.write(ctx, l.newRecord(fence), l.revision, l.heldEra())
}

// heldEra returns the era in which the lease was taken.
func (l *Lease) heldEra() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// maxWriteAttempts bounds the repeats of a write whose answer was lost.
const maxWriteAttempts = 3

// write brings the record into the service and holds the lease from the time before the first attempt. A
// repeated write is the same as the first, so it does not matter which of them takes effect, or how late. It fails with a
// *StoreRestoredError unless all answers were of the era in which the expected revision was given.
func (l *Lease) write(ctx context.Context, r LeaseRecord, expected, era int64) error {
	start := l.now()
	value, err := json.Marshal(r)
	if err != nil {
		return merry.Wrap(err)
	}
	for range maxWriteAttempts {
		revision, putErr := l.store.Put(ctx, LeaseKey(l.server, era), value, expected, 0)
		if eraErr := l.checkEra(era); eraErr != nil {
			return eraErr
		}
		if putErr == nil {
			return l.writeSucceeded(r, revision, era, start)
		}
		if !mayHaveWritten(putErr) {
			return putErr
		}
		err = putErr
		current, now, readErr := l.read(ctx, era)
		if eraErr := l.checkEra(era); eraErr != nil {
			return eraErr
		}
		if readErr != nil {
			return merry.Wrap(&UnresolvedWriteError{Cause: readErr})
		}
		if current.Nonce == r.Nonce {
			return l.writeSucceeded(r, now, era, start)
		}
		if now != expected && !l.isOwn(current, r.Fence) {
			return l.lostToOther(current, now, era)
		}
		expected = now // Unchanged, or an earlier write of this process that took effect late.
	}
	return merry.Wrap(&UnresolvedWriteError{Cause: err})
}

func (l *Lease) isOwn(r LeaseRecord, fence int64) bool {
	return r.Holder == l.holder && r.Fence == fence
}

// mayHaveWritten says whether the record has to be read to learn what became of a write. A conflict counts,
// because an earlier attempt may have won.
func mayHaveWritten(err error) bool {
	var conflict *kv.ConflictError
	var unknown *kv.UnknownOutcomeError
	return errors.As(err, &conflict) || errors.As(err, &unknown)
}

func (l *Lease) writeSucceeded(r LeaseRecord, revision, era int64, start instant) error {
	l.revision = revision
	if r.Holder == "" {
		return nil
	}
	l.setHeld(r.Fence, era, start)
	_, err := l.Check()
	return err // The answer may have taken longer than the lease lasts.
}

func (l *Lease) lostToOther(current LeaseRecord, revision, era int64) error {
	l.expire()
	return merry.Wrap(&LeaseHeldError{Holder: current.Holder, Fence: current.Fence, Wait: l.takeoverWait(current, revision, era)})
}

// Release gives up the lease so that the next holder need not wait. No order may be in progress. Errors are
// those of Renew; the lease is not held afterwards in any case.
func (l *Lease) Release(ctx context.Context) error {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	fence, err := l.Check()
	l.expire()
	if err != nil {
		return err
	}
	return l.write(ctx, LeaseRecord{Fence: fence, Nonce: uuid.NewString()}, l.revision, l.heldEra())
}
