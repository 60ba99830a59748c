package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// stamp is a time in units of stampUnit since the start of the state; 0 means never.
type stamp uint32

const stampUnit = 10 * time.Millisecond // 32 bits reach 497 days

type listState uint8

const (
	listAbsent listState = iota
	listLive
	listLeaving
)

// record is the evidence about one server. Its size is bounded by the design page at 64 bytes, because every
// entry holds one for each of 2,900 servers.
type record struct {
	incarnation int64
	// drained is the highest incarnation that has said that it is draining.
	drained int64
	// leavingOf is the incarnation that the list's "leaving" is held to mean, 0 while it is not known.
	leavingOf    int64
	upSince      stamp
	silentSince  stamp
	probeAt      stamp
	slowSeen     stamp
	leavingSince stamp
	domain       uint16
	fails        uint8
	list         listState
	down         bool
	// overruled says that the server's own reports have outweighed the list's "leaving".
	overruled bool
	probing   bool
}

func (r *record) draining() bool { return r.drained != 0 && r.drained >= r.incarnation }

func (r *record) leaving() bool {
	if r.list != listLeaving || r.overruled {
		return false
	}
	return r.leavingOf == 0 || r.incarnation <= r.leavingOf
}

func (r *record) suspect() bool { return r.fails > 0 || r.silentSince != 0 }

// probePause returns the pause before the next probe of a server: exponential from minProbePause to
// maxProbePause, spread over a quarter by a hash so that entries do not probe together.
func probePause(seed uint64, server string, attempt uint8) time.Duration {
	shift := min(int(attempt), 6)
	d := min(minProbePause<<shift, maxProbePause)
	h := xxhash.Sum64String(server) ^ (seed * 0x9e3779b97f4a7c15) ^ uint64(attempt)<<56
	return d - time.Duration((h>>32)%uint64(d/4))
}
