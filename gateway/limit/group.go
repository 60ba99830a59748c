package limit

import "time"

// group is the part of a queue for one group. The queue's lock guards it.
type group struct {
	name    string
	limiter *Limiter
	// unavailable groups get no new stream; closedAt is since when.
	unavailable      bool
	unavailableSince time.Time
	// removed says that the group is not listed any more.
	removed bool
	// lastEvent is when an event of any stream came last, or when the first of the streams in flight was sent; aim is that for
	// the pauses of the streams.
	lastEvent time.Time
	targetGap time.Duration
	// streamsWithoutEvent counts the streams that have ended without an event since the last event of any.
	streamsWithoutEvent int
}

// Constants of the notice that a group stands still.
const (
	// stallGaps is the number of pauses at their aim, and stallFirsts that of the mean times to a first event, after which a
	// group counts as standing still.
	stallGaps        = 4
	stallFirstEvents = 3
	// minStallStreams is the number of streams that all have to be silent, since one alone may be silent by itself.
	minStallStreams = 3
	// unresponsiveStreams is the number of streams in a row without any event after which a group counts as serving nothing. It gets
	// one stream at a time then, which shows when it serves again.
	unresponsiveStreams = 8
)

// canAdmit says whether a stream may begin in the group now.
func (g *group) canAdmit(now time.Time) bool {
	if g.unavailable || g.removed || g.stalled(now) {
		return false
	}
	if g.unresponsive() {
		return g.limiter.InFlight() == 0
	}
	return g.limiter.InFlight() < g.limiter.Limit()
}

// utilization is the share of the group's places that are taken.
func (g *group) utilization() float64 {
	return float64(g.limiter.InFlight()) / float64(g.limiter.Limit())
}

// unresponsive says that the group has not served any of the last streams.
func (g *group) unresponsive() bool { return g.streamsWithoutEvent >= unresponsiveStreams }

// stalled says that all streams of the group have been silent for much longer than their events should take: a rank has gone,
// or a switch of the expert map has not ended. What is sent there would wait, and be refused if a rank has gone.
func (g *group) stalled(now time.Time) bool {
	if g.limiter.InFlight() < minStallStreams || g.targetGap <= 0 {
		return false
	}
	return now.Sub(g.lastEvent) > max(stallGaps*g.targetGap, stallFirstEvents*g.limiter.FirstEventLatency())
}

// admit takes a place for a stream with an aim for its pauses.
func (g *group) admit(targetGap time.Duration, now time.Time) {
	if g.limiter.InFlight() == 0 {
		g.lastEvent = now
	}
	g.targetGap = targetGap
	g.limiter.TryAcquire()
}

// usable says whether the group counts for the prediction of a request that must not run in another one.
func (g *group) usable(excluded string) bool {
	return !g.unavailable && !g.removed && !g.unresponsive() && (excluded == "" || g.name != excluded)
}
