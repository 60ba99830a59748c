package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// timestamp is a time in units of timestampUnit since State.start. The start itself is 1, and 0 means never.
type timestamp uint32

const timestampUnit = 10 * time.Millisecond // 32 bits reach 497 days

type listState uint8

const (
	listAbsent listState = iota
	listLive
	listLeaving
)

// record holds the health evidence of one server. The design limits it to 64 bytes, because every entry holds one for
// each of up to 2,900 servers.
type record struct {
	incarnation int64
	// drainingIncarnation is the highest incarnation that has reported that it is draining.
	drainingIncarnation int64
	// leavingIncarnation is the incarnation that the list's state "leaving" applies to, 0 while that is unknown.
	leavingIncarnation int64
	usableSince        timestamp
	silentSince        timestamp
	probeAt            timestamp
	slowReportedAt     timestamp
	leavingSince       timestamp
	domain             uint16
	failures           uint8
	list               listState
	down               bool
	// leavingOverridden is set when the server's own reports override the list's state "leaving".
	leavingOverridden bool
	probing           bool
}

func (r *record) draining() bool {
	return r.drainingIncarnation != 0 && r.drainingIncarnation >= r.incarnation
}

func (r *record) leaving() bool {
	if r.list != listLeaving || r.leavingOverridden {
		return false
	}
	return r.leavingIncarnation == 0 || r.incarnation <= r.leavingIncarnation
}

func (r *record) suspect() bool { return r.failures > 0 || r.silentSince != 0 }

// probeBackoff returns the delay before the next probe of a server. It grows exponentially from minProbeBackoff to
// maxProbeBackoff. A hash of the server, the seed and the attempt shortens it by up to a quarter, so that entries do
// not probe at the same time.
func probeBackoff(seed uint64, server string, attempt uint8) time.Duration {
	shift := min(int(attempt), 6)
	d := min(minProbeBackoff<<shift, maxProbeBackoff)
	h := xxhash.Sum64String(server) ^ (seed * 0x9e3779b97f4a7c15) ^ uint64(attempt)<<56
	return d - time.Duration((h>>32)%uint64(d/4))
}
