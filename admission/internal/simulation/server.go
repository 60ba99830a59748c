// Package simulation simulates an admission queue and a backend server in virtual time. Runs are deterministic: they
// depend only on the seed and the scenario.
package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"lavendermoor.example/admission"
)

// Class describes the requests of one kind.
type Class struct {
	Kind admission.Kind
	// Share is the fraction of all requests.
	Share float64
	// Service is the mean service time on an idle server. Service times are uniformly distributed over half to one and a
	// half times the mean.
	Service time.Duration
	// Deadline is the time from arrival to the deadline; 0 means none.
	Deadline time.Duration
	// Value is the value of a response that comes before the deadline.
	Value float64
	// MaxTokens is the max_tokens of the requests and Tokens the mean number of generated tokens. Both are 0 for kinds
	// that are not generations.
	MaxTokens, Tokens int
}

// Customer is a source of requests.
type Customer struct {
	Name   string
	Weight int
	// Share is the fraction of all requests.
	Share float64
}

// Phase is a period with a constant arrival rate.
type Phase struct {
	Length time.Duration
	// Load is the offered load as a multiple of the server's capacity.
	Load float64
	// Slowdown multiplies service times; 0 counts as 1.
	Slowdown float64
}

// Scenario configures one run.
type Scenario struct {
	Seed      uint64
	Config    admission.Config
	Classes   []Class
	Customers []Customer
	Phases    []Phase
	// Parallel is the number of requests that the server runs at full speed; more requests share that capacity equally.
	Parallel int
	// PriorityByKind sets the priority of requests by kind, as an operator without fair queueing would.
	PriorityByKind bool
	// Exponential selects exponentially distributed instead of uniformly distributed service times.
	Exponential bool
}

// MeanService returns the mean service time of the mix.
func (s *Scenario) MeanService() time.Duration {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Share * float64(c.Service)
	}
	return time.Duration(sum)
}

// CapacityRate returns the number of requests of the mix that the server can complete per second.
func (s *Scenario) CapacityRate() float64 {
	return float64(s.Parallel) / s.MeanService().Seconds()
}

var kindPriority = map[admission.Kind]int{
	admission.Command: 9, admission.Status: 8, admission.Short: 6, admission.Long: 2,
}

// request is the state of one request.
type request struct {
	item  admission.Item
	class *Class
	// work is the remaining service time in seconds at full speed.
	work    float64
	tokens  int
	arrived time.Duration
	started time.Duration
}

// server is a processor-sharing server: each of n running requests gets the speed min(1, parallel/n),
// divided by the slowdown.
type server struct {
	parallel int
	slowdown float64
	running  []*request
}

func (s *server) speed() float64 {
	if len(s.running) == 0 {
		return 1
	}
	return min(1, float64(s.parallel)/float64(len(s.running))) / s.slowdown
}

// nextCompletion returns the request that completes first and the time until then.
func (s *server) nextCompletion() (*request, time.Duration) {
	var first *request
	for _, r := range s.running {
		if first == nil || r.work < first.work {
			first = r
		}
	}
	if first == nil {
		return nil, math.MaxInt64
	}
	return first, time.Duration(math.Ceil(max(first.work, 0) / s.speed() * float64(time.Second)))
}

// nextDeadline returns the running request with the earliest deadline, or nil.
func (s *server) nextDeadline() *request {
	var first *request
	for _, r := range s.running {
		if r.item.Deadline > 0 && (first == nil || r.item.Deadline < first.item.Deadline) {
			first = r
		}
	}
	return first
}

func (s *server) advance(d time.Duration) {
	done := d.Seconds() * s.speed()
	for _, r := range s.running {
		r.work -= done
	}
}

func (s *server) remove(done *request) {
	for i, r := range s.running {
		if r == done {
			s.running[i] = s.running[len(s.running)-1]
			s.running = s.running[:len(s.running)-1]
			return
		}
	}
}

// workload generates random requests.
type workload struct {
	rng *rand.Rand
	sc  *Scenario
	n   int
}

// interval draws the time until the next arrival of a Poisson process.
func (w *workload) interval(load float64) time.Duration {
	if load <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(w.rng.ExpFloat64() / (load * w.sc.CapacityRate()) * float64(time.Second))
}

func (w *workload) request(now time.Duration) *request {
	u := w.rng.Float64()
	class := &w.sc.Classes[len(w.sc.Classes)-1]
	for i := range w.sc.Classes {
		if u -= w.sc.Classes[i].Share; u < 0 {
			class = &w.sc.Classes[i]
			break
		}
	}
	u = w.rng.Float64()
	cust := &w.sc.Customers[len(w.sc.Customers)-1]
	for i := range w.sc.Customers {
		if u -= w.sc.Customers[i].Share; u < 0 {
			cust = &w.sc.Customers[i]
			break
		}
	}
	factor := 0.5 + w.rng.Float64()
	if w.sc.Exponential {
		factor = w.rng.ExpFloat64()
	}
	w.n++
	r := &request{class: class, arrived: now, work: class.Service.Seconds() * factor}
	r.tokens = int(math.Round(float64(class.Tokens) * factor))
	r.item.Request = admission.Request{
		Customer: cust.Name, Weight: cust.Weight, Kind: class.Kind, Priority: 4, MaxTokens: class.MaxTokens,
	}
	if w.sc.PriorityByKind {
		r.item.Priority = kindPriority[class.Kind]
	}
	if class.Deadline > 0 {
		r.item.Deadline = now + class.Deadline
	}
	r.item.Owner = r
	return r
}
