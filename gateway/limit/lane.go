package limit

import "time"

// group is the part of a queue for one group. The queue's lock guards it.
type group struct {
	name    string
	limiter *Limiter
	// closed groups get no new stream; closedAt is since when.
	closed   bool
	closedAt time.Time
	// removed says that the group is not listed any more.
	removed bool
	// heard is when an event of any stream came last, or when the first of the streams in flight was sent; aim is that for
	// the pauses of the streams.
	heard time.Time
	aim   time.Duration
	// withoutEvent counts the streams that have ended without an event since the last event of any.
	withoutEvent int
}

// Constants of the notice that a group stands still.
const (
	// stallPauses is the number of pauses at their aim, and stallFirsts that of the mean times to a first event, after which a
	// group counts as standing still.
	stallPauses = 4
	stallFirsts = 3
	// stallStreams is the number of streams that all have to be silent, since one alone may be silent by itself.
	stallStreams = 3
	// unservedStreams is the number of streams in a row without any event after which a group counts as serving nothing. It gets
	// one stream at a time then, which shows when it serves again.
	unservedStreams = 8
)

// admits says whether a stream may begin in the group now.
func (l *group) admits(now time.Time) bool {
	if l.closed || l.removed || l.stalled(now) {
		return false
	}
	if l.unserving() {
		return l.limiter.InFlight() == 0
	}
	return l.limiter.InFlight() < l.limiter.Limit()
}

// used is the share of the group's places that are taken.
func (l *group) used() float64 { return float64(l.limiter.InFlight()) / float64(l.limiter.Limit()) }

// unserving says that the group has not served any of the last streams.
func (l *group) unserving() bool { return l.withoutEvent >= unservedStreams }

// stalled says that all streams of the group have been silent for much longer than their events should take: a rank has gone,
// or a switch of the expert map has not ended. What is sent there would wait, and be refused if a rank has gone.
func (l *group) stalled(now time.Time) bool {
	if l.limiter.InFlight() < stallStreams || l.aim <= 0 {
		return false
	}
	return now.Sub(l.heard) > max(stallPauses*l.aim, stallFirsts*l.limiter.FirstEventLatency())
}

// admit takes a place for a stream with an aim for its pauses.
func (l *group) admit(aim time.Duration, now time.Time) {
	if l.limiter.InFlight() == 0 {
		l.heard = now
	}
	l.aim = aim
	l.limiter.TryAcquire()
}

// serves says whether the group counts for the prediction of a request that must not run in another one.
func (l *group) serves(except string) bool {
	return !l.closed && !l.removed && !l.unserving() && (except == "" || l.name != except)
}
