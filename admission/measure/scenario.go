package main

import (
	"time"

	"lavendermoor.example/admission"
	"lavendermoor.example/admission/internal/simulation"
)

const (
	// parallel is the number of requests that the simulated server runs at full speed.
	parallel = 16
	// baseService is the mean service time of all requests except long generations.
	baseService = 50 * time.Millisecond
	// longFactor is the ratio of the mean service time of long generations to baseService.
	longFactor = 50
	// tokenTime is the time per generated token on an idle server.
	tokenTime = 2500 * time.Microsecond
)

func generation(k admission.Kind, share float64, service, deadline time.Duration, value float64) simulation.Class {
	tokens := int(service / tokenTime)
	return simulation.Class{
		Kind: k, Share: share, Service: service, Deadline: deadline, Value: value, Tokens: tokens, MaxTokens: 2 * tokens,
	}
}

// mixed returns a mix in which 5% of the requests run 50 times longer than the rest.
func mixed() []simulation.Class {
	w := admission.DefaultConfig().KindWeight
	return []simulation.Class{
		{Kind: admission.Status, Share: 0.40, Service: baseService, Deadline: 500 * time.Millisecond, Value: w[admission.Status]},
		{Kind: admission.Command, Share: 0.15, Service: baseService, Deadline: time.Second, Value: w[admission.Command]},
		generation(admission.Short, 0.40, baseService, 2*time.Second, w[admission.Short]),
		generation(admission.Long, 0.05, longFactor*baseService, 20*time.Second, w[admission.Long]),
	}
}

// withoutLongWork returns a mix without long generations, so that all kinds cost the same.
func withoutLongWork() []simulation.Class {
	c := mixed()[:3]
	c[0].Share, c[1].Share, c[2].Share = 0.45, 0.2, 0.35
	return c
}

func withoutDeadlines(classes []simulation.Class) []simulation.Class {
	for i := range classes {
		classes[i].Deadline = 0
	}
	return classes
}

// tenCustomers returns two large and eight small customers, each with a weight in proportion to its traffic.
func tenCustomers() []simulation.Customer {
	out := []simulation.Customer{{Name: "large-1", Weight: 6, Share: 0.3}, {Name: "large-2", Weight: 6, Share: 0.3}}
	for _, n := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		out = append(out, simulation.Customer{Name: "small-" + n, Weight: 1, Share: 0.05})
	}
	return out
}

// variant is a configuration with its name in the tables.
type variant struct {
	name   string
	config admission.Config
}

func newVariant(name string, fn func(*admission.Config)) variant {
	c := admission.DefaultConfig()
	fn(&c)
	return variant{name, c}
}

// variants returns the default, the default with single mechanisms turned off, and the baselines.
func variants() []variant {
	fixed := admission.LimitConfig{Initial: parallel, Min: parallel, Max: parallel, Tolerance: 1.5, Fixed: true}
	fifo, prio := admission.BaselineConfig(admission.FIFO), admission.BaselineConfig(admission.Priority)
	fifo.Limit, prio.Limit = fixed, fixed
	fifoRefuse := fifo
	fifoRefuse.RefuseUnmeetable = true
	return []variant{
		{"fair", admission.DefaultConfig()},
		newVariant("fair, limit fixed at 16", func(c *admission.Config) { c.Limit = fixed }),
		newVariant("fair, no reserved slots", func(c *admission.Config) { c.ReservedShare = 0 }),
		newVariant("fair, no share over kinds", func(c *admission.Config) { c.ExcessPenalty = 0 }),
		newVariant("fair, no early refusal", func(c *admission.Config) { c.RefuseUnmeetable = false }),
		{"fifo, limit 16", fifo},
		{"fifo, limit 16, early refusal", fifoRefuse},
		{"priority, limit 16", prio},
	}
}
