package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
)

// incarnationPrefix is the prefix of the keys of incarnation numbers in the key-value service.
const incarnationPrefix = "incarnation/"

// incarnationRecord is the value of incarnation/<server>. Owner lets a process recognize its own write after a lost
// response. Held are the services of which any incarnation so far may have held keys.
type incarnationRecord struct {
	Incarnation int64    `json:"incarnation"`
	Owner       string   `json:"owner"`
	Held        []string `json:"held,omitempty"`
}

const (
	incarnationAttempts   = 5
	incarnationRetryDelay = 100 * time.Millisecond
	// recordInterval is the longest time between two checks of whether the record needs an update, and the mean delay
	// after a failed update. The mean delay doubles with each further failure, up to maxRecordInterval.
	recordInterval    = 500 * time.Millisecond
	maxRecordInterval = 20 * time.Second
)

// ProcessIncarnation is the incarnation of a process.
type ProcessIncarnation struct {
	Number int64
	// Recorded means that the key-value service holds the number.
	Recorded bool
	// HeldServices are the services of which earlier incarnations may have held keys. The list is valid only if Recorded
	// is set.
	HeldServices []string
	// owner identifies the process in the record.
	owner string
}

// AcquireIncarnation returns the incarnation of a process that starts. The first process of a server gets 1, which
// proves that it has no predecessor. Later ones get the current time in microseconds or the last number plus 1,
// whichever is larger. If the service does not respond, the number is the current time and is not recorded. It is
// then larger than 1, so that the process counts as a restarted holder, and larger than the number of its predecessor
// as long as the clock of the server's instances is not set back.
func AcquireIncarnation(ctx context.Context, store kv.Store, server string, now func() time.Time) ProcessIncarnation {
	n := ProcessIncarnation{owner: uuid.NewString()}
	for range incarnationAttempts {
		r, err := tryAcquireIncarnation(ctx, store, server, incarnationRecord{Incarnation: 1, Owner: n.owner}, now().UnixMicro())
		if err == nil {
			n.Number, n.Recorded, n.HeldServices = r.Incarnation, true, r.Held
			return n
		}
		sleep(ctx, incarnationRetryDelay)
	}
	n.Number = now().UnixMicro()
	return n
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// IncarnationRecordError reports that an incarnation key holds a value that is not a record.
type IncarnationRecordError struct {
	Key   string
	Cause error
}

func (e *IncarnationRecordError) Error() string {
	return fmt.Sprintf("incarnation record %q: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *IncarnationRecordError) Unwrap() error { return e.Cause }

// readIncarnation returns the record of a server and its revision, or zero values if there is none.
func readIncarnation(ctx context.Context, store kv.Store, server string) (incarnationRecord, int64, error) {
	var last incarnationRecord
	entry, err := store.Get(ctx, incarnationPrefix+server)
	var missing *kv.NotFoundError
	if errors.As(err, &missing) {
		return last, 0, nil
	}
	if err != nil {
		return last, 0, err
	}
	if err := json.Unmarshal(entry.Value, &last); err != nil {
		return last, 0, merry.Wrap(&IncarnationRecordError{Key: entry.Key, Cause: err})
	}
	return last, entry.ModRevision, nil
}

func writeIncarnation(ctx context.Context, store kv.Store, server string, r incarnationRecord, revision int64) error {
	value, err := json.Marshal(r)
	if err != nil {
		return merry.Wrap(err)
	}
	_, err = store.Put(ctx, incarnationPrefix+server, value, revision, 0)
	return err
}

// tryAcquireIncarnation makes one attempt to write the record. The number of the given record is used only if the
// server has no record yet. An attempt after a lost response finds the record that this process wrote.
func tryAcquireIncarnation(
	ctx context.Context, store kv.Store, server string, record incarnationRecord, minNumber int64,
) (incarnationRecord, error) {
	last, revision, err := readIncarnation(ctx, store, server)
	if err != nil || last.Owner == record.Owner {
		return last, err
	}
	if revision > 0 {
		record.Incarnation = max(last.Incarnation+1, minNumber)
	}
	record.Held = last.Held
	return record, writeIncarnation(ctx, store, server, record, revision)
}

// ReplacedError reports that a later incarnation of the server has taken over its record.
type ReplacedError struct{ Incarnation int64 }

func (e *ReplacedError) Error() string {
	return fmt.Sprintf("incarnation %d of this server has been recorded", e.Incarnation)
}

// MaintainIncarnationRecord keeps the record of this process up to date until the context ends: the number, if it was
// not recorded at the start, and the services that the process holds keys of. It ends early if it finds a later
// incarnation.
func (n *Node) MaintainIncarnationRecord(ctx context.Context, store kv.Store) {
	for wait := recordInterval; ctx.Err() == nil; {
		err := n.updateIncarnationRecord(ctx, store)
		var replaced *ReplacedError
		if errors.As(err, &replaced) {
			n.opts.Log.Warn("this process was replaced by a later incarnation", zap.Error(err))
			return
		}
		if err == nil {
			wait = recordInterval
			n.awaitViewChange(ctx)
			continue
		}
		// The delay is random, so that the processes do not all retry at the same time when the service recovers.
		sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, maxRecordInterval)
	}
}

// awaitViewChange waits until a service may have to be recorded: after a change of servers, or after an interval,
// because copies may have become complete.
func (n *Node) awaitViewChange(ctx context.Context) {
	t := time.NewTimer(recordInterval)
	defer t.Stop()
	select {
	case <-n.viewChanged:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (n *Node) updateIncarnationRecord(ctx context.Context, store kv.Store) error {
	if !n.incarnationRecorded {
		if err := n.recordIncarnation(ctx, store); err != nil {
			return err
		}
	}
	n.lock()
	services := n.table.UnrecordedServices()
	n.mu.Unlock()
	if len(services) == 0 {
		return nil
	}
	return n.recordHeldServices(ctx, store, services)
}

// recordIncarnation writes the number of a process that started while the service did not respond.
func (n *Node) recordIncarnation(ctx context.Context, store kv.Store) error {
	self := n.opts.Self
	last, revision, err := readIncarnation(ctx, store, self.Server)
	if err != nil {
		return err
	}
	if last.Owner != n.opts.Incarnation.owner {
		if last.Incarnation >= self.Incarnation {
			return merry.Wrap(&ReplacedError{Incarnation: last.Incarnation})
		}
		record := incarnationRecord{Incarnation: self.Incarnation, Owner: n.opts.Incarnation.owner, Held: last.Held}
		if err := writeIncarnation(ctx, store, self.Server, record, revision); err != nil {
			return err
		}
	}
	n.incarnationRecorded = true
	n.lock()
	n.table.SetIncarnationRecorded(true)
	n.mu.Unlock()
	return nil
}

// recordHeldServices adds services to the record. A process that was replaced cannot add any, so that its successor
// reads all of them.
func (n *Node) recordHeldServices(ctx context.Context, store kv.Store, services []string) error {
	last, revision, err := readIncarnation(ctx, store, n.opts.Self.Server)
	if err != nil {
		return err
	}
	if last.Owner != n.opts.Incarnation.owner {
		return merry.Wrap(&ReplacedError{Incarnation: last.Incarnation})
	}
	missing := slices.DeleteFunc(slices.Clone(services), func(s string) bool { return slices.Contains(last.Held, s) })
	if len(missing) > 0 {
		last.Held = append(last.Held, missing...)
		if err := writeIncarnation(ctx, store, n.opts.Self.Server, last, revision); err != nil {
			return err
		}
	}
	n.lock()
	defer n.mu.Unlock()
	for _, s := range services {
		n.table.MarkHeld(s)
	}
	return nil
}
