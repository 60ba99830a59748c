package balance

import (
	"time"

	"lavendermoor.example/gateway/catalog"
)

// A server that drains never becomes ready again until it restarts. If entries of the same incarnation call it draining and then
// ready, one of the two is from another writer. A request to a server that drains is worse than a server that is out of use, so
// a single ready entry changes nothing.

const (
	// minReadyEntries is the number of entries in a row that must call a draining server ready, with increasing sequence numbers.
	minReadyEntries = 2
	// drainChangeInterval is the shortest time between two reported changes of a server that another writer calls draining.
	drainChangeInterval = 10 * time.Second
)

// refutation counts the entries in a row that call a server ready after one that called it draining.
type refutation struct {
	// seq is the sequence number of the last one.
	seq   int64
	count int
}

// add counts an entry of a server that is listed as draining since the entry with the sequence number drainingSeq. It reports
// whether the server is shown not to drain. An entry that is not later than the draining one may have been delayed and shows
// nothing.
func (r *refutation) add(s catalog.Server, drainingSeq int64) bool {
	switch {
	case s.Draining:
		*r = refutation{}
		return false
	case !hasSequence(s):
		return true // It may have restarted.
	case s.Seq <= drainingSeq:
		return false
	case r.count == 0 || s.Seq < r.seq:
		*r = refutation{seq: s.Seq, count: 1}
	case s.Seq > r.seq:
		r.seq, r.count = s.Seq, r.count+1
	}
	return r.count >= minReadyEntries
}

// keepDraining lists a newly listed server as draining, as the last entry of the same incarnation did, which had the sequence
// number drainingSeq. The entry of the server counts as the first one that may show otherwise.
func (b *Backend) keepDraining(drainingSeq int64) {
	if b.refutation.add(b.server, drainingSeq) || b.server.Draining {
		return
	}
	b.server.Draining, b.server.Seq = true, drainingSeq
}

// changeOfDraining returns the change to report after another entry was applied, empty if there is none. The caller holds the
// lock.
func (b *Backend) changeOfDraining(wasDraining bool, now time.Time) string {
	if wasDraining == b.server.Draining || now.Sub(b.drainChangedAt) < drainChangeInterval {
		return ""
	}
	b.drainChangedAt = now
	if b.server.Draining {
		return "draining"
	}
	return "ready"
}
