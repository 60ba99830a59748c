package orders_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"lavendermoor.example/clients/kv"
)

// memoryStore is an in-memory key-value service with fault injection, for tests in virtual time.
type memoryStore struct {
	kv.Store

	mu       sync.Mutex
	entries  map[string]kv.Entry
	revision int64
	reads    int
	writes   int
	// fault returns the fault of the next write.
	fault func() writeFault
	down  bool
	era   int64
}

// snapshot makes a backup of the service. The returned function restores it and begins the next era.
func (s *memoryStore) snapshot() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, revision := maps.Clone(s.entries), s.revision
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.era++
		s.entries, s.revision = maps.Clone(entries), revision
	}
}

// eraView is the service as seen by one process, which notices a new era from the responses that it gets.
type eraView struct {
	*memoryStore
	seen atomic.Int64
}

// Era implements kv.EraSource.
func (v *eraView) Era() int64 { return v.seen.Load() }

func (v *eraView) observeEra() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seen.Store(v.era)
}

func (v *eraView) Get(ctx context.Context, key string) (kv.Entry, error) {
	defer v.observeEra()
	return v.memoryStore.Get(ctx, key)
}

func (v *eraView) Put(ctx context.Context, key string, value []byte, expected int64, lease kv.LeaseID) (int64, error) {
	mod, err := v.memoryStore.Put(ctx, key, value, expected, lease)
	var unknown *kv.UnknownOutcomeError
	if !errors.As(err, &unknown) { // Otherwise there was no response.
		v.observeEra()
	}
	return mod, err
}

// writeFault delays a write or loses its response. With lateBy set, the caller immediately gets an unknown outcome, and
// the write takes effect that much later.
type writeFault struct {
	delay, lateBy time.Duration
	loseResponse  bool
	// responseDelay delays the response after the write has taken effect.
	responseDelay time.Duration
}

func newStore() *memoryStore {
	return &memoryStore{entries: map[string]kv.Entry{}, fault: func() writeFault { return writeFault{} }}
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *memoryStore) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return kv.Entry{}, &kv.UnavailableError{}
	}
	e, ok := s.entries[key]
	if !ok {
		return kv.Entry{}, &kv.NotFoundError{Key: key}
	}
	return e, nil
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, expected int64, _ kv.LeaseID) (int64, error) {
	s.mu.Lock()
	s.writes++
	f, down := s.fault(), s.down
	s.mu.Unlock()
	if down {
		return 0, &kv.UnavailableError{}
	}
	time.Sleep(f.delay)
	if f.lateBy > 0 {
		time.AfterFunc(f.lateBy, func() { _, _ = s.apply(key, value, expected) })
		return 0, &kv.UnknownOutcomeError{Key: key}
	}
	mod, err := s.apply(key, value, expected)
	time.Sleep(f.responseDelay)
	if f.loseResponse {
		return 0, &kv.UnknownOutcomeError{Key: key}
	}
	return mod, err
}

func (s *memoryStore) apply(key string, value []byte, expected int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].ModRevision != expected {
		return 0, &kv.ConflictError{Key: key, Expected: expected}
	}
	s.revision++
	s.entries[key] = kv.Entry{Key: key, Value: value, ModRevision: s.revision}
	return s.revision, nil
}

// memoryTransport calls a handler directly, after a delay for dialing.
type memoryTransport struct {
	handler   http.Handler
	dialDelay time.Duration
}

func (m *memoryTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	time.Sleep(m.dialDelay)
	defer func() {
		if recover() != nil {
			resp, err = nil, io.ErrUnexpectedEOF // The handler aborted the connection.
		}
	}()
	w := httptest.NewRecorder()
	in := httptest.NewRequest(r.Method, r.URL.String(), r.Body)
	if r.Body != nil {
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, err
		}
		in = httptest.NewRequest(r.Method, r.URL.String(), &readOnce{body})
	}
	m.handler.ServeHTTP(w, in)
	return w.Result(), nil
}

type readOnce struct{ rest []byte }

func (r *readOnce) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}
