package rollout

import (
	"math"
	"time"
)

const (
	// passesAhead is how far before its pass a switch is ordered at least, and one more for each ranksPerPass ranks while
	// it is not known how long arming takes.
	minLeadPasses    = 2
	ranksPerLeadPass = 16
	// maxPassesAhead bounds how late a map comes into force because of ranks that answer late.
	maxLeadPasses = 24
	// armingMargin is by how much arming may take longer than expected without delaying a pass.
	armTimeMargin = 1.2
	// armingDecay is what remains of the longest time of arming with each switch that takes less.
	armTimeDecay   = 0.8
	passTimeWeight = 0.3
	// hurriedShare is the part of a pass within which arming is quick enough to switch at the next one. The group then
	// rarely waits, and two passes of a group with a slow rank take more than a second.
	quickArmShare = 0.25
)

// timing tells how far ahead a switch has to be ordered. A group that is held before the pass of a switch stands still,
// so every rank should be armed by the time that this pass is due. It does no I/O.
type switchTiming struct {
	// arming is the time that arming all ranks takes, each the mean time of a pass; 0 while not known.
	armTime, passTime time.Duration
	lastPass          int64
	lastPassAt        time.Time
}

// observePass takes the last pass that was begun.
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

// observeArming takes the time in which all ranks were armed.
func (t *switchTiming) observeArmTime(d time.Duration) {
	t.armTime = max(d, time.Duration(armTimeDecay*float64(t.armTime)))
}

// ahead returns how many passes before its own a switch is ordered.
func (t *switchTiming) leadPasses(ranks int) int64 {
	if t.armTime == 0 || t.passTime == 0 {
		return minLeadPasses + int64(ranks/ranksPerLeadPass)
	}
	if float64(t.armTime) < quickArmShare*float64(t.passTime) {
		return 1
	}
	passes := math.Ceil(armTimeMargin * float64(t.armTime) / float64(t.passTime))
	return min(max(int64(passes)+1, minLeadPasses), maxLeadPasses)
}
