package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// unansweredArmRank gives no response to orders to arm. The last of them is executed by deliverLate.
type unansweredArmRank struct {
	Rank
	group *fakeGroup
	index int
	arm   *Order
}

func (r *unansweredArmRank) Order(ctx context.Context, o Order) error {
	if o.Operation != Arm {
		return r.Rank.Order(ctx, o)
	}
	r.arm = &o
	<-ctx.Done()
	return merry.Wrap(&NoResponseError{Operation: o.Operation, Cause: ctx.Err()})
}

func (r *unansweredArmRank) deliverLate() error {
	if r.arm == nil {
		return nil
	}
	return r.group.apply(r.index, *r.arm)
}

// lateReleaseRank is a rank whose hold of a pass is released only after beforeRelease has returned.
type lateReleaseRank struct {
	Rank
	beforeRelease func()
}

func (r *lateReleaseRank) Order(ctx context.Context, o Order) error {
	if o.Operation == Release && o.Pass > 0 {
		r.beforeRelease()
	}
	return r.Rank.Order(ctx, o)
}

// Guards against a late Arm of a deputy that survives the undo of its switch. Sequence: the planner's rank is armed, and
// the planner freezes after it has disarmed the other ranks because it got no response from the deputy. The deputy arms
// them again; one of these orders gets no response. The planner's rank then resumes, so the deputy undoes the switch.
// The order without a response arrives after this rank was disarmed and before the pass is released.
func TestLateArmOfADeputyDoesNotSurviveTheUndo(t *testing.T) {
	const version, pass, plannerRank, deputyRank, holder, late = 1, 20, 0, 1, 2, 3
	withFakeGroup(t, func(ctx context.Context, t *testing.T, fake *fakeGroup, experts [][][]uint16) {
		order := func(rank int, o Order) {
			o.Epoch, o.Fence, o.Version = fake.epoch, PlannerFence(1), version
			require.NoError(t, fake.apply(rank, o))
		}
		for i := range fake.ranks {
			order(i, Order{Operation: Prepare, Experts: experts})
		}
		time.Sleep(2 * fake.prepareTime)
		order(holder, Order{Operation: Hold, Pass: pass})
		order(plannerRank, Order{Operation: Arm, Pass: pass})

		ranks := fake.allRanks()
		lateRank := &unansweredArmRank{Rank: ranks[late], group: fake, index: late}
		var lateErr error
		ranks[late] = lateRank
		ranks[holder] = &lateReleaseRank{Rank: ranks[holder], beforeRelease: func() { lateErr = lateRank.deliverLate() }}
		assignment := DeputyAssignment{
			Epoch: fake.epoch, Fence: PlannerFence(1), Number: 1, Version: version,
			Planner: plannerRank, Deputy: deputyRank, Holder: holder, Addresses: make([]string, len(ranks)),
		}
		deputy := NewGroup(ranks, deputyRank, func() (int64, error) { return DeputyFence(assignment.Fence), nil }, zap.NewNop())
		record := plannerRankRecord{armed: &Armed{Version: version, Pass: pass}}

		fake.withLock(func() { fake.down[plannerRank] = true })
		require.Error(t, deputy.tryTakeOver(ctx, assignment, record), "one rank is not armed")
		require.NotNil(t, lateRank.arm)
		fake.withLock(func() { fake.down[plannerRank] = false })
		require.NoError(t, deputy.tryTakeOver(ctx, assignment, record))
		for range pass {
			fake.beginPass()
		}
		var refused *RefusedError
		require.ErrorAs(t, lateErr, &refused, "the late order was executed")
		status := fake.status()
		require.GreaterOrEqual(t, status.pass, int64(pass))
		require.False(t, status.mixedMaps, "versions %v", status.versions)
	})
}
