package mirror

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
)

// Guards against a process that keeps the state from before a restore, because the revisions of the restored service are lower,
// until the counter has passed the old one.
func TestRestoredServiceIsFollowedAtOnce(t *testing.T) {
	for _, writes := range []int{1, 5, 20} {
		t.Run(strconv.Itoa(writes)+" writes lost", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newService()
				s.put("p/a", "old")
				m, _ := follow(t, s, Options{})
				for range 2 { // Restored twice in a row.
					restore := s.copyOf()
					for i := range writes {
						s.put("p/a", "lost "+strconv.Itoa(i))
					}
					time.Sleep(100 * time.Millisecond)
					restore()
					s.put("p/a", "written again")
					time.Sleep(1200 * time.Millisecond)
					require.Equal(t, "written again", string(m.Snapshot().Entries["p/a"].Value))
				}
			})
		})
	}
}

// Guards against living servers that count as gone at once because the copy from which the service came back lacks them.
func TestEntriesThatACopyLacksAreKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		s.put("p/a", "1")
		_, changes := follow(t, s, Options{})
		time.Sleep(100 * time.Millisecond)
		restore := s.copyOf()
		s.put("p/b", "1")
		time.Sleep(3 * time.Second)
		restore()
		time.Sleep(1200 * time.Millisecond)
		last := changes()[len(changes())-1]
		require.NotContains(t, last.values, "p/b")
		require.Greater(t, last.keep, time.Second)
	})
}

// Guards against a peer that has not heard of the restore and whose snapshot, with its higher revision, takes the state back.
func TestSnapshotOfAnEarlierEraIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		s.put("p/a", "1")
		peer := &Snapshot{At: kv.Position{Revision: 90}, Changed: kv.Position{Revision: 90}, Entries: map[string]kv.Entry{}}
		m, _ := follow(t, s, Options{Peer: func(context.Context, string, kv.Position) (*Snapshot, error) { return peer, nil }})
		time.Sleep(100 * time.Millisecond)
		s.copyOf()()
		time.Sleep(1200 * time.Millisecond)
		s.set(func() { s.down = true })
		time.Sleep(3 * time.Second)
		require.Equal(t, "1", string(m.Snapshot().Entries["p/a"].Value))
		require.EqualValues(t, 1, m.Snapshot().At.Era)
	})
}

// Guards against a follower that stays in the era before, or that is taken back by a reader that learns of the restore late.
func TestFollowersTakeUpTheNextEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		restore := p.service.copyOf()
		for range 5 {
			p.service.put("p/a", "lost")
		}
		time.Sleep(100 * time.Millisecond)
		restore()
		p.service.put("p/a", "2")
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, "2", p.value())
		p.readerGate.closed.Store(true)
		time.Sleep(time.Second)
		p.service.copyOf()()
		p.service.put("p/a", "3")
		time.Sleep(4 * time.Second)
		require.Equal(t, "3", p.value(), "the reader is turned away and still in the era before")
		p.readerGate.closed.Store(false)
		time.Sleep(10 * time.Second)
		require.Equal(t, "3", p.value())
	})
}

// Guards against an era that is lost between two processes, so that the receiver compares revisions of different eras.
func TestErasTravelBetweenProcesses(t *testing.T) {
	s := newService()
	s.put("p/a", "1")
	s.copyOf()()
	m := New(Options{Source: s, Prefix: "p/", Log: zap.NewNop(), Changed: func(*Snapshot, time.Time) {}})
	require.NoError(t, m.step(t.Context()))
	mirrors := map[string]*Mirror{"p/": m}
	routes := http.NewServeMux()
	routes.Handle(PeerPath, Handler(mirrors, zap.NewNop()))
	routes.Handle(FollowPath, FollowHandler(mirrors, zap.NewNop()))
	srv := httptest.NewServer(routes)
	defer srv.Close()
	address := srv.Listener.Addr().String()
	peers := NewPeers(http.DefaultClient, []string{address})
	behind := kv.Position{Era: 0, Revision: 90} // The higher revision is of an earlier era.

	snapshot, err := peers.Ask(t.Context(), "p/", behind)
	require.NoError(t, err)
	require.Equal(t, m.Snapshot(), snapshot)
	a, err := peers.Follow(t.Context(), address, Question{Prefix: "p/", After: behind})
	require.NoError(t, err)
	require.Equal(t, m.Snapshot(), a.Snapshot)
	snapshot, err = peers.Ask(t.Context(), "p/", m.Snapshot().At)
	require.NoError(t, err)
	require.Nil(t, snapshot)
}
