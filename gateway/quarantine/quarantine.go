// Package quarantine decides which requests are kept from servers because they crash every server that begins to answer
// them: a part of their prompt does, whatever else they hold, or the request as a whole, which comes again. It learns
// from the outcomes of this process's requests and from the records that all gateways share. A Quarantine has no I/O;
// Sharing exchanges the records.
package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstBlock is how long the first crash blocks a part that no answer has cleared. Each further crash doubles the
	// time, up to maxBlock.
	firstBlock = time.Minute
	// firstAnsweredBlock is firstBlock for a part that was in an answered prompt before the first crash, until a probe
	// has crashed a server too.
	firstAnsweredBlock = 5 * time.Second
	maxBlock           = 5 * time.Minute
	// doubtfulCrashes is the number of crashes, without an answer in between, that block a part that may be sound.
	doubtfulCrashes = 2
	// probeTime is how long a claimed probe keeps other requests away.
	probeTime = 10 * time.Second
	// jointProbeDelay is how long after the end of its block a part may be probed together with other suspects. A
	// request with a single one tells more.
	jointProbeDelay = 30 * time.Second
	// partialProbeDelay is how long after a crash a part may be probed by a request that lacks another suspect of the same
	// crash. Such a request is likely to be sound, and shows which of the suspects is.
	partialProbeDelay = 5 * time.Second
	// RecordTTL is how long a record is kept after the last crash or probe. It exceeds maxBlock, so that a part whose
	// block has ended is probed and not forgotten.
	RecordTTL = 10 * time.Minute
	// sameCrashWindow is the time within which the requests that fail at one server count as one crash. Crashes of
	// several servers in this time count once for a part that many requests may share, because no answer can come in
	// between.
	sameCrashWindow = time.Second
	// recentAnswer is the time after an answer during which a part is not suspected because of a server that had not
	// begun to answer. The server was working on other requests too.
	recentAnswer = 30 * time.Second
	// burstCrashes is the number of servers that crash within sameCrashWindow from which their crashes count separately
	// all the same.
	burstCrashes = 4
	// minAnswers is the number of answered parts of a service from which an unanswered part is unusual.
	minAnswers = 8
)

// Quarantine holds the suspected parts of a process. Its methods are safe for concurrent use.
type Quarantine struct {
	// count is the number of suspects. Most of the time it is 0, and requests need no lock.
	count atomic.Int64

	mu       sync.Mutex
	suspects map[Part]*suspect
	answered memory
	// answeredRequests holds the whole requests. They are many, and would displace the parts in the same memory.
	answeredRequests memory
	// watches holds the requests in flight.
	watches map[*watch]struct{}
}

// New returns an empty quarantine.
func New() *Quarantine {
	return &Quarantine{suspects: map[Part]*suspect{}, watches: map[*watch]struct{}{}}
}

// Verdict is the decision on a request. The zero value lets it pass.
type Verdict struct {
	// Part is the part because of which the request does not pass, zero if it passes.
	Part Part
	// Wait is the remaining time of the block, at least 0.
	Wait time.Duration
	// CanProbe is set if the request passes as a probe of the part once that is claimed.
	CanProbe bool
}

// Passes reports whether the request may be sent to a server.
func (v Verdict) Passes() bool { return v.Part == Part{} }

// Check decides on a request whose prompt holds the given parts. The blocks of the parts of which the request is a probe
// do not apply to it.
func (q *Quarantine) Check(service string, parts []string, probes []Part, now time.Time) Verdict {
	if len(parts) == 0 || q.count.Load() == 0 {
		return Verdict{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var blocked []*suspect
	for _, id := range parts {
		part := Part{service, id}
		if s := q.suspects[part]; s != nil && s.blocking() && !slices.Contains(probes, part) {
			blocked = append(blocked, s)
		}
	}
	if len(blocked) == 0 {
		return Verdict{}
	}
	last, from := lastProbe(blocked, parts)
	if len(blocked) > 1 && !from.Before(last.blockedUntil) {
		from = from.Add(jointProbeDelay)
	}
	return Verdict{Part: last.record.Part, Wait: max(from.Sub(now), 0), CanProbe: !now.Before(from)}
}

// lastProbe returns the suspect that a request with the given parts may probe last, and when.
func lastProbe(blocked []*suspect, parts []string) (last *suspect, from time.Time) {
	inPrompt := make(map[string]bool, len(parts))
	for _, id := range parts {
		inPrompt[id] = true
	}
	for _, s := range blocked {
		if at := s.probeFrom(inPrompt); last == nil || at.After(from) {
			last, from = s, at
		}
	}
	return last, from
}

// Shared returns the shared record of a part as far as this process knows it.
func (q *Quarantine) Shared(part Part) (Shared, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[part]
	if s == nil || s.at.IsZero() {
		return Shared{}, false
	}
	return Shared{Record: s.record, At: s.at}, true
}

// RecordAnswer records that a server has answered a request that was sent at the given time, beyond the beginning. It
// returns the suspects that this clears.
func (q *Quarantine) RecordAnswer(service string, parts []string, sent, now time.Time) (cleared []Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range parts {
		part := Part{service, id}
		q.memoryOf(part).add(part, now)
		if s := q.suspects[part]; s != nil && !s.cleared && !sent.Before(s.changedAt) {
			s.cleared = true
			cleared = append(cleared, part)
		}
	}
	return cleared
}

// memoryOf returns the memory of answers to which a part belongs.
func (q *Quarantine) memoryOf(part Part) *memory {
	if part.IsRequest() {
		return &q.answeredRequests
	}
	return &q.answered
}

// Dump is the state of one suspect in the state dump.
type Dump struct {
	Service   string `json:"service"`
	Part      string `json:"part"`
	Crashes   int    `json:"crashes"`
	Blocked   bool   `json:"blocked"`
	BlockedMs int64  `json:"blocked_ms"`
}

// Dump returns the suspects that are not cleared.
func (q *Quarantine) Dump(now time.Time) []Dump {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Dump
	for part, s := range q.suspects {
		if s.cleared {
			continue
		}
		out = append(out, Dump{
			Service: part.Service, Part: part.ID, Crashes: s.record.Crashes, Blocked: s.blocking(),
			BlockedMs: max(s.blockedUntil.Sub(now), 0).Milliseconds(),
		})
	}
	return out
}

// CountBlocked returns the number of parts that are blocked.
func (q *Quarantine) CountBlocked() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := int64(0)
	for _, s := range q.suspects {
		if s.blocking() {
			n++
		}
	}
	return n
}
