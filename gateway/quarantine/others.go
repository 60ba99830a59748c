package quarantine

import (
	"time"

	"lavendermoor.example/clients/kv"
)

// ApplyPeer takes over a first crash from another gateway. It reports whether the part was in a prompt answered by this
// process before, and whether it is blocked from now on.
func (q *Quarantine) ApplyPeer(first Record, now time.Time) (answered, blocked bool) {
	q.mu.Lock()
	s := q.suspect(first.Part, now)
	wasBlocking := s.blocking()
	if s.record.LastServer == first.LastServer || s.sameCrash(first.LastServer, q.justStarted(first.Part.Service), now) {
		s.strengthen(first)
	} else {
		s.addCrash(first, now)
	}
	answered, blocked = s.record.Answered, s.blocking() && !wasBlocking
	var withdraw []func()
	if blocked {
		withdraw = q.withdrawals([]Part{first.Part})
	}
	q.mu.Unlock()
	callAll(withdraw)
	return answered, blocked
}

// markAnswered records that another gateway had the part in an answered prompt before the first crash.
func (q *Quarantine) markAnswered(part Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.suspects[part]; s != nil && !s.record.Answered {
		s.record.Answered = true
		s.blockedUntil = s.lastCrashAt.Add(s.blockTime())
	}
}

// isCleared reports whether a suspect was cleared by a later answer.
func (q *Quarantine) isCleared(part Part) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[part]
	return s != nil && s.cleared
}

// hasUnknownCrash reports whether a shared record has a crash that this process does not know.
func (q *Quarantine) hasUnknownCrash(r Record) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[r.Part]
	return s != nil && (r.Crashes > s.record.Crashes || r.LastServer != s.record.LastServer)
}

// Applied is the effect of shared records.
type Applied struct {
	// Blocked are the parts that are blocked from now on.
	Blocked []Part
	// Answered are the parts that were in prompts answered by this process, which the records do not say.
	Answered []Part
}

// ApplyShared takes over the shared records of all gateways. A suspect without a record was cleared by another gateway;
// if complete is false, it may be missing for another reason and is kept.
func (q *Quarantine) ApplyShared(records []Shared, complete bool, now time.Time) (out Applied) {
	q.mu.Lock()
	listed := make(map[Part]bool, len(records))
	for _, r := range records {
		listed[r.Part] = true
		s := q.suspect(r.Part, now)
		if !s.at.Before(r.At) {
			continue
		}
		wasBlocking := s.blocking()
		s.apply(r, now)
		if s.record.Answered && !r.Answered {
			out.Answered = append(out.Answered, r.Part)
		}
		if s.blocking() && !wasBlocking {
			out.Blocked = append(out.Blocked, r.Part)
		}
	}
	for part, s := range q.suspects {
		if complete && !listed[part] && !s.at.IsZero() {
			delete(q.suspects, part)
		}
	}
	q.count.Store(int64(len(q.suspects)))
	withdraw := q.withdrawals(out.Blocked)
	q.mu.Unlock()
	callAll(withdraw)
	return out
}

// apply takes over a later shared record.
func (s *suspect) apply(r Shared, now time.Time) {
	s.at = r.At
	crashed := r.Crashes > s.record.Crashes || (s.cleared && r.Crashes > 0 && r.LastServer != s.record.LastServer)
	probed := r.Probes > s.record.Probes
	wasBlocking := s.blocking()
	s.record = Record{
		Part: r.Part, Crashes: max(r.Crashes, s.record.Crashes), AnswerBegun: r.AnswerBegun || s.record.AnswerBegun,
		Answered: r.Answered || s.record.Answered, With: r.With, LastServer: r.LastServer, Probes: max(r.Probes, s.record.Probes),
	}
	switch {
	case crashed:
		s.record.Crashes = r.Crashes
		s.recordCrash(now)
	case probed:
		s.recordProbe(now)
	case s.blocking() && !wasBlocking:
		s.blockedUntil = s.lastCrashAt.Add(s.blockTime())
	}
}

// recordProbe keeps other requests away while a probe is in progress.
func (s *suspect) recordProbe(now time.Time) {
	s.changedAt = now
	if until := now.Add(probeTime); until.After(s.blockedUntil) {
		s.blockedUntil = until
	}
}

// BeginProbe records that this process has claimed a probe, with the position of the changed record.
func (q *Quarantine) BeginProbe(part Part, at kv.Position, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.suspects[part]; s != nil {
		s.at = s.at.Max(at)
		s.record.Probes++
		s.recordProbe(now)
	}
}
