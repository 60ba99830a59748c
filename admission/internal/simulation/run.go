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
	// Arrived and Ended are times since the start of the run. Ended is the time of the response, refusal or abort.
	Arrived, Ended time.Duration
	// InTime is true if the complete response came before the deadline.
	InTime bool
	// Completed is true if the request completed, and Aborted if it was aborted at its deadline.
	Completed, Aborted bool
	Reason             admission.Reason
	// RetryAfter is set for refusals.
	RetryAfter time.Duration
}

// Latency returns the time from arrival to response, refusal or abort.
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
	s := &simulator{sc: sc, q: q, load: workload{rng: rand.New(rand.NewPCG(sc.Seed, 1)), sc: sc}}
	s.srv = server{parallel: sc.Parallel, slowdown: 1}
	for _, p := range sc.Phases {
		s.runPhase(p)
	}
	s.runPhase(Phase{Length: time.Hour})
	return &s.result, nil
}

func (s *simulator) runPhase(p Phase) {
	s.srv.slowdown = max(p.Slowdown, 1)
	end := s.now + p.Length
	arrival := s.now + s.load.interval(p.Load)
	for s.now < end {
		completing, remaining := s.srv.nextCompletion()
		if p.Load == 0 && s.q.Idle() {
			return
		}
		at := min(arrival, end)
		if completing != nil && s.now+remaining < at {
			at = s.now + remaining
		}
		expiry, ok := s.q.NextDeadline()
		if ok && expiry < at {
			at = max(expiry, s.now)
		}
		expiring := s.srv.nextDeadline()
		if expiring != nil && expiring.item.Deadline < at {
			at = max(expiring.item.Deadline, s.now)
		}
		s.advanceTo(at)
		if completing != nil && completing.work <= 1e-9 {
			s.finish(completing)
		} else if expiring != nil && expiring.item.Deadline <= s.now {
			s.abort(expiring)
		}
		if s.now == arrival && s.now < end {
			s.handleArrival()
			arrival = s.now + s.load.interval(p.Load)
		}
		s.applyOutcomes()
	}
}

// advanceTo advances the virtual time and records the limit at the end of every second that has passed.
func (s *simulator) advanceTo(to time.Duration) {
	for sec := s.now/time.Second + 1; sec*time.Second <= to; sec++ {
		s.result.Limits = append(s.result.Limits, s.q.Load(s.now).Limit)
	}
	s.srv.advance(to - s.now)
	s.now = to
	s.result.End = to
}

func (s *simulator) finish(done *request) {
	s.srv.remove(done)
	s.q.Done(s.now, &done.item, done.tokens, s.now-done.started)
	s.record(done, Sample{InTime: true, Completed: true})
}

// abort aborts a running request at its deadline, as the sidecar does.
func (s *simulator) abort(late *request) {
	s.srv.remove(late)
	s.q.Release(s.now, &late.item)
	s.record(late, Sample{Aborted: true})
}

func (s *simulator) handleArrival() {
	req := s.load.request(s.now)
	switch d := s.q.Offer(s.now, &req.item); d.Verdict {
	case admission.Run:
		s.start(req)
	case admission.Refuse:
		s.record(req, Sample{Reason: d.Reason, RetryAfter: d.RetryAfter})
	}
}

func (s *simulator) applyOutcomes() {
	for _, o := range s.q.Advance(s.now) {
		req := o.Item.Owner.(*request)
		if o.Verdict == admission.Run {
			s.start(req)
			continue
		}
		s.record(req, Sample{Reason: o.Reason, RetryAfter: o.RetryAfter})
	}
}

func (s *simulator) start(req *request) {
	req.started = s.now
	s.srv.running = append(s.srv.running, req)
}

func (s *simulator) record(req *request, sample Sample) {
	sample.Class, sample.Customer, sample.Arrived, sample.Ended = req.class, req.item.Customer, req.arrived, s.now
	s.result.Samples = append(s.result.Samples, sample)
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

// Value returns the total value of the responses that came before their deadlines.
func Value(samples []Sample) float64 {
	sum := 0.0
	for i := range samples {
		if samples[i].InTime {
			sum += samples[i].Class.Value
		}
	}
	return sum
}
