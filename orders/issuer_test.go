package orders_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"

	"lavendermoor.example/orders"
	"lavendermoor.example/standin/engineorders"
)

// rig is an issuer with its engine.
type rig struct {
	store  *memoryStore
	engine *engineorders.Engine
	wire   *memoryTransport
	base   *url.URL
}

func newRig(checks bool) *rig {
	e := engineorders.New(engineorders.Settings{ChecksFencing: checks, LoadTime: time.Minute})
	r := mux.NewRouter()
	e.Register(r)
	return &rig{
		store: newStore(), engine: e, wire: &memoryTransport{handler: r},
		base: &url.URL{Scheme: "http", Host: "engine"},
	}
}

func (r *rig) issuer(holder string, checks bool) (*orders.Issuer, *orders.Lease) {
	l := orders.NewLease(r.store, "s", holder, short)
	return orders.NewIssuer(orders.IssuerOptions{
		Server: "s", Lease: l, Store: r.store, Engine: r.base, ChecksFencing: checks,
		HTTP: &http.Client{Transport: r.wire}, PollInterval: time.Second,
	}), l
}

func load(id string) orders.Order {
	return orders.Order{ID: id, Kind: orders.Load, Model: "m", Version: "1"}
}

// Guards against an order that takes effect twice because answers or requests were lost.
func TestRepeatHasOneEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(true)
		i, _ := r.issuer("a", true)
		r.engine.SetFaults(engineorders.Faults{LoseAnswers: 2, LoseOrders: 1})
		_, err := i.Issue(t.Context(), load("1"))
		require.NoError(t, err)
		require.Len(t, r.engine.Dump().Effects, 1)
		require.Equal(t, orders.Counts{Sent: 4, Done: 1}, i.Counts())
		require.Equal(t, []int{1, 1}, []int{r.store.reads, r.store.writes})
	})
}

// Guards against a late repeat of a load that undoes an unload; an engine that has forgotten the ID shows the
// failure.
func TestLateRepeatAfterTheOppositeOrder(t *testing.T) {
	for _, c := range []struct{ memory, effects int }{{10, 2}, {1, 3}} {
		e := engineorders.New(engineorders.Settings{MaxOrders: c.memory})
		role := orders.Order{ID: "1", Server: "s", Kind: orders.SetRole, Role: "decode"}
		back := orders.Order{ID: "2", Server: "s", Kind: orders.SetRole}
		for _, o := range []orders.Order{role, back, role} {
			_, err := e.Take(o)
			require.Nil(t, err)
		}
		require.Len(t, e.Dump().Effects, c.effects)
	}
}

// Guards against an order that is sent after a wait for the connection during which the lease has lapsed.
func TestLapseWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(false)
		i, _ := r.issuer("a", false)
		r.wire.dial = short.TTL
		_, err := i.Issue(t.Context(), load("1"))
		var lapsed *orders.LeaseExpiredError
		require.ErrorAs(t, err, &lapsed)
		require.Empty(t, r.engine.Dump().Effects)
		require.Zero(t, i.Counts().Sent)
	})
}

// Guards against orders without a lease while the service is down.
func TestNoOrdersWithoutTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(false)
		i, _ := r.issuer("a", false)
		r.store.setDown(true)
		_, err := i.Issue(t.Context(), load("1"))
		require.Error(t, err)
		require.Zero(t, i.Counts().Sent)
	})
}

// Guards against an old number that passes the gate of an engine that ignores fencing. The gate refuses
// everything before it knows the floor.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(false)
		g := orders.NewFencingGate("s")
		var unknown *orders.FloorUnknownError
		require.ErrorAs(t, g.Admit(9), &unknown)
		_, other := r.issuer("b", false)
		require.NoError(t, other.Acquire(t.Context()))
		require.NoError(t, other.Release(t.Context()))
		require.NoError(t, other.Acquire(t.Context()))
		require.NoError(t, g.ReadFloor(t.Context(), r.store))
		var stale *orders.StaleError
		require.ErrorAs(t, g.Admit(1), &stale)
		require.Equal(t, int64(2), stale.Floor)
		require.NoError(t, g.Admit(3))
		require.ErrorAs(t, g.Admit(2), &stale)
	})
}

// Guards against an engine that checks fencing and takes an order of an earlier holder. The second part shows
// that an engine without the check takes it.
func TestEngineRefusesOldNumber(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := engineorders.New(engineorders.Settings{ChecksFencing: checks})
		_, err := e.Take(orders.Order{ID: "1", Server: "s", Fence: 2, Kind: orders.SetRole, Role: "decode"})
		require.Nil(t, err)
		_, err = e.Take(orders.Order{ID: "2", Server: "s", Fence: 1, Kind: orders.SetRole})
		require.Equal(t, checks, err != nil)
	}
}

// Guards the calls of the key-value service for each order, which the capacity page builds on.
func TestCallsOfTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(false)
		i, l := r.issuer("a", false)
		expect := func(reads, writes int, fn func() error) {
			before := []int{r.store.reads, r.store.writes}
			require.NoError(t, fn())
			require.Equal(t, []int{reads, writes}, []int{r.store.reads - before[0], r.store.writes - before[1]})
		}
		role := func(id string) func() error {
			return func() error {
				_, err := i.Issue(t.Context(), orders.Order{ID: id, Kind: orders.SetRole})
				return err
			}
		}
		expect(2, 1, role("first order, with the floor"))
		expect(0, 0, role("lease held"))
		expect(0, 0, func() error { _, err := i.Issue(t.Context(), load("load of a minute")); return err })
		expect(1, 1, role("lease lapsed"))
		lose := true
		r.store.fault = func() writeFault { return writeFault{lose: lose} }
		expect(1, 1, func() error { return l.Renew(t.Context()) })
		lose = false
		expect(0, 1, func() error { return l.Release(t.Context()) })
	})
}

// roundTripper is a transport made of a function.
type roundTripper func(r *http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func issuerOver(r *rig, transport http.RoundTripper) *orders.Issuer {
	return orders.NewIssuer(orders.IssuerOptions{
		Server: "s", Lease: orders.NewLease(r.store, "s", "a", short), Store: r.store, Engine: r.base, ChecksFencing: true,
		HTTP: &http.Client{Transport: transport}, PollInterval: time.Second,
	})
}

// Guards against an order that is reported as without effect because its repeat was refused, although the first
// request, whose answer was lost, may have taken effect.
func TestRefusedRepeatLeavesTheFirstUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(true)
		r.engine.SetFaults(engineorders.Faults{LoseAnswers: 1})
		requests := 0
		i := issuerOver(r, roundTripper(func(q *http.Request) (*http.Response, error) {
			if requests++; requests > 1 {
				_, _ = io.Copy(io.Discard, q.Body)
				return &http.Response{StatusCode: http.StatusConflict, Body: http.NoBody}, nil
			}
			return r.wire.RoundTrip(q)
		}))
		_, err := i.Issue(t.Context(), orders.Order{ID: "1", Kind: orders.SetRole, Role: "decode"})
		var unknown *orders.OutcomeUnknownError
		require.ErrorAs(t, err, &unknown)
		var refused *orders.RefusedError
		require.ErrorAs(t, err, &refused, "the cause")
	})
}

// Guards against an order that is sent after it was reported as not sent: a transport may read the body after it has
// returned.
func TestBodyIsNotReadAfterTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(true)
		var body io.Reader
		i := issuerOver(r, roundTripper(func(q *http.Request) (*http.Response, error) {
			body = q.Body
			return nil, errors.New("connection refused")
		}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := i.Issue(ctx, load("1"))
		require.ErrorIs(t, err, context.DeadlineExceeded)
		n, err := body.Read(make([]byte, 1))
		require.Error(t, err)
		require.Zero(t, n)
		require.Zero(t, i.Counts().Sent)
	})
}
