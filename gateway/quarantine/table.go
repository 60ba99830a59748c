package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxSuspects bounds the suspected parts that a process remembers. It exceeds the number of parts in one prompt, which the
// bytes of a header limit. When there are more, the eighth that is least likely to matter is forgotten.
const maxSuspects = 8192

// suspect returns the suspect of a part and creates it if needed.
func (q *Quarantine) suspect(part Part, now time.Time) *suspect {
	if s := q.suspects[part]; s != nil {
		return s
	}
	if len(q.suspects) >= maxSuspects {
		q.removeExpired(now)
	}
	if len(q.suspects) >= maxSuspects {
		q.removeUnlikely()
	}
	_, answered := q.memoryOf(part).at(part)
	s := &suspect{record: Record{Part: part, Answered: answered}}
	q.suspects[part] = s
	q.count.Store(int64(len(q.suspects)))
	return s
}

func (q *Quarantine) removeExpired(now time.Time) {
	for part, s := range q.suspects {
		if now.Sub(s.changedAt) > RecordTTL {
			delete(q.suspects, part)
		}
	}
	q.count.Store(int64(len(q.suspects)))
}

// removeUnlikely forgets an eighth of the suspects: first those that are not blocked, then those with the fewest crashes,
// then the oldest ones.
func (q *Quarantine) removeUnlikely() {
	all := slices.SortedFunc(maps.Values(q.suspects), func(a, b *suspect) int {
		return cmp.Or(
			compareBool(a.blocking(), b.blocking()), cmp.Compare(a.record.Crashes, b.record.Crashes),
			a.changedAt.Compare(b.changedAt),
		)
	})
	for _, s := range all[:len(all)/8] {
		delete(q.suspects, s.record.Part)
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// RemoveExpired forgets the suspects without a crash or a probe for RecordTTL.
func (q *Quarantine) RemoveExpired(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeExpired(now)
}
