package limit

import "time"

// group is the part of a queue for one group. It is guarded by the queue's lock.
type group struct {
	name    string
	limiter *Limiter
	// notServing is set when the group does not serve and gets no new streams; notServingSince is when that began.
	notServing      bool
	notServingSince time.Time
	// removed is set when the group is no longer listed.
	removed bool
	// lastEvent is the time of the last event of any stream, or of the admission of the first stream in flight if that
	// is later. targetGap is the target gap of the last stream admitted.
	lastEvent time.Time
	targetGap time.Duration
	// streamsWithoutEvent counts the streams that ended without any event since the last event of the group.
	streamsWithoutEvent int
}

// Thresholds for stalled and unresponsive groups.
const (
	// A group is stalled when it has been silent for longer than stallGaps target gaps and for longer than
	// stallFirstEvents mean latencies of a first event.
	stallGaps        = 4
	stallFirstEvents = 3
	// minStallStreams is the minimum number of streams in flight for a stalled group. A single stream may be silent
	// although its group is not stalled.
	minStallStreams = 3
	// unresponsiveStreams is the number of consecutive streams without any event after which a group is unresponsive.
	// It then gets one stream at a time, which shows when the group responds again.
	unresponsiveStreams = 8
)

// canAdmit reports whether a stream may start in the group now.
func (g *group) canAdmit(now time.Time) bool {
	if g.notServing || g.removed || g.stalled(now) {
		return false
	}
	if g.unresponsive() {
		return g.limiter.InFlight() == 0
	}
	return g.limiter.InFlight() < g.limiter.Limit()
}

// utilization returns the fraction of the limit that is in use.
func (g *group) utilization() float64 {
	return float64(g.limiter.InFlight()) / float64(g.limiter.Limit())
}

// unresponsive reports whether unresponsiveStreams streams have ended without any event since the last event of the
// group.
func (g *group) unresponsive() bool { return g.streamsWithoutEvent >= unresponsiveStreams }

// stalled reports whether all streams of the group have been silent for much longer than events should take. The cause
// is a failed rank or a switch of the expert map that has not ended. New streams would wait, and would be refused once
// the ranks detect the failure.
func (g *group) stalled(now time.Time) bool {
	if g.limiter.InFlight() < minStallStreams || g.targetGap <= 0 {
		return false
	}
	return now.Sub(g.lastEvent) > max(stallGaps*g.targetGap, stallFirstEvents*g.limiter.FirstEventLatency())
}

// admit starts a stream with a target gap, which may be late already.
func (g *group) admit(targetGap time.Duration, late bool, now time.Time) {
	g.limiter.ObserveAdmission(late)
	if g.limiter.InFlight() == 0 {
		g.lastEvent = now
	}
	g.targetGap = targetGap
	g.limiter.TryAcquire()
}

// usable reports whether the group serves, is responsive and is permitted by the filter.
func (g *group) usable(filter groupFilter) bool {
	return !g.notServing && !g.removed && !g.unresponsive() && filter.permits(g.name)
}
