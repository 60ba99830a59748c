// Package loadgen sends open-loop load to entries and measures what callers observe. Arrivals follow a seeded schedule
// that does not wait for responses, so that a stalled server does not reduce its own load.
package loadgen

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Class is a class of requests in a mix.
type Class struct {
	Name string
	// Share is the share of all requests, relative to the other classes.
	Share float64
	// Value is the contribution to goodput of a request that is completed in time.
	Value float64
	// Deadline is the time from the scheduled arrival within which the whole response must arrive to count as in time.
	Deadline time.Duration
	// Tokens is the number of tokens of a generation; 0 means a call to a plain service.
	Tokens int
	// PromptBytes is the minimum length of a generation's prompt in bytes.
	PromptBytes int
	// Method, Path and Body describe a call to a plain service. In Path and Body, %d is replaced by the request's
	// number.
	Method, Path, Body string
	// Keyed means that each call has a new idempotency key.
	Keyed bool
}

// Mix is the traffic of a deployment.
type Mix struct {
	Name    string
	Model   string
	Service string
	Classes []Class
	// Customers are bearer keys with their relative shares of the requests.
	Customers []Customer
}

// Customer sends a share of the requests.
type Customer struct {
	Key   string
	Share float64
}

// longFactor is the length of the rare long generations relative to the others.
const longFactor = 50

// AssociationMix returns the mix of the deployment "association": drafts, a few very long summaries, bookings and
// lookups.
func AssociationMix(customers []Customer) Mix {
	return Mix{
		Name: "association", Model: "drafter", Service: "booking", Customers: customers,
		Classes: []Class{
			{Name: "draft", Share: 55, Value: 1, Deadline: 5 * time.Second, Tokens: 16, PromptBytes: 600},
			{Name: "summary", Share: 3, Value: 1, Deadline: 60 * time.Second, Tokens: 16 * longFactor, PromptBytes: 2000},
			{
				Name: "booking", Share: 12, Value: 3, Deadline: 2 * time.Second, Keyed: true,
				Method: http.MethodPost, Path: "/bookings", Body: `{"shed":"s%d","slot":"09:00","crew":"c"}`,
			},
			{Name: "lookup", Share: 30, Value: 1, Deadline: time.Second, Method: http.MethodGet, Path: "/bookings/b1"},
		},
	}
}

// CooperativeMix returns the mix of the deployment "cooperative": questions, a few very long summaries, commands and
// status reads.
func CooperativeMix(customers []Customer) Mix {
	return Mix{
		Name: "cooperative", Model: "assistant", Service: "lights", Customers: customers,
		Classes: []Class{
			{Name: "question", Share: 35, Value: 1, Deadline: 5 * time.Second, Tokens: 16, PromptBytes: 400},
			{Name: "summary", Share: 3, Value: 1, Deadline: 60 * time.Second, Tokens: 16 * longFactor, PromptBytes: 2000},
			{
				Name: "command", Share: 17, Value: 3, Deadline: 2 * time.Second, Keyed: true,
				Method: http.MethodPost, Path: "/lights/l%d/commands", Body: `{}`,
			},
			{Name: "status", Share: 45, Value: 2, Deadline: time.Second, Method: http.MethodGet, Path: "/lights/l%d"},
		},
	}
}

// Phase is a part of a run with a constant mean arrival rate.
type Phase struct {
	Name     string
	Duration time.Duration
	// Rate is in requests per second.
	Rate float64
}

// PeakPhases returns phases with the base rate before and after a peak, in which the rate is factor times as high.
// before, peak and after are their durations.
func PeakPhases(base, factor float64, before, peak, after time.Duration) []Phase {
	return []Phase{
		{Name: "before", Duration: before, Rate: base},
		{Name: "crest", Duration: peak, Rate: base * factor},
		{Name: "after", Duration: after, Rate: base},
	}
}

// Arrival is one request of a schedule.
type Arrival struct {
	// At is the arrival time since the start of the run.
	At time.Duration
	// Number is unique in a schedule and counts from 1.
	Number int
	Phase  string
	Class  *Class
	// CustomerKey is the customer's bearer key.
	CustomerKey string
}

// Schedule returns the arrivals of a Poisson process with the rates of the phases. Equal seeds give equal schedules.
func Schedule(m *Mix, phases []Phase, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, seed))
	var out []Arrival
	var start time.Duration
	for _, p := range phases {
		for at := time.Duration(0); ; {
			at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
			if at >= p.Duration {
				break
			}
			out = append(out, Arrival{
				At: start + at, Number: len(out) + 1, Phase: p.Name,
				Class: pickClass(m, rng), CustomerKey: pickCustomerKey(m, rng),
			})
		}
		start += p.Duration
	}
	return out
}

func pickClass(m *Mix, rng *rand.Rand) *Class {
	var total float64
	for i := range m.Classes {
		total += m.Classes[i].Share
	}
	x := rng.Float64() * total
	for i := range m.Classes {
		if x -= m.Classes[i].Share; x < 0 {
			return &m.Classes[i]
		}
	}
	return &m.Classes[len(m.Classes)-1]
}

func pickCustomerKey(m *Mix, rng *rand.Rand) string {
	var total float64
	for _, c := range m.Customers {
		total += c.Share
	}
	x := rng.Float64() * total
	for _, c := range m.Customers {
		if x -= c.Share; x < 0 {
			return c.Key
		}
	}
	return m.Customers[len(m.Customers)-1].Key
}

// promptPrefixes is the number of distinct prompt prefixes, from which prefix caches can benefit.
const promptPrefixes = 32

// prompt returns the prompt of a request: one of the shared prefixes and a unique suffix.
func prompt(a *Arrival) string {
	prefix := fmt.Sprintf("context %d. ", a.Number%promptPrefixes)
	text := strings.Repeat(prefix, a.Class.PromptBytes/len(prefix)+1)
	return fmt.Sprintf("%s request %d", text[:a.Class.PromptBytes], a.Number)
}
