package routing

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// reportDecayTime is the time constant of the exponential decay with which a load report loses weight against the
	// mean of the pool.
	reportDecayTime = 2 * time.Second
	// RampUpTime is the time in which the traffic share of a new server increases to its full value.
	RampUpTime = 10 * time.Second
	// minRampShare is the initial traffic share of a new server. With 0 it would never report its load.
	minRampShare = 0.05
	// maxReportLead is the maximum time by which a report may be newer than a query. A larger lead means that its age
	// has wrapped around.
	maxReportLead = time.Minute
	// refusalLoad is the load assumed after a refusal, in units of the replica's concurrency limit.
	refusalLoad = 1.5
)

// Replica is the state that this process keeps for one replica. It is safe for concurrent use. Successive pickers share
// it as long as its server keeps its address, failure domain, version, and model or service.
type Replica struct {
	Name    string
	Address string
	Domain  string
	// Version of the model that the replica serves.
	Version string

	slots    float64
	hash     uint64
	inFlight atomic.Int64
	// report packs the external load as a float32 and the low 32 bits of the time of the report in ms; 0 if none.
	report atomic.Uint64
	// limit holds the bits of the reported concurrency limit as a float64, 0 while it is unknown.
	limit atomic.Uint64
	// rampStart is the Unix time in ms from which the server ramps up, 0 if it does not.
	rampStart            atomic.Int64
	supportsContinuation atomic.Bool
	stats                *targetStats
}

// NewUnconfiguredReplica returns a replica for a server that is no longer configured. No picker returns it.
func NewUnconfiguredReplica(name, address, domain string) *Replica {
	return &Replica{Name: name, Address: address, Domain: domain, slots: 1, stats: &targetStats{}}
}

// InFlight returns the number of requests that this process has in flight at the replica.
func (r *Replica) InFlight() int64 { return r.inFlight.Load() }

// SupportsContinuation reports whether the engine has declared that it can continue a response that another replica
// began.
func (r *Replica) SupportsContinuation() bool { return r.supportsContinuation.Load() }

// Begin counts a request as sent.
func (r *Replica) Begin() {
	r.inFlight.Add(1)
	r.stats.inFlight.Add(1)
}

// End counts a request as ended. Each Begin must be followed by one End.
func (r *Replica) End() {
	r.inFlight.Add(-1)
	r.stats.inFlight.Add(-1)
}

// Report is the part of a load report that routing uses.
type Report struct {
	// Running and Waiting count the requests of all processes.
	Running, Waiting int
	// Limit is the adaptive concurrency limit. If it is 0, the last reported limit stays, or the configured number of
	// slots before the first one.
	Limit                int
	SupportsContinuation bool
}

// ObserveReport records a load report received in the response to a request. That request must still be counted as in
// flight. The report does not include it, because it was taken before the request was admitted.
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

// ObserveRefusal records a refusal for lack of capacity as a report of a full replica. It does not exclude the replica,
// because the next request may have a higher priority or a later deadline.
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

// externalLoad returns the estimated load caused by other processes. It is the last report, which decays towards the
// given mean with its age.
func (r *Replica) externalLoad(now time.Time, mean float64) float64 {
	packed := r.report.Load()
	if packed == 0 {
		return mean
	}
	last := float64(math.Float32frombits(uint32(packed >> 32)))
	w := decayWeight(reportAge(uint32(now.UnixMilli()), uint32(packed)))
	return w*last + (1-w)*mean
}

// reportAge returns the age of a report from two times in ms, which wrap around after 49.7 days. A report may be
// slightly newer than now, because another request can deliver it after the query has read the clock. In that case the
// age is 0.
func reportAge(now, reported uint32) time.Duration {
	if lead := time.Duration(reported-now) * time.Millisecond; lead <= maxReportLead {
		return 0
	}
	return time.Duration(now-reported) * time.Millisecond
}

// load estimates the replica's load in units of its concurrency limit: the external load plus this process's requests.
func (r *Replica) load(now time.Time, mean float64) float64 {
	return r.externalLoad(now, mean) + float64(r.inFlight.Load())/r.capacity()
}

// rampShare returns the fraction of its full traffic share that the replica may receive.
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
