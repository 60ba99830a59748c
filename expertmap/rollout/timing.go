package rollout

import (
	"math"
	"time"
)

const (
	// passesAhead is how far before its pass a switch is ordered at least, and one more for each ranksPerPass ranks while
	// it is not known how long arming takes.
	passesAhead  = 2
	ranksPerPass = 16
	// maxPassesAhead bounds how late a map comes into force because of ranks that answer late.
	maxPassesAhead = 24
	// armingMargin is by how much arming may take longer than expected without delaying a pass.
	armingMargin = 1.2
	// armingDecay is what remains of the longest time of arming with each switch that takes less.
	armingDecay = 0.8
	passWeight  = 0.3
	// hurriedShare is the part of a pass within which arming is quick enough to switch at the next one. The group then
	// rarely waits, and two passes of a group with a slow rank take more than a second.
	hurriedShare = 0.25
)

// timing tells how far ahead a switch has to be ordered. A group that is held before the pass of a switch stands still,
// so every rank should be armed by the time that this pass is due. It does no I/O.
type timing struct {
	// arming is the time that arming all ranks takes, each the mean time of a pass; 0 while not known.
	arming, each time.Duration
	pass         int64
	at           time.Time
}

// observePass takes the last pass that was begun.
func (t *timing) observePass(pass int64, now time.Time) {
	if !t.at.IsZero() && pass > t.pass {
		mean := now.Sub(t.at) / time.Duration(pass-t.pass)
		if t.each == 0 {
			t.each = mean
		}
		t.each += time.Duration(passWeight * float64(mean-t.each))
	}
	if t.at.IsZero() || pass != t.pass {
		t.pass, t.at = pass, now
	}
}

// observeArming takes the time in which all ranks were armed.
func (t *timing) observeArming(d time.Duration) {
	t.arming = max(d, time.Duration(armingDecay*float64(t.arming)))
}

// ahead returns how many passes before its own a switch is ordered.
func (t *timing) ahead(ranks int) int64 {
	if t.arming == 0 || t.each == 0 {
		return passesAhead + int64(ranks/ranksPerPass)
	}
	if float64(t.arming) < hurriedShare*float64(t.each) {
		return 1
	}
	meanwhile := math.Ceil(armingMargin * float64(t.arming) / float64(t.each))
	return min(max(int64(meanwhile)+1, passesAhead), maxPassesAhead)
}
