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

// fixture holds a simulated engine and a key-value service for issuers.
type fixture struct {
	store     *memoryStore
	engine    *engineorders.Engine
	transport *memoryTransport
	base      *url.URL
}

func newFixture(checks bool) *fixture {
	e := engineorders.New(engineorders.Settings{ChecksFencing: checks, LoadTime: time.Minute})
	r := mux.NewRouter()
	e.Register(r)
	return &fixture{
		store: newStore(), engine: e, transport: &memoryTransport{handler: r},
		base: &url.URL{Scheme: "http", Host: "engine"},
	}
}

func (f *fixture) issuer(holder string, checks bool) (*orders.Issuer, *orders.Lease) {
	l := orders.NewLease(f.store, "s", holder, shortLease)
	return orders.NewIssuer(orders.IssuerOptions{
		Server: "s", Lease: l, Store: f.store, Engine: f.base, ChecksFencing: checks,
		HTTP: &http.Client{Transport: f.transport}, PollInterval: time.Second,
	}), l
}

func load(id string) orders.Order {
	return orders.Order{ID: id, Kind: orders.Load, Model: "m", Version: "1"}
}

// Guards against an order that takes effect twice after lost responses or requests.
func TestRetryHasOneEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(true)
		i, _ := f.issuer("a", true)
		f.engine.SetFaults(engineorders.Faults{LoseResponses: 2, LoseOrders: 1})
		_, err := i.Issue(t.Context(), load("1"))
		require.NoError(t, err)
		require.Len(t, f.engine.Dump().Effects, 1)
		require.Equal(t, orders.Counts{Sent: 4, Done: 1}, i.Counts())
		require.Equal(t, []int{1, 1}, []int{f.store.reads, f.store.writes})
	})
}

// Guards against a late retry of an order that reverts a later order. An engine that keeps only one order ID, and has
// thus discarded the ID of the retried order, shows the failure.
func TestLateRetryAfterOppositeOrder(t *testing.T) {
	for _, c := range []struct{ memory, effects int }{{10, 2}, {1, 3}} {
		e := engineorders.New(engineorders.Settings{MaxOrders: c.memory})
		role := orders.Order{ID: "1", Server: "s", Kind: orders.SetRole, Role: "decode"}
		back := orders.Order{ID: "2", Server: "s", Kind: orders.SetRole}
		for _, o := range []orders.Order{role, back, role} {
			_, err := e.Accept(o)
			require.Nil(t, err)
		}
		require.Len(t, e.Dump().Effects, c.effects)
	}
}

// Guards against an order that is sent after the lease has expired during the wait for the connection.
func TestLeaseExpiresWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(false)
		i, _ := f.issuer("a", false)
		f.transport.dialDelay = shortLease.TTL
		_, err := i.Issue(t.Context(), load("1"))
		var expired *orders.LeaseExpiredError
		require.ErrorAs(t, err, &expired)
		require.Empty(t, f.engine.Dump().Effects)
		require.Zero(t, i.Counts().Sent)
	})
}

// Guards against orders without a lease while the service is down.
func TestNoOrdersWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(false)
		i, _ := f.issuer("a", false)
		f.store.setDown(true)
		_, err := i.Issue(t.Context(), load("1"))
		require.Error(t, err)
		require.Zero(t, i.Counts().Sent)
	})
}

// Guards against a stale fencing token that reaches an engine without fencing checks. The gate must reject all orders
// before it has read the floor.
func TestFencingGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(false)
		g := orders.NewFencingGate("s")
		var unknown *orders.FloorUnknownError
		require.ErrorAs(t, g.Admit(9), &unknown)
		_, other := f.issuer("b", false)
		require.NoError(t, other.Acquire(t.Context()))
		require.NoError(t, other.Release(t.Context()))
		require.NoError(t, other.Acquire(t.Context()))
		require.NoError(t, g.ReadFloor(t.Context(), f.store))
		var stale *orders.StaleError
		require.ErrorAs(t, g.Admit(1), &stale)
		require.Equal(t, int64(2), stale.Floor)
		require.NoError(t, g.Admit(3))
		require.ErrorAs(t, g.Admit(2), &stale)
	})
}

// Guards against an engine that checks fencing tokens but accepts an order of an earlier holder. Without the check an
// engine accepts it.
func TestEngineRejectsOldFencingToken(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := engineorders.New(engineorders.Settings{ChecksFencing: checks})
		_, err := e.Accept(orders.Order{ID: "1", Server: "s", Fence: 2, Kind: orders.SetRole, Role: "decode"})
		require.Nil(t, err)
		_, err = e.Accept(orders.Order{ID: "2", Server: "s", Fence: 1, Kind: orders.SetRole})
		require.Equal(t, checks, err != nil)
	}
}

// Guards the number of key-value service calls for each order, on which the capacity planning is based.
func TestStoreCallsPerOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(false)
		i, l := f.issuer("a", false)
		expect := func(reads, writes int, fn func() error) {
			before := []int{f.store.reads, f.store.writes}
			require.NoError(t, fn())
			require.Equal(t, []int{reads, writes}, []int{f.store.reads - before[0], f.store.writes - before[1]})
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
		f.store.fault = func() writeFault { return writeFault{loseResponse: lose} }
		expect(1, 1, func() error { return l.Renew(t.Context()) })
		lose = false
		expect(0, 1, func() error { return l.Release(t.Context()) })
	})
}

// roundTripper is a function that implements http.RoundTripper.
type roundTripper func(r *http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func issuerWithTransport(f *fixture, transport http.RoundTripper) *orders.Issuer {
	return orders.NewIssuer(orders.IssuerOptions{
		Server: "s", Lease: orders.NewLease(f.store, "s", "a", shortLease), Store: f.store, Engine: f.base, ChecksFencing: true,
		HTTP: &http.Client{Transport: transport}, PollInterval: time.Second,
	})
}

// Guards against an order that is reported as rejected because its retry was, although the first request, whose
// response was lost, may have taken effect.
func TestRejectedRetryLeavesOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(true)
		f.engine.SetFaults(engineorders.Faults{LoseResponses: 1})
		requests := 0
		i := issuerWithTransport(f, roundTripper(func(q *http.Request) (*http.Response, error) {
			if requests++; requests > 1 {
				_, _ = io.Copy(io.Discard, q.Body)
				return &http.Response{StatusCode: http.StatusConflict, Body: http.NoBody}, nil
			}
			return f.transport.RoundTrip(q)
		}))
		_, err := i.Issue(t.Context(), orders.Order{ID: "1", Kind: orders.SetRole, Role: "decode"})
		var unknown *orders.UnknownOutcomeError
		require.ErrorAs(t, err, &unknown)
		var refused *orders.RefusedError
		require.ErrorAs(t, err, &refused, "the cause")
	})
}

// Guards against an order that is reported as rejected, or not repeated, although the engine has executed it and only its
// response had a status that says nothing of the order.
func TestStatusThatIsNoRefusalLeavesOutcomeUnknown(t *testing.T) {
	for _, status := range []int{0, 99, http.StatusNoContent, http.StatusFound, http.StatusRequestTimeout, http.StatusBadGateway, 600} {
		for _, once := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(true)
				requests := 0
				i := issuerWithTransport(f, roundTripper(func(q *http.Request) (*http.Response, error) {
					resp, err := f.transport.RoundTrip(q)
					if requests++; err == nil && (requests == 1 || !once) {
						resp.StatusCode = status
					}
					return resp, err
				}))
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := i.Issue(ctx, orders.Order{ID: "1", Kind: orders.SetRole, Role: "decode"})
				require.Len(t, f.engine.Dump().Effects, 1)
				if once {
					require.NoError(t, err, "status %d", status)
					return
				}
				var unknown *orders.UnknownOutcomeError
				require.ErrorAs(t, err, &unknown, "status %d", status)
			})
		}
	}
}

// Guards against an order that is sent after it was reported as not sent: a transport may read the body after RoundTrip
// has returned.
func TestBodyIsNotReadAfterAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(true)
		var body io.Reader
		i := issuerWithTransport(f, roundTripper(func(q *http.Request) (*http.Response, error) {
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
