package rollout

import (
	"math"
	"time"
)

const (
	// minLeadPasses is the minimum number of passes by which the pass of a switch is ahead of the current pass, unless
	// arming is quick. While the arm time or pass time is unknown, one pass is added for each ranksPerLeadPass ranks.
	minLeadPasses    = 2
	ranksPerLeadPass = 16
	// maxLeadPasses limits, in passes, how long ranks that respond late can delay a new map.
	maxLeadPasses = 24
	// armTimeMargin is the factor by which arming may exceed its expected time without delaying a pass.
	armTimeMargin = 1.2
	// armTimeDecay is the factor by which the longest arm time decays with each switch that takes less.
	armTimeDecay = 0.8
	// passTimeWeight is the weight of a new observation in the moving average of the pass time.
	passTimeWeight = 0.3
	// quickArmFraction is the fraction of a pass below which arming is quick enough to switch at the next pass. The
	// group then waits for a quarter of a pass at most on average, whereas it would make at least one more whole pass with
	// the old map, which takes twice as long after a shift of demand.
	quickArmFraction = 0.6
	// unbalancedPassFactor is the factor by which passes take longer than the known pass time after a shift of demand.
	unbalancedPassFactor = 1.5
)

// switchTiming estimates how many passes ahead the pass of a switch has to be. A group that is held before that pass
// serves nothing, so every rank should be armed when the pass is due. It performs no I/O.
type switchTiming struct {
	// armTime is the time to arm all ranks, passTime the mean time of a pass. Both are 0 while unknown.
	armTime, passTime time.Duration
	lastPass          int64
	lastPassAt        time.Time
}

// observePass records the number of the last pass that has begun.
func (t *switchTiming) observePass(pass int64, now time.Time) {
	if !t.lastPassAt.IsZero() && pass > t.lastPass {
		mean := now.Sub(t.lastPassAt) / time.Duration(pass-t.lastPass)
		if t.passTime == 0 {
			t.passTime = mean
		}
		t.passTime += time.Duration(passTimeWeight * float64(mean-t.passTime))
	}
	if t.lastPassAt.IsZero() || pass != t.lastPass {
		t.lastPass, t.lastPassAt = pass, now
	}
}

// expectArmTime sets the time to arm all ranks while it is unknown.
func (t *switchTiming) expectArmTime(d time.Duration) {
	if t.armTime == 0 {
		t.armTime = d
	}
}

// observeArmTime records the time that it took to arm all ranks.
func (t *switchTiming) observeArmTime(d time.Duration) {
	t.armTime = max(d, time.Duration(armTimeDecay*float64(t.armTime)))
}

// leadPasses returns by how many passes the pass of a switch that begins now has to be ahead of the current pass. While
// the group is unbalanced, it may wait for part of a pass, which takes no longer than the passes that it would make with
// the old map.
func (t *switchTiming) leadPasses(ranks int, unbalanced bool) int64 {
	if t.armTime == 0 || t.passTime == 0 {
		if unbalanced {
			return minLeadPasses
		}
		return minLeadPasses + int64(ranks/ranksPerLeadPass)
	}
	passes := float64(t.armTime) / float64(t.passTime)
	switch {
	case unbalanced:
		return int64(min(max(math.Ceil(passes/unbalancedPassFactor), 1), maxLeadPasses))
	case passes < quickArmFraction:
		return 1
	}
	return min(max(int64(math.Ceil(armTimeMargin*passes))+1, minLeadPasses), maxLeadPasses)
}
