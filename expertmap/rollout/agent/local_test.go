package agent

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/expertmap/rollout"
)

// unreliableRank does not respond to the first lost orders, and loads a map loadTime after a Prepare.
type unreliableRank struct {
	mu       sync.Mutex
	lost     int
	orders   int
	loadTime time.Duration
	prepared int64
	loadedAt time.Time
}

func (r *unreliableRank) State(context.Context, rollout.StateOptions) (rollout.State, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.loadedAt) {
		return rollout.State{}, nil
	}
	return rollout.State{Prepared: r.prepared}, nil
}

func (r *unreliableRank) Order(ctx context.Context, o rollout.Order) error {
	r.mu.Lock()
	r.orders++
	lost := r.orders <= r.lost
	if !lost && o.Operation == rollout.Prepare {
		r.prepared, r.loadedAt = o.Version, time.Now().Add(r.loadTime)
	}
	r.mu.Unlock()
	if !lost {
		return nil
	}
	<-ctx.Done()
	return merry.Wrap(&rollout.NoResponseError{Operation: o.Operation, Cause: ctx.Err()})
}

// Guards against map changes that stop while a tenth of the orders get no response: the planner waited 435 ms for each
// of them, and one round of orders to 63 ranks practically never succeeded. The planner has to learn of the attempt
// without a response, because it may be executed seconds later.
func TestAgentRepeatsOrdersWithoutResponse(t *testing.T) {
	rank := &unreliableRank{lost: 2}
	c := serveAgent(t, rank)
	o := rollout.Order{Operation: rollout.Arm, Version: 3, Pass: 8, Report: &rollout.OrderReport{}}
	require.NoError(t, c.Order(t.Context(), o))
	require.Equal(t, 3, rank.orders)
	require.True(t, o.Report.Unanswered)

	rank.lost = rank.orders + maxLocalAttempts
	var noResponse *rollout.NoResponseError
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	require.ErrorAs(t, c.Order(ctx, o), &noResponse)
}

// Guards against a rank that responds late for some time and is taken for one that does not respond. In one run, the
// responses to orders were late for 18 s.
func TestLateResponseIsAwaited(t *testing.T) {
	rank := &lateRank{delay: 100 * time.Millisecond}
	c := serveAgent(t, rank)
	o := rollout.Order{Operation: rollout.Arm, Version: 3, Pass: 8, Report: &rollout.OrderReport{}}
	require.NoError(t, c.Order(t.Context(), o))
	require.True(t, o.Report.Unanswered)
}

// lateRank responds to each order after a delay.
type lateRank struct {
	discardingRank
	delay time.Duration
}

func (r *lateRank) Order(ctx context.Context, o rollout.Order) error {
	select {
	case <-time.After(r.delay):
		return nil
	case <-ctx.Done():
		return merry.Wrap(&rollout.NoResponseError{Operation: o.Operation, Cause: ctx.Err()})
	}
}

// Guards against repeated orders for an issuer of an earlier version, which does not evaluate the report and would go
// on although an Arm may still be executed.
func TestOrderWithoutReportIsSentOnce(t *testing.T) {
	rank := &unreliableRank{lost: 1}
	c := serveAgent(t, rank)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, c.Order(ctx, rollout.Order{Operation: rollout.Arm, Version: 3, Pass: 8}))
	require.Equal(t, 1, rank.orders)
}

// Guards against an order that the agent repeats after it has received an order of a later issuer.
func TestAgentDoesNotRepeatOrdersOfAnEarlierIssuer(t *testing.T) {
	rank := &unreliableRank{lost: 1}
	a := New(rank, zap.NewNop())
	fenced := make(chan error)
	go func() {
		fenced <- a.Order(t.Context(), rollout.Order{Operation: rollout.Arm, Fence: 2, Report: &rollout.OrderReport{}})
	}()
	require.Eventually(t, func() bool {
		rank.mu.Lock()
		defer rank.mu.Unlock()
		return rank.orders == 1
	}, time.Second, time.Millisecond)
	require.NoError(t, a.Order(t.Context(), rollout.Order{Operation: rollout.Release, Fence: 3}))
	var refused *rollout.RefusedError
	require.ErrorAs(t, <-fenced, &refused)
	require.True(t, refused.Fenced)
	require.Equal(t, 2, rank.orders)
}

// Guards against a poll of all ranks before each switch: the planner waited for its next tick although every rank had
// loaded the map within 20 ms. A rank that takes longer must not delay the response beyond the planner's timeout.
func TestPrepareIsConfirmedOnceTheMapIsLoaded(t *testing.T) {
	rank := &unreliableRank{loadTime: 15 * time.Millisecond}
	c := serveAgent(t, rank)
	o := rollout.Order{Operation: rollout.Prepare, Version: 3, Report: &rollout.OrderReport{}}
	require.NoError(t, c.Order(t.Context(), o))
	require.True(t, o.Report.Loaded)
	rank.loadTime = time.Hour
	o.Version = 4
	require.NoError(t, c.Order(t.Context(), o))
	require.False(t, o.Report.Loaded)
}
