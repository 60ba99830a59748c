// Package orders sends orders to model engines under a lease with a fencing token, and spreads loads over time to share
// the read rate of the weight store.
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

// LeaseKey returns the key of the lease of a backend server in an era of the service. Each era has its own key: the
// service reuses revisions after a restore, so on a shared key a late write from an earlier era could find the
// revision that it expects.
func LeaseKey(server string, era int64) string {
	key := "lease/" + server
	if era > 0 {
		key += "/" + strconv.FormatInt(era, 10)
	}
	return key
}

// tokensPerEra is the number of fencing tokens reserved for one era. A restored service has no record of the tokens
// that were issued after its copy was made, so the tokens of each era are above those of all earlier eras.
const tokensPerEra = 1 << 24

// LeaseRecord is the value of a lease key. The key is never deleted, so that the fencing token only grows.
type LeaseRecord struct {
	// Holder identifies one run of one process; it is empty after a release.
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	// Nonce identifies one write, so that a lost response can be resolved by reading.
	Nonce string `json:"nonce"`
	TTLMs int64  `json:"ttl_ms"`
}

func (r LeaseRecord) ttl() time.Duration { return time.Duration(r.TTLMs) * time.Millisecond }

// LeaseSettings are the durations of a lease.
type LeaseSettings struct {
	TTL time.Duration
	// Margin is how much earlier than TTL the holder stops using the lease. It covers the transmission of an order to the
	// engine and the drift between the monotonic clocks of two processes.
	Margin time.Duration
	// SinceBoot returns the time since the instance booted, including suspensions; nil selects the kernel's clock.
	SinceBoot func() time.Duration
}

// DefaultLeaseSettings returns the default durations: the holder may send orders for 8 s after it acquired or renewed
// the lease, and another process may take the lease over 10 s after it has first seen the record.
func DefaultLeaseSettings() LeaseSettings {
	return LeaseSettings{TTL: 10 * time.Second, Margin: 2 * time.Second}
}

// observation is the position of a record and the time since which this process has seen it unchanged.
type observation struct {
	at    kv.Position
	since time.Time
}

// Lease is one process's view of the lease of one backend server. It is safe for concurrent use.
type Lease struct {
	store    kv.Store
	server   string
	holder   string
	settings LeaseSettings

	// storeMu is held during a call to the service, so that there is only one at a time. It guards revision, lastSeen and
	// latestEra.
	storeMu sync.Mutex
	// revision is the revision of the last record that this process wrote.
	revision int64
	lastSeen observation
	// latestEra is the era that the last attempt to acquire the lease found, and the time at which an attempt first found
	// it. It is zero before the first attempt.
	latestEra struct {
		era   int64
		since time.Time
	}

	mu    sync.Mutex
	fence int64
	// era is the era in which the lease was acquired.
	era       int64
	expiresAt time.Time
	// expiresAtBoot is the expiry as time since boot.
	expiresAtBoot time.Duration
}

// NewLease returns a lease that is not held. The holder must be unique to this run of this process.
func NewLease(store kv.Store, server, holder string, settings LeaseSettings) *Lease {
	if settings.SinceBoot == nil {
		settings.SinceBoot = sinceBoot
	}
	return &Lease{store: store, server: server, holder: holder, settings: settings}
}

// Check returns the fencing token if the lease is held now, by both the monotonic clock of this process and the time
// since boot. Otherwise it fails with a *LeaseExpiredError. Call it directly before sending an order.
func (l *Lease) Check() (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.remaining() <= 0 {
		return 0, merry.Wrap(&LeaseExpiredError{Fence: l.fence})
	}
	return l.fence, nil
}

// Remaining returns the time until the lease expires unless it is renewed. It is at most 0 if the lease is not held.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remaining()
}

// remaining is Remaining with mu held. A lease of an earlier era is void: the restored service may have granted it to
// another process.
func (l *Lease) remaining() time.Duration {
	if l.era != kv.EraOf(l.store) {
		return 0
	}
	return min(time.Until(l.expiresAt), l.expiresAtBoot-l.settings.SinceBoot())
}

// instant is a point in time by both clocks.
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

// Acquire acquires the lease with a new fencing token if it is free, was released, was held by this process, or has
// stayed unchanged for its whole TTL while this process watched it. Otherwise it fails with a *LeaseHeldError and can
// be called again after Wait. It also fails with a *LeaseExpiredError when the response came after the lease had
// expired, a *StoreRestoredError, an *UnresolvedWriteError, a *LeaseRecordError, and the errors of kv.Store.
func (l *Lease) Acquire(ctx context.Context) error {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	return l.acquire(ctx)
}

// Ensure acquires the lease unless it is already held, and waits while another process holds it. It fails with the
// errors of Acquire except *LeaseHeldError, or with that of the context.
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
	eraBefore := kv.EraOf(l.store)
	current, revision, err := l.read(ctx, eraBefore)
	if err != nil {
		return err
	}
	// The first response to this process reports the era. The lease record must then be read under the key of that era.
	era := kv.EraOf(l.store)
	if era != eraBefore {
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

// newEraWait returns how long to wait before acquiring a lease that has no record in this era. Its holder in the
// previous era may not have noticed the restore yet.
func (l *Lease) newEraWait(era, revision int64) time.Duration {
	now := time.Now()
	if l.latestEra.since.IsZero() || l.latestEra.era != era {
		l.latestEra.era, l.latestEra.since = era, now
	}
	if era == 0 || revision != kv.Absent {
		return 0
	}
	return l.latestEra.since.Add(l.settings.TTL).Sub(now)
}

// checkEra voids the lease and fails with a *StoreRestoredError if the given era is not the latest one seen.
func (l *Lease) checkEra(era int64) error {
	if latest := kv.EraOf(l.store); latest != era {
		l.expire()
		return merry.Wrap(&StoreRestoredError{Before: era, Now: latest})
	}
	return nil
}

func (l *Lease) newRecord(fence int64) LeaseRecord {
	return LeaseRecord{Holder: l.holder, Fence: fence, Nonce: uuid.NewString(), TTLMs: l.settings.TTL.Milliseconds()}
}

// takeoverWait returns how much longer the record must stay unchanged before the lease may be taken over. The TTL is
// counted from the response that first showed the record, which is later than the time from which its holder counts.
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

// read returns the record and its revision, or the zero LeaseRecord and kv.Absent if there is none.
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

// Renew extends a held lease. It fails with a *LeaseExpiredError when the lease has expired, a *LeaseHeldError when
// another process has acquired it, a *StoreRestoredError, an *UnresolvedWriteError, or an error of kv.Store. After
// the last two the expiry is unchanged.
func (l *Lease) Renew(ctx context.Context) error {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	fence, err := l.Check()
	if err != nil {
		return err
	}
	return l.write(ctx, l.newRecord(fence), l.revision, l.heldEra())
}

// heldEra returns the era in which the lease was acquired.
func (l *Lease) heldEra() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// maxWriteAttempts limits the attempts of a write whose response was lost.
const maxWriteAttempts = 3

// write stores the record. On success the lease counts from the time before the first attempt. All attempts write the
// same record, so it does not matter which of them takes effect, or how late. It fails with a *StoreRestoredError
// unless all responses were of the era of the expected revision.
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
		current, currentRevision, readErr := l.read(ctx, era)
		if eraErr := l.checkEra(era); eraErr != nil {
			return eraErr
		}
		if readErr != nil {
			return merry.Wrap(&UnresolvedWriteError{Cause: readErr})
		}
		if current.Nonce == r.Nonce {
			return l.writeSucceeded(r, currentRevision, era, start)
		}
		if currentRevision != expected && !l.isOwn(current, r.Fence) {
			return l.lostToOther(current, currentRevision, era)
		}
		// The revision is unchanged, or from an earlier write of this process that took effect late.
		expected = currentRevision
	}
	return merry.Wrap(&UnresolvedWriteError{Cause: err})
}

func (l *Lease) isOwn(r LeaseRecord, fence int64) bool {
	return r.Holder == l.holder && r.Fence == fence
}

// mayHaveWritten reports whether the record must be read to determine the outcome of a failed write. A conflict counts,
// because an earlier attempt may have succeeded.
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
	return err // The lease may have expired before the response came.
}

func (l *Lease) lostToOther(current LeaseRecord, revision, era int64) error {
	l.expire()
	return merry.Wrap(&LeaseHeldError{Holder: current.Holder, Fence: current.Fence, Wait: l.takeoverWait(current, revision, era)})
}

// Release releases the lease so that the next holder need not wait. No order may be in progress. It fails with the
// errors of Renew; the lease is not held afterwards in any case.
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
