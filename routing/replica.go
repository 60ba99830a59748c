package routing

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// reportDecay is the time constant with which a load report loses weight against the mean of the pool.
	reportDecayTime = 2 * time.Second
	// RampUp is the time over which a new server reaches its full share.
	RampUpTime = 10 * time.Second
	// minRamp is the share that a new server starts with; without any it would never report its load.
	minRampShare = 0.05
	// maxReportLead is how much newer than the time of a query a report may be; a larger lead is taken for a wrapped age.
	maxReportLead = time.Minute
	// refusedLoad is the load that a refusal stands for, in units of the replica's limit.
	refusalLoad = 1.5
)

// Replica is one replica as this process sees it. Its methods may be called from any goroutine. It is kept from
// one picker to the next while its server stays configured at the same address.
type Replica struct {
	Name    string
	Address string
	Domain  string
	// Version of the model that the replica serves.
	Version string

	slots    float64
	hash     uint64
	inFlight atomic.Int64
	// report packs a float32 of the load that other processes cause and 32 bits of its time in ms; 0 for none.
	report atomic.Uint64
	// limit is the float64 of the reported concurrency limit, 0 while it is not known.
	limit atomic.Uint64
	// since is the unix time in ms from which the server ramps up, 0 for a server that does not.
	rampStart            atomic.Int64
	supportsContinuation atomic.Bool
	stats                *targetStats
}

// Unlisted returns a replica for a server that the configuration does not have any more. No picker chooses it.
func NewUnlistedReplica(name, address, domain string) *Replica {
	return &Replica{Name: name, Address: address, Domain: domain, slots: 1, stats: &targetStats{}}
}

// InFlight returns the number of requests of this process at the replica.
func (r *Replica) InFlight() int64 { return r.inFlight.Load() }

// SupportsContinuation says whether the engine has declared that it continues an answer begun elsewhere.
func (r *Replica) SupportsContinuation() bool { return r.supportsContinuation.Load() }

// Begin counts a request as sent.
func (r *Replica) Begin() {
	r.inFlight.Add(1)
	r.stats.inFlight.Add(1)
}

// End counts a request as ended; each Begin is followed by one End.
func (r *Replica) End() {
	r.inFlight.Add(-1)
	r.stats.inFlight.Add(-1)
}

// Report is the part of a load report that the choice of replica uses.
type Report struct {
	// Running and Waiting count requests of all processes.
	Running, Waiting int
	// Limit is the learned concurrency limit, 0 for the configured number of slots.
	Limit                int
	SupportsContinuation bool
}

// ObserveReport takes a load report that came with the answer to a request which is still counted as in flight. The
// report was made before that request was admitted.
func (r *Replica) ObserveReport(now time.Time, rep Report) {
	if rep.Limit > 0 {
		r.limit.Store(math.Float64bits(float64(rep.Limit)))
	}
	r.supportsContinuation.Store(rep.SupportsContinuation)
	own := max(r.inFlight.Load()-1, 0)
	external := max(float64(rep.Running+rep.Waiting)-float64(own), 0) / r.capacity()
	r.storeReport(now, external)
	r.stats.observe(now, external)
}

// ObserveRefusal takes a refusal for lack of capacity. It counts as a report of a full replica; it does not exclude
// the replica, because the next request may have a higher priority or more time.
func (r *Replica) ObserveRefusal(now time.Time) {
	own := float64(r.inFlight.Load()) / r.capacity()
	r.storeReport(now, max(refusalLoad-own, r.externalLoad(now, 0)))
}

func (r *Replica) storeReport(now time.Time, external float64) {
	packed := uint64(math.Float32bits(float32(external)))<<32 | uint64(uint32(now.UnixMilli()))
	r.report.Store(max(packed, 1))
}

func (r *Replica) capacity() float64 {
	if bits := r.limit.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return r.slots
}

// others returns the load that other processes cause: the last report, which fades into the pool's mean.
func (r *Replica) externalLoad(now time.Time, mean float64) float64 {
	packed := r.report.Load()
	if packed == 0 {
		return mean
	}
	last := float64(math.Float32frombits(uint32(packed >> 32)))
	w := decayWeight(reportAge(uint32(now.UnixMilli()), uint32(packed)))
	return w*last + (1-w)*mean
}

// reportAge returns the age of a report from two times in ms, which wrap after 49.7 days. A report may be slightly
// newer than now, because a query takes its time before another request brings the report; its age is then 0.
func reportAge(now, reported uint32) time.Duration {
	if lead := time.Duration(reported-now) * time.Millisecond; lead <= maxReportLead {
		return 0
	}
	return time.Duration(now-reported) * time.Millisecond
}

// load estimates the replica's load in units of its limit: what others cause and what this process has there.
func (r *Replica) load(now time.Time, mean float64) float64 {
	return r.externalLoad(now, mean) + float64(r.inFlight.Load())/r.capacity()
}

// ramp returns the share of its full work that the replica may get.
func (r *Replica) rampShare(now time.Time) float64 {
	rampStart := r.rampStart.Load()
	if rampStart == 0 {
		return 1
	}
	age := time.Duration(now.UnixMilli()-rampStart) * time.Millisecond
	return min(max(float64(age)/float64(RampUpTime), minRampShare), 1)
}

func decayWeight(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(reportDecayTime))
}
