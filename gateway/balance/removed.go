package balance

import "lavendermoor.example/gateway/catalog"

// maxRemoved bounds the incarnations in a removedTable. It is several times the number of servers of a large system, as a
// release replaces all of them.
const maxRemoved = 16_384

// removedTable holds the incarnations that were removed from the list, with the highest sequence number known of each.
// A list restored from an older copy may contain their entries again, however long ago they were removed. The
// incarnations removed first are forgotten first.
type removedTable struct {
	last map[catalog.Incarnation]removedIncarnation
	// order is a ring of the incarnations in the order of their removal. The next one takes the place with the index next.
	order []catalog.Incarnation
	next  int
}

type removedIncarnation struct {
	// seq is the highest sequence number known.
	seq int64
	// place is the index in the order.
	place int
}

func newRemovedTable() *removedTable {
	return &removedTable{last: map[catalog.Incarnation]removedIncarnation{}}
}

// add remembers an incarnation and the sequence number of its last entry. An incarnation without a start time is not
// remembered, because a later one cannot be told from it.
func (t *removedTable) add(key catalog.Incarnation, seq int64) {
	if key.StartedMs == 0 {
		return
	}
	if len(t.order) < maxRemoved {
		t.order = append(t.order, key)
	} else {
		t.forget(t.order[t.next])
		t.order[t.next] = key
	}
	t.last[key] = removedIncarnation{seq: seq, place: t.next}
	t.next = (t.next + 1) % maxRemoved
}

// forget removes the incarnation in the next place, unless it has been removed from the list again since.
func (t *removedTable) forget(key catalog.Incarnation) {
	if t.last[key].place == t.next {
		delete(t.last, key)
	}
}

// confirm removes an incarnation that has been shown to run.
func (t *removedTable) confirm(key catalog.Incarnation) { delete(t.last, key) }

// includes reports whether an entry belongs to a removed incarnation and does not show that it still runs. A running server
// increases the sequence number with each entry.
func (t *removedTable) includes(s catalog.Server) bool {
	removed, ok := t.last[s.Incarnation()]
	return ok && s.Seq <= removed.seq
}

// restore takes the first list after it was restored from an older copy. The copy may contain an entry that was written
// between the last one that is known and the removal, so only a later one shows that the server runs.
func (t *removedTable) restore(servers []catalog.Server) {
	for _, s := range servers {
		key := s.Incarnation()
		if removed, ok := t.last[key]; ok {
			removed.seq = max(removed.seq, s.Seq)
			t.last[key] = removed
		}
	}
}
