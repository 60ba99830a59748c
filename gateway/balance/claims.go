package balance

import (
	"cmp"
	"slices"
	"time"

	"lavendermoor.example/gateway/catalog"
)

// maxClaims bounds the other addresses that are remembered of a server.
const maxClaims = 4

// claim is another address that entries of an incarnation name.
type claim struct {
	// entry is what the entries with the address say of the server.
	entry catalog.Server
	// seq is the sequence number of the last of these, namings how many of them had different ones.
	seq     int64
	namings int
	// refutation holds those that spoke against a draining one.
	refutation refutation
	// refutedAt is when the server was last shown not to be there, zero if it was not.
	refutedAt time.Time
}

// add records another entry with the address.
func (c *claim) add(s catalog.Server) {
	if s.Seq != c.seq {
		c.seq, c.namings = s.Seq, c.namings+1
	}
	if !c.entry.Draining || c.refutation.add(s, c.entry.Seq) || s.Draining {
		c.entry = s
	}
}

// claims are the other addresses that entries of an incarnation name.
type claims []claim

// index returns the index of the claim with an address, -1 if there is none.
func (c claims) index(address string) int {
	return slices.IndexFunc(c, func(other claim) bool { return other.entry.Address == address })
}

// add records an entry with another address. The address that was named least often makes room for a new one.
func (c *claims) add(s catalog.Server) {
	if i := c.index(s.Address); i >= 0 {
		(*c)[i].add(s)
		return
	}
	if len(*c) >= maxClaims {
		least := slices.MinFunc(*c, func(a, b claim) int { return cmp.Compare(a.namings, b.namings) })
		*c = c.without(least.entry.Address)
	}
	*c = append(*c, claim{entry: s, seq: s.Seq, namings: 1})
}

// without returns the claims but the one with an address.
func (c claims) without(address string) claims {
	return slices.DeleteFunc(slices.Clone(c), func(other claim) bool { return other.entry.Address == address })
}

// refute records that the server was shown not to be at an address.
func (c claims) refute(address string, now time.Time) {
	if i := c.index(address); i >= 0 {
		c[i].refutedAt = now
	}
}

// inOrder returns the claims in the order in which they are to be tried: first those that were not refuted or long ago, then
// those that were named most often.
func (c claims) inOrder() claims {
	return slices.SortedStableFunc(slices.Values(c), func(a, b claim) int {
		return cmp.Or(a.refutedAt.Compare(b.refutedAt), cmp.Compare(b.namings, a.namings))
	})
}
