package kvserver

import (
	"context"
	"sync"
	"time"

	"lavendermoor.example/clients/kv"
)

// CallOutcome is the outcome of one call to a LocalStore.
type CallOutcome int

// Outcomes of a call.
const (
	// Normal executes the call and returns its response.
	Normal CallOutcome = iota
	// Refused fails the call without effect, with a *kv.UnavailableError.
	Refused
	// ResponseLost executes the call but fails it with a *kv.UnknownOutcomeError.
	ResponseLost
	// RequestLost fails the call without effect, with the same error as ResponseLost.
	RequestLost
	// Delayed fails the call with the same error as ResponseLost. ReleaseDelayed executes it later.
	Delayed
)

// LocalStore is a kv.Store that calls a Server in the same process without a network. Of the server's faults, only Down
// applies.
type LocalStore struct {
	server *Server
	// Outcome, if not nil, chooses the outcome of each call by its name and key. It must be safe for concurrent use.
	Outcome func(call, key string) CallOutcome

	mu       sync.Mutex
	delayed  []func()
	silenced chan struct{}
}

var _ kv.Store = (*LocalStore)(nil)

// NewLocalStore returns a LocalStore that calls a server.
func NewLocalStore(s *Server) *LocalStore {
	return &LocalStore{server: s, silenced: make(chan struct{})}
}

// ReleaseDelayed executes the calls with the outcome Delayed in the order in which they were made.
func (l *LocalStore) ReleaseDelayed() {
	l.mu.Lock()
	delayed := l.delayed
	l.delayed = nil
	l.mu.Unlock()
	for _, run := range delayed {
		run()
	}
}

// SilenceWatches makes the open watches report no more events, without ending them.
func (l *LocalStore) SilenceWatches() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.silenced)
	l.silenced = make(chan struct{})
}

// InjectedError is the cause of errors from injected faults.
type InjectedError struct{}

func (e *InjectedError) Error() string { return "fault injected by the stand-in" }

// run executes a call under the server's lock and applies its outcome.
func (l *LocalStore) run(ctx context.Context, call, key string, fn func(s *Server)) error {
	outcome := Normal
	if l.Outcome != nil {
		outcome = l.Outcome(call, key)
	}
	if err := ctx.Err(); err != nil {
		return &kv.UnknownOutcomeError{Key: key, Cause: err}
	}
	l.server.mu.Lock()
	down := l.server.faults.Down
	l.server.mu.Unlock()
	if outcome == Refused || down {
		return &kv.UnavailableError{Cause: &InjectedError{}}
	}
	apply := func() {
		l.server.mu.Lock()
		defer l.server.mu.Unlock()
		l.server.expire()
		fn(l.server)
	}
	switch outcome {
	case ResponseLost:
		apply()
	case Delayed:
		l.mu.Lock()
		l.delayed = append(l.delayed, apply)
		l.mu.Unlock()
	case RequestLost:
	default:
		apply()
		return nil
	}
	return &kv.UnknownOutcomeError{Key: key, Cause: &InjectedError{}}
}

// Get implements kv.Store.
func (l *LocalStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	var out kv.WireRangeResponse
	err := l.run(ctx, "get", key, func(s *Server) { out, _ = s.rangeKeys(&kv.WireRange{Key: []byte(key)}) })
	if err != nil {
		return kv.Entry{}, err
	}
	if len(out.KVs) == 0 {
		return kv.Entry{}, &kv.NotFoundError{Key: key}
	}
	return entryOf(out.KVs[0]), nil
}

func entryOf(r kv.WireKV) kv.Entry {
	return kv.Entry{Key: string(r.Key), Value: r.Value, ModRevision: r.ModRevision}
}

// List implements kv.Store.
func (l *LocalStore) List(ctx context.Context, prefix, from string, limit int) ([]kv.Entry, error) {
	var out kv.WireRangeResponse
	err := l.run(ctx, "list", prefix, func(s *Server) {
		out, _ = s.rangeKeys(&kv.WireRange{
			Key: []byte(max(prefix, from)), RangeEnd: kv.PrefixEnd(prefix), Limit: int64(limit),
		})
	})
	if err != nil {
		return nil, err
	}
	entries := make([]kv.Entry, len(out.KVs))
	for i, r := range out.KVs {
		entries[i] = entryOf(r)
	}
	return entries, nil
}

// Put implements kv.Store.
func (l *LocalStore) Put(ctx context.Context, key string, value []byte, expected int64, lease kv.LeaseID) (int64, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, &kv.ValueTooLargeError{Key: key, Bytes: len(value)}
	}
	put := &kv.WirePut{Key: []byte(key), Value: value, Lease: int64(lease)}
	return l.write(ctx, "put", key, expected, kv.WireOp{RequestPut: put})
}

// Delete implements kv.Store.
func (l *LocalStore) Delete(ctx context.Context, key string, expected int64) error {
	_, err := l.write(ctx, "delete", key, expected, kv.WireOp{RequestDeleteRange: &kv.WireDelete{Key: []byte(key)}})
	return err
}

func (l *LocalStore) write(ctx context.Context, call, key string, expected int64, op kv.WireOp) (int64, error) {
	var out kv.WireTxnResponse
	err := l.run(ctx, call, key, func(s *Server) {
		out, _ = s.txn(&kv.WireTxn{
			Compare: []kv.WireCompare{{Key: []byte(key), ModRevision: expected}}, Success: []kv.WireOp{op},
		})
	})
	if err != nil {
		return 0, err
	}
	if !out.Succeeded {
		return 0, &kv.ConflictError{Key: key, Expected: expected}
	}
	return out.Header.Revision, nil
}

// Grant implements kv.Store.
func (l *LocalStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	var out kv.WireLease
	err := l.run(ctx, "grant", "", func(s *Server) {
		out, _ = s.grant(&kv.WireLease{TTL: int64((ttl + time.Second - 1) / time.Second)})
	})
	return kv.LeaseID(out.ID), err
}

// KeepAlive implements kv.Store.
func (l *LocalStore) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	var out kv.WireLeaseKeepAlive
	err := l.run(ctx, "keepalive", "", func(s *Server) { out, _ = s.keepAlive(&kv.WireLease{ID: int64(id)}) })
	if err == nil && out.Result.TTL <= 0 {
		err = &kv.LeaseExpiredError{ID: id}
	}
	return time.Duration(out.Result.TTL) * time.Second, err
}

// Revoke implements kv.Store.
func (l *LocalStore) Revoke(ctx context.Context, id kv.LeaseID) error {
	return l.run(ctx, "revoke", "", func(s *Server) { s.revoke(&kv.WireLease{ID: int64(id)}) })
}

// Watch implements kv.Store.
func (l *LocalStore) Watch(ctx context.Context, prefix string, after int64, fn func(kv.Event)) error {
	in := kv.WireWatchCreate{Key: []byte(prefix), RangeEnd: kv.PrefixEnd(prefix)}
	if after > 0 {
		in.StartRevision = after + 1
	}
	var next int
	err := l.run(ctx, "watch", prefix, func(s *Server) {
		s.counts.Watches++
		s.counts.Watching++
		next = s.historyFrom(in.StartRevision)
	})
	if err != nil {
		return &kv.UnavailableError{Cause: err}
	}
	defer func() {
		l.server.mu.Lock()
		l.server.counts.Watching--
		l.server.mu.Unlock()
	}()
	return l.deliver(ctx, in, next, fn)
}

// deliver reports events until the watch ends. Once the watch is silenced, it only waits for the context to end.
func (l *LocalStore) deliver(ctx context.Context, in kv.WireWatchCreate, next int, fn func(kv.Event)) error {
	l.mu.Lock()
	silenced := l.silenced
	l.mu.Unlock()
	for {
		events, ok := l.server.nextEvents(ctx, in, &next)
		if !ok {
			return &kv.UnavailableError{Cause: &InjectedError{}}
		}
		select {
		case <-silenced:
			<-ctx.Done()
			return &kv.UnavailableError{Cause: ctx.Err()}
		default:
		}
		for _, e := range events {
			fn(kv.Event{Entry: entryOf(e.KV), Deleted: e.Type == "DELETE"})
		}
	}
}
