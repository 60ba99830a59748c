package store

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/clients/kv"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/standin/kvserver"
)

// simulatedService is a key-value service in memory that any number of stores can use.
type simulatedService struct {
	server *kvserver.Server
	local  *kvserver.LocalStore
}

func newSimulatedService() *simulatedService {
	s := kvserver.New()
	return &simulatedService{server: s, local: kvserver.NewLocalStore(s)}
}

// store returns the store of one more process, with limits small enough for tests.
func (sim *simulatedService) store() *Store {
	s := New(sim.local)
	s.limits = snapshotLimits{interval: 4, retained: 8, maxPartBytes: 256}
	return s
}

// change returns a change that sets the weight of the customer "c".
func change(op string, weight int) *operatorv1.Change {
	return &operatorv1.Change{OperationId: op, Author: op, Upserts: []*operatorv1.Object{
		{Kind: &operatorv1.Object_Customer{Customer: &operatorv1.Customer{Name: "c", Weight: int32(weight)}}},
	}}
}

// commitN commits n changes and returns the last configuration.
func commitN(t *testing.T, s *Store, n int) *cluster.State {
	t.Helper()
	state, err := s.Load(t.Context())
	require.NoError(t, err)
	for range n {
		state, err = s.Commit(t.Context(), state, change(fmt.Sprintf("n%d", state.Revision+1), int(state.Revision)+1))
		require.NoError(t, err)
	}
	return state
}

// outcomeOnce sets the outcome of the first call of the given name. All other calls have the outcome Normal.
func outcomeOnce(name string, outcome kvserver.CallOutcome) func(string, string) kvserver.CallOutcome {
	used := false
	return func(call, _ string) kvserver.CallOutcome {
		if call == name && !used {
			used = true
			return outcome
		}
		return kvserver.Normal
	}
}

// Guards against a commit that is misreported or applied twice because its response was lost.
func TestLostResponsesAreResolved(t *testing.T) {
	for name, outcome := range map[string]kvserver.CallOutcome{
		"response lost": kvserver.ResponseLost, "request lost": kvserver.RequestLost, "request late": kvserver.Delayed,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newSimulatedService()
				a := service.store()
				service.local.Outcome = outcomeOnce("put", outcome)
				next, err := a.Commit(t.Context(), cluster.Empty(), change("x", 1))
				require.NoError(t, err)
				require.Equal(t, int64(1), next.Revision)
				service.local.ReleaseDelayed()
				changes, err := a.History(t.Context(), 100, 100)
				require.NoError(t, err)
				require.Len(t, changes, 1)
			})
		})
	}
}

// Guards against a process that takes another process's change for its own after a lost response, or that does not
// receive the change that was committed instead.
func TestLostResponseOfLostRaceNamesWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newSimulatedService()
		a, b := service.store(), service.store()
		_, err := b.Commit(t.Context(), cluster.Empty(), change("winner", 1))
		require.NoError(t, err)
		service.local.Outcome = outcomeOnce("put", kvserver.ResponseLost)
		_, err = a.Commit(t.Context(), cluster.Empty(), change("loser", 2))
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, "winner", conflict.Winner.GetOperationId())
	})
}

// Guards against a lost response that is reported as a refusal because the service then becomes unavailable.
func TestOutageAfterLostResponseIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newSimulatedService()
		a := service.store()
		service.server.SetFaults(kvserver.Faults{Down: true})
		_, err := a.Commit(t.Context(), cluster.Empty(), change("x", 1))
		var unavailable *kv.UnavailableError
		require.ErrorAs(t, err, &unavailable, "a refused call has no unknown outcome")
		require.NotErrorAs(t, err, new(*UnknownOutcomeError))

		service.local.Outcome = outcomeThenRefuse(kvserver.ResponseLost)
		service.server.SetFaults(kvserver.Faults{})
		_, err = a.Commit(t.Context(), cluster.Empty(), change("x", 1))
		var unknown *UnknownOutcomeError
		require.ErrorAs(t, err, &unknown)
		service.local.Outcome = nil
		state, err := a.Load(t.Context())
		require.NoError(t, err)
		_, err = a.Commit(t.Context(), state, change("x", 1))
		var alreadyCommitted *AlreadyCommittedError
		require.ErrorAs(t, err, &alreadyCommitted, "the retry finds that the change took effect")
	})
}

// outcomeThenRefuse sets the outcome of the next put and refuses all calls after it.
func outcomeThenRefuse(outcome kvserver.CallOutcome) func(string, string) kvserver.CallOutcome {
	putSeen := false
	return func(call, _ string) kvserver.CallOutcome {
		switch {
		case putSeen:
			return kvserver.Refused
		case call == "put":
			putSeen = true
			return outcome
		}
		return kvserver.Normal
	}
}

// Guards against a retry through another process that applies an operation again.
func TestRetriesAreRecognizedByOtherProcesses(t *testing.T) {
	service := newSimulatedService()
	commitN(t, service.store(), 3)
	b := service.store()
	state, err := b.Load(t.Context())
	require.NoError(t, err)
	_, err = b.Commit(t.Context(), state, change("n2", 7))
	var alreadyCommitted *AlreadyCommittedError
	require.ErrorAs(t, err, &alreadyCommitted)
	require.Equal(t, int64(2), alreadyCommitted.Change.GetRevision())
}

// Guards against a process that was suspended for hours and then commits a revision that others have committed and
// trimmed. Its change would be reported as committed but would never take effect.
func TestPausedCommitterCannotRecreateTrimmedRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newSimulatedService()
		a, paused := service.store(), service.store()
		old := commitN(t, a, 2)
		for range 6 {
			_, err := a.Maintain(t.Context(), commitN(t, a, 4))
			require.NoError(t, err)
		}
		_, err := paused.Commit(t.Context(), old, change("late", 99))
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		state, err := service.store().Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, int64(26), state.Revision)
		_, err = a.Change(t.Context(), 3)
		require.ErrorAs(t, err, new(*TrimmedError), "the recreated record is deleted")
	})
}

// Guards against a configuration that differs when it is read from snapshots instead of the log, or when a snapshot is
// damaged or the hint to the newest one is missing.
func TestSnapshotsReplaceTrimmedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newSimulatedService()
		a := service.store()
		var want *cluster.State
		for range 8 {
			want = commitN(t, a, 4)
			_, err := a.Maintain(t.Context(), want)
			require.NoError(t, err)
		}
		check := func() {
			got, err := service.store().Load(t.Context())
			require.NoError(t, err)
			require.Equal(t, want.Revision, got.Revision)
			require.Equal(t, want.Customer("c").GetWeight(), got.Customer("c").GetWeight())
		}
		check()
		for revision := int64(32); revision >= 24; revision-- {
			at, err := a.At(t.Context(), revision)
			require.NoError(t, err)
			require.Equal(t, int32(revision), at.Customer("c").GetWeight())
		}
		_, err := a.At(t.Context(), 10)
		require.ErrorAs(t, err, new(*TrimmedError))
		entry, err := service.local.Get(t.Context(), partKey(32, 0))
		require.NoError(t, err)
		entry.Value[len(entry.Value)-1] ^= 1
		_, err = service.local.Put(t.Context(), entry.Key, entry.Value, entry.ModRevision, 0)
		require.NoError(t, err)
		check()
		require.NoError(t, service.local.Delete(t.Context(), headKey, headMod(t, service)))
		check()
	})
}

func headMod(t *testing.T, service *simulatedService) int64 {
	t.Helper()
	e, err := service.local.Get(t.Context(), headKey)
	require.NoError(t, err)
	return e.ModRevision
}

// Guards against snapshots and trims that cost more than 1.1 writes per change on average.
func TestWritesPerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newSimulatedService()
		a := New(service.local)
		var state *cluster.State
		for range 10 {
			state = commitN(t, a, SnapshotInterval)
			_, err := a.Maintain(t.Context(), state)
			require.NoError(t, err)
		}
		extra := float64(service.server.Counts().Writes-state.Revision) / float64(state.Revision)
		t.Logf("writes in addition to the commit, per change: %.3f", extra)
		require.LessOrEqual(t, extra, 1.1)
	})
}

// follow starts Follow and returns channels with the revisions that it delivers and the error that ends it.
func follow(ctx context.Context, s *Store, from *cluster.State) (revisions <-chan int64, failed <-chan error) {
	out, errs := make(chan int64, 1000), make(chan error, 1)
	go func() {
		errs <- s.Follow(ctx, from, func(c *operatorv1.Change) error {
			out <- c.GetRevision()
			return nil
		}, func(time.Time) {})
	}()
	return out, errs
}

// Guards against changes that are missed between the load and the start of the watch, and against a process that
// receives no changes because the connection of its watch is silent.
func TestFollowHasNoGapAndDetectsSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newSimulatedService()
		a, b := service.store(), service.store()
		first := commitN(t, a, 3)
		commitN(t, a, 2)
		ctx, cancel := context.WithCancel(t.Context())
		other := New(kvserver.NewLocalStore(service.server))
		service.local.Outcome = func(call, _ string) kvserver.CallOutcome {
			if call == "watch" {
				commitN(t, other, 1) // Between the read of the log and the start of the watch.
			}
			return kvserver.Normal
		}
		revisions, failed := follow(ctx, b, first)
		synctest.Wait()
		service.local.Outcome = nil
		require.Len(t, revisions, 3)
		for want := int64(4); want <= 6; want++ {
			require.Equal(t, want, <-revisions)
		}
		service.local.SilenceWatches()
		commitN(t, a, 1)
		time.Sleep(pollInterval + time.Millisecond)
		synctest.Wait()
		require.Len(t, revisions, 1)
		require.Equal(t, int64(7), <-revisions)
		time.Sleep(pollInterval + time.Millisecond)
		synctest.Wait()
		require.ErrorAs(t, <-failed, new(*SilentWatchError), "the caller has to start a new watch")
		cancel()
	})
}

// Guards against processes that revert to an older configuration because the service has lost data.
func TestTruncatedLogIsReported(t *testing.T) {
	service := newSimulatedService()
	state := commitN(t, service.store(), 3)
	_, err := newSimulatedService().store().Since(t.Context(), state.Revision, func(*operatorv1.Change) error { return nil })
	require.ErrorAs(t, err, new(*LogBehindError))
}

// Guards against a log that cannot be read because its changes are too large for one response.
func TestLargeChangesAreReadInSmallerPages(t *testing.T) {
	service := newSimulatedService()
	want := commitN(t, service.store(), 100)
	limited := &largeResponses{Store: service.local}
	got, err := New(limited).Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, want.Revision, got.Revision)
}

// Guards against a log of large changes that is never trimmed because it cannot be listed in pages of the usual size.
func TestLogOfLargeChangesIsTrimmed(t *testing.T) {
	service := newSimulatedService()
	want := commitN(t, service.store(), 100)
	s := New(&largeResponses{Store: service.local})
	s.sleep = func(context.Context, time.Duration) bool { return true }
	s.limits = snapshotLimits{interval: 10, retained: 0, maxPartBytes: 512 << 10}
	newest, err := s.Maintain(t.Context(), want)
	require.NoError(t, err)
	require.Equal(t, want.Revision, newest)
	left, err := service.local.List(t.Context(), logPrefix, "", 0)
	require.NoError(t, err)
	require.Empty(t, left)
}

// largeResponses fails reads of more than largeChangePageSize entries, as the client does when a response is too large.
type largeResponses struct{ kv.Store }

func (l *largeResponses) List(ctx context.Context, prefix, from string, limit int) ([]kv.Entry, error) {
	if limit > largeChangePageSize {
		return nil, &kv.UnknownOutcomeError{Cause: context.DeadlineExceeded}
	}
	return l.Store.List(ctx, prefix, from, limit)
}

// Guards against a process that cannot start a watch because the service has compacted the revision of the last change.
func TestFollowAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newSimulatedService()
		first := commitN(t, service.store(), 3)
		last, err := service.local.Put(t.Context(), "other", nil, kv.Absent, 0)
		require.NoError(t, err)
		oldest := last + 1
		ctx, cancel := context.WithCancel(t.Context())
		revisions, failed := follow(ctx, New(&compactedStore{Store: service.local, oldest: oldest}), first)
		synctest.Wait()
		commitN(t, service.store(), 1)
		synctest.Wait()
		require.Len(t, revisions, 1)
		cancel()
		require.ErrorIs(t, <-failed, context.Canceled)
	})
}

// compactedStore refuses watches that start before its oldest revision.
type compactedStore struct {
	kv.Store
	oldest int64
}

func (c *compactedStore) Watch(ctx context.Context, prefix string, after int64, fn func(kv.Event)) error {
	if after+1 < c.oldest {
		return &kv.CompactedError{Oldest: c.oldest}
	}
	return c.Store.Watch(ctx, prefix, after, fn)
}
