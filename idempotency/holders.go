// Package idempotency implements the protocol that runs non-idempotent calls at most once. A call with a caller's key
// needs grants from majorities of the servers that hold the key, a call with a token runs only at the server that
// issued the token, and the outcomes of all other calls are kept by request ID. The servers that hold a key are its
// holders, and the server that makes an attempt to run a call is the runner of the attempt. The package does no I/O:
// its callers pass in the time and exchange the messages. Section 5 of docs/design.md describes the protocol.
package idempotency

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
)

const (
	// Shards is the number of shards into which the keys of a service are divided.
	Shards = 64
	// MaxHolders is the number of holders of a shard if there are enough servers. With three of them, one may fail.
	MaxHolders = 3
)

// View is the list of servers of a service at one epoch.
type View struct {
	Service string
	// Epoch increases with each change of Servers.
	Epoch   int64
	Servers []cluster.Member
	// Previous is the list before the last change, until that change is complete.
	Previous []cluster.Member
}

// ViewOf returns the view of a service in a configuration.
func ViewOf(s *cluster.State, service string) View {
	servers, previous := s.Members(service)
	return View{Service: service, Epoch: s.Service(service).GetEpoch(), Servers: servers, Previous: previous}
}

// ShardOf returns the shard of a key, 0 to Shards-1.
func ShardOf(k peerapi.CallKey) int {
	d := xxhash.New()
	writeLengthPrefixed(d, k.Service)
	writeLengthPrefixed(d, k.Customer)
	writeLengthPrefixed(d, k.Key)
	return int(d.Sum64() % Shards)
}

// writeLengthPrefixed writes a string preceded by its length, so that two different lists of strings never yield the
// same input.
func writeLengthPrefixed(d *xxhash.Digest, s string) {
	_, _ = d.WriteString(strconv.Itoa(len(s)))
	_, _ = d.WriteString(":")
	_, _ = d.WriteString(s)
}

// RendezvousOrder returns the members in the order of rendezvous hashing for a text.
func RendezvousOrder(text string, members []cluster.Member) []cluster.Member {
	type scored struct {
		member cluster.Member
		score  uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		d := xxhash.New()
		writeLengthPrefixed(d, text)
		writeLengthPrefixed(d, m.Name)
		all[i] = scored{m, d.Sum64()}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].member.Name < all[j].member.Name
	})
	out := make([]cluster.Member, len(all))
	for i, s := range all {
		out[i] = s.member
	}
	return out
}

// Holders returns the holders of a shard in rendezvous order: the first server of each failure domain and, if there
// are fewer than MaxHolders domains, the next servers of any domain.
func Holders(service string, shard int, members []cluster.Member) []cluster.Member {
	ranked := RendezvousOrder(service+"/"+strconv.Itoa(shard), members)
	picked := make([]bool, len(ranked))
	domains := map[string]bool{}
	count := 0
	for i, m := range ranked {
		if count < MaxHolders && !domains[m.Domain] {
			domains[m.Domain] = true
			picked[i] = true
			count++
		}
	}
	for i := range ranked {
		if count < MaxHolders && !picked[i] {
			picked[i] = true
			count++
		}
	}
	out := make([]cluster.Member, 0, count)
	for i, m := range ranked {
		if picked[i] {
			out = append(out, m)
		}
	}
	return out
}

// HolderSets are the holders of one shard in rendezvous order. Old is empty unless a change of servers is in
// progress.
type HolderSets struct {
	New, Old []cluster.Member
}

// HolderSets returns the holders of a shard.
func (v *View) HolderSets(shard int) HolderSets {
	s := HolderSets{New: Holders(v.Service, shard, v.Servers)}
	if len(v.Previous) > 0 {
		s.Old = Holders(v.Service, shard, v.Previous)
	}
	return s
}

// All returns the new holders, followed by the old ones that are not among them.
func (s HolderSets) All() []cluster.Member {
	out := append([]cluster.Member{}, s.New...)
	for _, m := range s.Old {
		if !contains(s.New, m.Name) {
			out = append(out, m)
		}
	}
	return out
}

func contains(members []cluster.Member, name string) bool { return indexOf(members, name) >= 0 }

// indexOf returns the index of a server, or -1.
func indexOf(members []cluster.Member, name string) int {
	for i, m := range members {
		if m.Name == name {
			return i
		}
	}
	return -1
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }

// hasMajorities reports whether the servers for which ok is true are a majority of the new holders and, during a
// change of servers, also of the old ones.
func (s HolderSets) hasMajorities(ok func(server string) bool) bool {
	return hasMajority(s.New, ok) && (len(s.Old) == 0 || hasMajority(s.Old, ok))
}

// HasMajorities reports whether the servers for which ok is true are majorities of the holders of the claim's key.
func (c *Claim) HasMajorities(ok func(server string) bool) bool { return c.holders.hasMajorities(ok) }

func hasMajority(members []cluster.Member, ok func(string) bool) bool {
	n := 0
	for _, m := range members {
		if ok(m.Name) {
			n++
		}
	}
	return n >= majority(len(members))
}
