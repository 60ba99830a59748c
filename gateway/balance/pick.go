package balance

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Terms of the score, in units of one request on one slot.
const (
	// failurePenalty is the term for a server whose recent requests have all failed. It scales with the square of the
	// failure rate.
	failurePenalty = 6.0
	// remotePenalty breaks ties in favor of servers in the local failure domain.
	remotePenalty = 0.02
	// tokensPerRequest converts tokens in flight to an equivalent number of requests.
	tokensPerRequest = 1000.0
)

// NoBackendError reports that no server of a service may get the request.
type NoBackendError struct {
	Service string
	// Listed counts the listed servers, Tried those that the request excludes.
	Listed, Tried int
}

func (e *NoBackendError) Error() string {
	return fmt.Sprintf("none of %d servers of service %q takes the request: %d tried", e.Listed, e.Service, e.Tried)
}

// PickOptions describes the request for which a server is chosen.
type PickOptions struct {
	Service string
	// HasGroup is set when the request has a permit for the group named Group, which is empty for servers whose group
	// is unknown. A request without a permit may go to any group that serves.
	HasGroup bool
	Group    string
	// Tokens is the size of a generation, 0 for other requests.
	Tokens int
	// Work is the expected work of a request to a service with engines, nil for other requests. It replaces Tokens.
	Work *PickWork
	// Tried lists the servers of earlier attempts, which must not be chosen again.
	Tried []*Backend
	// Regions are the regions of the servers to which the request may be sent, nil for all servers.
	Regions Regions
	// Random returns a number in [0, 1) that breaks ties.
	Random func() float64
	Now    time.Time
}

// Pick returns the server with the lowest score. Servers that are missing, ejected, silent or in a backoff are chosen
// only if there is no other. It fails with a *NoBackendError.
func (f *Fleet) Pick(opts PickOptions) (*Backend, error) {
	for {
		b, err := f.pick(opts)
		// After a suspension, only one of the requests for which the server is chosen may be sent, as a probe.
		if err != nil || b.tryProbe(opts.Now) {
			return b, err
		}
	}
}

func (f *Fleet) pick(opts PickOptions) (*Backend, error) {
	listed := f.Backends(opts.Service)
	var best, fallback choice
	orderStart := math.Float64frombits(f.orderStart.Load())
	for _, b := range listed {
		if slices.Contains(opts.Tried, b) || !b.IsIn(opts.Regions) {
			continue
		}
		s := b.status(opts.Now, f.domain)
		if !s.available || s.refusing || !opts.allows(s) {
			continue
		}
		var score float64
		if opts.Work != nil {
			score = s.workScore(&opts, orderStart)
		} else {
			score = s.score() + opts.Random()*tieBreak
		}
		if s.lastResort {
			fallback.consider(b, score)
			continue
		}
		best.consider(b, score)
	}
	switch {
	case best.backend != nil:
		return best.backend, nil
	case fallback.backend != nil:
		return fallback.backend, nil
	}
	return nil, &NoBackendError{Service: opts.Service, Listed: len(listed), Tried: len(opts.Tried)}
}

// allows reports whether the request may be sent to the group of a server.
func (opts PickOptions) allows(s status) bool {
	if opts.HasGroup {
		return s.group == opts.Group
	}
	return s.groupServing
}

// tieBreak is the random part of a score. It spreads the choices of several processes among servers with nearly equal
// scores.
const tieBreak = 0.01

type choice struct {
	backend *Backend
	score   float64
}

func (c *choice) consider(b *Backend, score float64) {
	if c.backend == nil || score < c.score {
		c.backend, c.score = b, score
	}
}

// score estimates the load of a server with one more request: the work of this process there relative to the server's
// slots, scaled by its pace, plus a penalty for recent failures. All ranks of a group wait for the one with the most
// work, so a slow rank gets only as many requests as it can serve at the speed of the others.
func (s status) score() float64 {
	slots := float64(max(s.slots, 1))
	load := (1 + float64(s.inFlight) + float64(s.tokens)/tokensPerRequest) * max(s.pace, 1) / slots
	return load + s.penalties()
}

// penalties returns the terms of the score that do not depend on load.
func (s status) penalties() float64 {
	penalty := failurePenalty * s.failures * s.failures
	if !s.local {
		penalty += remotePenalty
	}
	return penalty
}
