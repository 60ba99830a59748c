package balance

import (
	"fmt"
	"slices"
	"time"
)

// Weights of a score, in units of one request on one slot.
const (
	failurePenalty = 6.0
	// remotePenalty prefers servers of the own failure domain among equals.
	remotePenalty = 0.02
	// tokensPerRequest scales the tokens in flight to requests.
	tokensPerRequest = 1000.0
)

// NoBackendError says that no server of a service may get the request.
type NoBackendError struct {
	Service string
	// Listed counts the servers listed, Tried those that the request has used up.
	Listed, Tried int
}

func (e *NoBackendError) Error() string {
	return fmt.Sprintf("none of %d servers of service %q takes the request: %d tried", e.Listed, e.Service, e.Tried)
}

// PickOptions is one choice to make.
type PickOptions struct {
	Service string
	// HasGroup says that the request has a place in the group named Group, which is empty for servers whose group is not
	// known. A request without a place may go to any group that serves.
	HasGroup bool
	Group    string
	// Tokens is the size of a generation, 0 for a plain call.
	Tokens int
	// Tried lists servers that must not be chosen.
	Tried []*Backend
	// Random returns a number in [0, 1) that decides between equals.
	Random func() float64
	Now    time.Time
}

// Pick returns the server with the lowest score. Servers that are left out after failures are taken only when there is
// no other. It fails with a *NoBackendError.
func (f *Fleet) Pick(q PickOptions) (*Backend, error) {
	for {
		b, err := f.pick(q)
		// Of the requests that choose a server at the end of its hold, one gets it.
		if err != nil || b.tryProbe(q.Now) {
			return b, err
		}
	}
}

func (f *Fleet) pick(q PickOptions) (*Backend, error) {
	listed := f.Backends(q.Service)
	var best, fallback choice
	for _, b := range listed {
		if slices.Contains(q.Tried, b) {
			continue
		}
		s := b.status(q.Now, f.domain)
		if !s.usable || s.refusing || !q.allows(s) {
			continue
		}
		score := s.score() + q.Random()*tieBreak
		if s.ejected {
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
	return nil, &NoBackendError{Service: q.Service, Listed: len(listed), Tried: len(q.Tried)}
}

// allows says whether the request may go to the group of a server.
func (q PickOptions) allows(s status) bool {
	if q.HasGroup {
		return s.group == q.Group
	}
	return s.groupServing
}

// tieBreak spreads the choices of several processes between servers that are nearly equal.
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

// score estimates the load of a server with one request more: what this process has there in units of the server's slots,
// longer by its pace, and what recent failures cost. All ranks of a group wait for the one that has most to do, so that
// a slow rank gets a share of the requests that it can carry at the pace of the others.
func (s status) score() float64 {
	slots := float64(max(s.slots, 1))
	load := (1 + float64(s.inFlight) + float64(s.tokens)/tokensPerRequest) * max(s.pace, 1) / slots
	load += failurePenalty * s.failures * s.failures
	if !s.local {
		load += remotePenalty
	}
	return load
}
