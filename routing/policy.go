package routing

import (
	"fmt"
	"math"
)

// Policy chooses among the usable replicas of a pool. The zero value is not valid; PolicyByName and AffinityPolicy
// return valid ones.
//
// It is a struct and not an interface, because a call through an interface would move the query of each decision to the
// heap.
type Policy struct {
	name     string
	affinity *Affinity
}

// Names of the policies.
const (
	// NameAffinity is the default policy.
	NameAffinity = "affinity"
	// NameAffinityUnbounded always follows affinity. It is a baseline.
	NameAffinityUnbounded = "affinity-unbounded"
	// NameRoundRobin, NameRandom and NameLeastInFlight are baselines that use only the state of this process.
	NameRoundRobin    = "round-robin"
	NameRandom        = "random"
	NameLeastInFlight = "least-in-flight"
)

// PolicyNames lists the names of all policies.
var PolicyNames = []string{NameAffinity, NameAffinityUnbounded, NameRoundRobin, NameRandom, NameLeastInFlight}

// UnknownPolicyError reports that no policy has the name.
type UnknownPolicyError struct{ Name string }

func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("routing policy %q does not exist", e.Name)
}

// PolicyByName returns the policy with a name, or an *UnknownPolicyError.
func PolicyByName(name string) (Policy, error) {
	for _, n := range PolicyNames {
		if n == name {
			return Policy{name: name, affinity: newAffinity(boundByName(name))}, nil
		}
	}
	return Policy{}, &UnknownPolicyError{Name: name}
}

func boundByName(name string) AffinityBound {
	if name == NameAffinityUnbounded {
		return AffinityBound{MaxPrefixShare: math.Inf(1)}
	}
	return DefaultAffinityBound
}

// AffinityPolicy returns the policy NameAffinity with the given bound.
func AffinityPolicy(b AffinityBound) Policy {
	return Policy{name: NameAffinity, affinity: newAffinity(b)}
}

// WithPrefixHash returns a copy of the policy that hashes prompts with the given function instead of
// PrefixCounter.AffinityHash. docs/measurements/routing.md compares several functions.
func (policy Policy) WithPrefixHash(prefixHash func(prompt []byte) uint64) Policy {
	affinity := *policy.affinity
	affinity.prefixHash = prefixHash
	policy.affinity = &affinity
	return policy
}

// choose returns a usable replica, or nil if the request has tried all of them.
func (policy Policy) choose(p *pool, q *Query) *Replica {
	switch policy.name {
	case NameAffinity:
		return policy.affinity.choose(p, q)
	case NameAffinityUnbounded:
		return policy.affinity.chooseUnbounded(p, q)
	case NameRoundRobin:
		return p.roundRobin(q)
	case NameLeastInFlight:
		return p.leastInFlight(q)
	}
	return p.randomUntried(q)
}
