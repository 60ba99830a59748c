package simulation

import (
	"time"

	"lavendermoor.example/gateway/workload"
)

// stream is one request with what happened to it.
type stream struct {
	request workload.Request
	route   route
	gateway int
	rank    int
	// prompt and events are the actual sizes, unread and sent what has not been read and what was sent so far.
	prompt, events, unread, sent int
	arrived, first, lastAt       time.Duration
	longestGap                   time.Duration
	estimate                     workload.Estimate
	progress                     workload.Progress
	refused                      bool
}

// onTime reports whether the caller got what it needs.
func (s *stream) onTime() bool {
	return !s.refused && s.first-s.arrived <= s.route.objective && s.longestGap <= targetGap &&
		s.lastAt-s.arrived <= deadline
}

const (
	targetGap = 120 * time.Millisecond
	deadline  = 8 * time.Second
)

// rank is one engine. A stream that finds no slot waits at the rank in order of arrival.
type rank struct {
	running, waiting []*stream
	pace             float64
	// reading is the number of prompt tokens that the rank reads in the pass.
	reading map[*stream]int
}

// begin starts a pass and returns the rank's own work in it.
func (r *rank) begin() time.Duration {
	for len(r.running) < Engine.Slots && len(r.waiting) > 0 {
		r.running, r.waiting = append(r.running, r.waiting[0]), r.waiting[1:]
	}
	budget, decoding := Engine.PrefillPerStep*Engine.StepsPerPass, 0
	clear(r.reading)
	for _, s := range r.running {
		if s.unread == 0 {
			decoding++
			continue
		}
		if n := min(budget, s.unread); n > 0 {
			r.reading[s] = n
			budget -= n
		}
	}
	read := Engine.PrefillPerStep*Engine.StepsPerPass - budget
	work := time.Duration(float64(read) / Engine.PrefillPerSecond * float64(time.Second))
	work += time.Duration(decoding*Engine.StepsPerPass) * Engine.StepTimePerRequest
	return time.Duration(float64(work) * r.pace)
}

// end ends a pass: a stream that was read before it sends an event. It returns the streams that sent one.
func (r *rank) end(now time.Duration) (sent []*stream) {
	kept := r.running[:0]
	for _, s := range r.running {
		if s.unread > 0 {
			s.unread -= r.reading[s]
			kept = append(kept, s)
			continue
		}
		if s.sent == 0 {
			s.first = now
		} else {
			s.longestGap = max(s.longestGap, now-s.lastAt)
		}
		s.sent++
		s.lastAt = now
		sent = append(sent, s)
		if s.sent < s.events {
			kept = append(kept, s)
		}
	}
	clear(r.running[len(kept):])
	r.running = kept
	return sent
}

func (r *rank) streams() int { return len(r.running) + len(r.waiting) }

// passTime returns the time of a pass in which the ranks have the given work of their own. The experts' part of the
// work is shared by all ranks and takes as long as at the rank with the most of it.
func passTime(work []time.Duration, o Options) time.Duration {
	var longest, sum time.Duration
	for _, w := range work {
		longest = max(longest, w)
		sum += w
	}
	mean := float64(sum) / float64(len(work))
	own := (1 - o.ExpertPart) * float64(longest)
	experts := o.ExpertPart * expertImbalance * mean
	return Engine.EmptyPass() + time.Duration(own+experts)
}

// expertImbalance is the work of the rank with the most expert work relative to the mean, with a suitable map.
const expertImbalance = 1.15
