package mirror

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
)

// serviceClient is one process's client of the service. It counts calls, and fails them if refused is set.
type serviceClient struct {
	*fakeService
	refused atomic.Bool
	calls   atomic.Int64
}

func (c *serviceClient) Read(ctx context.Context, prefix string) ([]kv.Entry, kv.Position, error) {
	c.calls.Add(1)
	if c.refused.Load() {
		return nil, kv.Position{}, merry.Wrap(&kv.UnavailableError{})
	}
	return c.fakeService.Read(ctx, prefix)
}

func (c *serviceClient) Changes(ctx context.Context, prefix string, after kv.Position, wait time.Duration) ([]kv.Event, kv.Position, error) {
	c.calls.Add(1)
	if c.refused.Load() {
		return nil, kv.Position{}, merry.Wrap(&kv.UnavailableError{})
	}
	return c.fakeService.Changes(ctx, prefix, after, wait)
}

// pair is a reader and its follower.
type pair struct {
	service                      *fakeService
	readerClient, followerClient *serviceClient
	reader, follower             *Mirror
	// failed and frozen are faults of the reader: it responds with an error, or does not respond.
	failed, frozen atomic.Bool

	mu sync.Mutex
	// keepFor holds, for each call of the follower's OnChange, the time until keepUntil.
	keepFor []time.Duration
}

// startPair runs a reader and its follower in the synctest bubble of a test. Both hold one entry.
func startPair(t *testing.T) *pair {
	t.Helper()
	s := newFakeService()
	s.put("p/a", "1")
	p := &pair{service: s, readerClient: &serviceClient{fakeService: s}, followerClient: &serviceClient{fakeService: s}}
	opts := Options{
		Prefix: "p/", PollWait: time.Second, PollDelay: 20 * time.Millisecond, Log: zap.NewNop(),
		OnChange: func(*Snapshot, time.Time) {},
	}
	opts.Source = p.readerClient
	p.reader = New(opts)
	opts.Source, opts.FollowReader = p.followerClient, p.followReader
	opts.OnChange = func(_ *Snapshot, keepUntil time.Time) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if keepUntil.IsZero() {
			p.keepFor = append(p.keepFor, 0)
		} else {
			p.keepFor = append(p.keepFor, time.Until(keepUntil))
		}
	}
	p.follower = New(opts)
	ctx, stop := context.WithCancel(t.Context())
	var mirrors sync.WaitGroup
	mirrors.Go(func() { p.reader.Run(ctx) })
	time.Sleep(100 * time.Millisecond)
	mirrors.Go(func() { p.follower.Run(ctx) })
	t.Cleanup(func() { stop(); mirrors.Wait() })
	time.Sleep(3 * time.Second)
	return p
}

func (p *pair) followReader(ctx context.Context, req FollowRequest) (*FollowResponse, error) {
	if p.failed.Load() {
		return nil, merry.Wrap(&PeerStatusError{})
	}
	resp := p.reader.HandleFollow(ctx, req)
	if p.frozen.Load() {
		<-ctx.Done()
		return nil, merry.Wrap(ctx.Err())
	}
	return resp, nil
}

func (p *pair) value() string { return string(p.follower.Snapshot().Entries["p/a"].Value) }

// Guards against calls to the service by every process, which were the largest daily cost of a large deployment, and
// against changes that reach followers late.
func TestFollowersMakeNoServiceCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		before := p.followerClient.calls.Load()
		for _, value := range []string{"2", "3"} {
			time.Sleep(7 * time.Second)
			p.service.put("p/a", value)
			time.Sleep(50 * time.Millisecond)
			require.Equal(t, value, p.value())
		}
		time.Sleep(time.Minute)
		require.Equal(t, before, p.followerClient.calls.Load())
		require.Less(t, p.follower.Age(), 2*time.Second)
	})
}

// Guards against a change that takes effect late because the reader has failed, is frozen, or is out of date because
// the service refuses its calls. The follower has to poll the service directly. Example: a key is revoked while a
// machine is faulty.
func TestReaderFaultDelaysNoChange(t *testing.T) {
	for name, fault := range map[string]func(p *pair){
		"failed":  func(p *pair) { p.failed.Store(true) },
		"frozen":  func(p *pair) { p.frozen.Store(true) },
		"refused": func(p *pair) { p.readerClient.refused.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := startPair(t)
				fault(p)
				p.service.put("p/a", "2")
				time.Sleep(time.Second + callGrace + 200*time.Millisecond)
				require.Equal(t, "2", p.value())
				time.Sleep(10 * time.Second)
				p.service.put("p/a", "3")
				time.Sleep(time.Second + callGrace + 200*time.Millisecond)
				require.Equal(t, "3", p.value())
			})
		})
	}
}

// Guards against servers that a follower removes immediately although their entries expired in an outage of the service
// that only the reader has noticed.
func TestFollowerKeepsEntriesAfterOutageOfReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		time.Sleep(3 * time.Second)
		p.reader.recoveredAt.Store(int64(time.Since(p.reader.start)))
		p.service.remove("p/a")
		time.Sleep(100 * time.Millisecond)
		p.mu.Lock()
		defer p.mu.Unlock()
		require.Greater(t, p.keepFor[len(p.keepFor)-1], time.Second)
	})
}

// Guards against a long delay between two polls that is mistaken for an outage, so that removed entries are kept for a
// while. Example: a deployment with limits that allow a long delay.
func TestLongDelayBetweenPollsIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeService()
		s.put("p/a", "1")
		s.put("p/b", "1")
		var last atomic.Int64
		m := New(Options{
			Source: s, Prefix: "p/", PollWait: 400 * time.Millisecond, PollDelay: 1400 * time.Millisecond, Log: zap.NewNop(),
			OnChange: func(_ *Snapshot, keepUntil time.Time) {
				last.Store(-1)
				if !keepUntil.IsZero() {
					last.Store(int64(time.Until(keepUntil)))
				}
			},
		})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { m.Run(ctx); close(done) }()
		time.Sleep(10 * time.Second)
		s.remove("p/b")
		time.Sleep(2 * time.Second)
		require.NotContains(t, m.Snapshot().Entries, "p/b")
		require.EqualValues(t, -1, last.Load(), "the removal takes effect immediately")
		stop()
		<-done
	})
}

// Guards against requests and responses that change in transit between two processes, and against invalid requests.
func TestFollowOverHTTP(t *testing.T) {
	s := newFakeService()
	s.put("p/a", "1")
	m := New(Options{Source: s, Prefix: "p/", Log: zap.NewNop(), OnChange: func(*Snapshot, time.Time) {}})
	require.NoError(t, m.poll(t.Context()))
	srv := httptest.NewServer(FollowHandler(map[string]*Mirror{"p/": m}, zap.NewNop()))
	defer srv.Close()
	peers, address := NewPeers(http.DefaultClient, nil), srv.Listener.Addr().String()
	resp, err := peers.Follow(t.Context(), address, FollowRequest{Prefix: "p/"})
	require.NoError(t, err)
	require.Equal(t, m.Snapshot(), resp.Snapshot)
	require.False(t, resp.Unavailable)
	require.Less(t, resp.Age, time.Minute)
	resp, err = peers.Follow(t.Context(), address, FollowRequest{Prefix: "p/", After: m.Snapshot().At})
	require.NoError(t, err)
	require.Nil(t, resp.Snapshot)
	var status *PeerStatusError
	_, err = peers.Follow(t.Context(), address, FollowRequest{Prefix: "q/"})
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusNotFound, status.Status)
	_, err = peers.Follow(t.Context(), address, FollowRequest{Prefix: "p/", Wait: -time.Second})
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusBadRequest, status.Status)
}
