package simulation

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"lavendermoor.example/admission"
)

// Sample is the result of one request.
type Sample struct {
	Class    *Class
	Customer string
	// Arrived and Ended are times since the start of the run. Ended is the time of the response or refusal.
	Arrived, Ended time.Duration
	// InTime is true if the complete response came before the deadline.
	InTime bool
	// Ran is true if the request completed, and Aborted if it was aborted at its deadline.
	Ran, Aborted bool
	Reason       admission.Reason
	// RetryAfter is set for refusals.
	RetryAfter time.Duration
}

// Latency returns the time from arrival to response or refusal.
func (s *Sample) Latency() time.Duration { return s.Ended - s.Arrived }

// Result is the result of one run.
type Result struct {
	Samples []Sample
	// Limits holds the concurrency limit at the end of every second.
	Limits []int
	End    time.Duration
}

type simulator struct {
	sc     *Scenario
	q      *admission.Queue
	srv    server
	load   workload
	now    time.Duration
	result Result
}

// Run simulates a scenario until its last phase has ended and no request waits or runs. It fails with an
// *admission.ConfigError.
func Run(sc *Scenario) (*Result, error) {
	q, err := admission.New(sc.Config)
	if err != nil {
		return nil, err
	}
	r := &simulator{sc: sc, q: q, load: workload{rng: rand.New(rand.NewPCG(sc.Seed, 1)), sc: sc}}
	r.srv = server{parallel: sc.Parallel, slowdown: 1}
	for _, p := range sc.Phases {
		r.runPhase(p)
	}
	r.runPhase(Phase{Length: time.Hour})
	return &r.result, nil
}

func (r *simulator) runPhase(p Phase) {
	r.srv.slowdown = max(p.Slowdown, 1)
	end := r.now + p.Length
	arrival := r.now + r.load.interval(p.Load)
	for r.now < end {
		completing, remaining := r.srv.nextCompletion()
		if p.Load == 0 && r.q.Idle() {
			return
		}
		at := min(arrival, end)
		if completing != nil && r.now+remaining < at {
			at = r.now + remaining
		}
		expiry, ok := r.q.NextDeadline()
		if ok && expiry < at {
			at = max(expiry, r.now)
		}
		expiring := r.srv.nextDeadline()
		if expiring != nil && expiring.item.Deadline < at {
			at = max(expiring.item.Deadline, r.now)
		}
		r.advanceTo(at)
		if completing != nil && completing.work <= 1e-9 {
			r.finish(completing)
		} else if expiring != nil && expiring.item.Deadline <= r.now {
			r.abort(expiring)
		}
		if r.now == arrival && r.now < end {
			r.handleArrival()
			arrival = r.now + r.load.interval(p.Load)
		}
		r.applyOutcomes()
	}
}

// advanceTo advances the virtual time.
func (r *simulator) advanceTo(to time.Duration) {
	for sec := r.now/time.Second + 1; sec*time.Second <= to; sec++ {
		r.result.Limits = append(r.result.Limits, r.q.Load(r.now).Limit)
	}
	r.srv.advance(to - r.now)
	r.now = to
	r.result.End = to
}

func (r *simulator) finish(done *request) {
	r.srv.remove(done)
	r.q.Done(r.now, &done.item, done.tokens, r.now-done.started)
	r.record(done, Sample{InTime: true, Ran: true})
}

// abort aborts a running request at its deadline, as the sidecar does.
func (r *simulator) abort(late *request) {
	r.srv.remove(late)
	r.q.Release(r.now, &late.item)
	r.record(late, Sample{Aborted: true})
}

func (r *simulator) handleArrival() {
	req := r.load.request(r.now)
	switch d := r.q.Offer(r.now, &req.item); d.Verdict {
	case admission.Run:
		r.start(req)
	case admission.Refuse:
		r.record(req, Sample{Reason: d.Reason, RetryAfter: d.RetryAfter})
	}
}

func (r *simulator) applyOutcomes() {
	for _, o := range r.q.Advance(r.now) {
		req := o.Item.Owner.(*request)
		if o.Verdict == admission.Run {
			r.start(req)
			continue
		}
		r.record(req, Sample{Reason: o.Reason, RetryAfter: o.RetryAfter})
	}
}

func (r *simulator) start(req *request) {
	req.started = r.now
	r.srv.running = append(r.srv.running, req)
}

func (r *simulator) record(req *request, s Sample) {
	s.Class, s.Customer, s.Arrived, s.Ended = req.class, req.item.Customer, req.arrived, r.now
	r.result.Samples = append(r.result.Samples, s)
}

// Select returns the samples for which keep returns true.
func (r *Result) Select(keep func(*Sample) bool) []Sample {
	var out []Sample
	for i := range r.Samples {
		if keep(&r.Samples[i]) {
			out = append(out, r.Samples[i])
		}
	}
	return out
}

// Quantile returns the q-quantile of the latencies by the nearest-rank method, or 0 without samples.
func Quantile(samples []Sample, q float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	all := make([]time.Duration, len(samples))
	for i := range samples {
		all[i] = samples[i].Latency()
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all[min(int(math.Ceil(q*float64(len(all)))), len(all))-1]
}

// Value returns the total value of the responses in time.
func Value(samples []Sample) float64 {
	sum := 0.0
	for i := range samples {
		if samples[i].InTime {
			sum += samples[i].Class.Value
		}
	}
	return sum
}
