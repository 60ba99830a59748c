package routing

import (
	"fmt"
	"math"
)

// Policy chooses among the live replicas of a pool. Its zero value is not valid; PolicyByName and
// AffinityPolicy return one.
//
// It is a closed set and not an interface, so that the query of a decision stays on the stack.
type Policy struct {
	name     string
	affinity *Affinity
}

// Names of the policies.
const (
	// NameAffinity is the policy of the design page.
	NameAffinity = "affinity"
	// NameAffinityUnbounded always follows affinity; a baseline.
	NameAffinityUnbounded = "affinity-unbounded"
	// NameRoundRobin, NameRandom and NameLeastInFlight are baselines that know only this process.
	NameRoundRobin    = "round-robin"
	NameRandom        = "random"
	NameLeastInFlight = "least-in-flight"
)

// Names lists the policies.
var PolicyNames = []string{NameAffinity, NameAffinityUnbounded, NameRoundRobin, NameRandom, NameLeastInFlight}

// UnknownPolicyError says that no policy has the name.
type UnknownPolicyError struct{ Name string }

func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("routing policy %q does not exist", e.Name)
}

// PolicyByName returns a policy, or an *UnknownPolicyError.
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

// AffinityPolicy returns NameAffinity with another bound.
func AffinityPolicy(b AffinityBound) Policy {
	return Policy{name: NameAffinity, affinity: newAffinity(b)}
}

// WithPrefix returns the policy with another function from a prompt to the hash of the prefix that affinity follows;
// docs/measurements/routing.md compares some.
func (policy Policy) WithPrefixHash(prefixHash func(prompt []byte) uint64) Policy {
	affinity := *policy.affinity
	affinity.prefixHash = prefixHash
	policy.affinity = &affinity
	return policy
}

// choose returns nil only when no live replica is left that the request has not tried.
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
