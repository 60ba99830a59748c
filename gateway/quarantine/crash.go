package quarantine

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits of what other gateways are told of one crash.
const (
	// maxShared bounds the suspects that are shared, and maxWith the IDs in the record of each.
	maxShared = 64
	maxWith   = 32
)

// Suspects returns the parts of a prompt that a crash would make suspects: those that were never in an answered prompt. If
// there is none, a part may have turned deadly, and those are suspects that were in none since the request was sent, or
// for some time if the server had not begun to answer. The whole request is one too, unless it was answered since then.
func (q *Quarantine) Suspects(service string, parts []string, crash Crash, now time.Time) []Part {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspectParts(service, parts, crash, now)
}

func (q *Quarantine) suspectParts(service string, parts []string, crash Crash, now time.Time) []Part {
	answeredUntil := crash.Sent
	if !crash.AnswerBegun {
		answeredUntil = now.Add(-recentAnswer)
	}
	var unanswered, earlier, requests []Part
	for _, id := range parts {
		part := Part{service, id}
		at, ok := q.memoryOf(part).at(part)
		switch {
		case ok && !at.Before(answeredUntil):
		case part.IsRequest():
			requests = append(requests, part)
		case !ok:
			unanswered = append(unanswered, part)
		default:
			earlier = append(earlier, part)
		}
	}
	switch {
	case slices.ContainsFunc(requests, q.isRepeated):
		return requests
	case len(unanswered) > 0:
		return append(unanswered, requests...)
	}
	return append(earlier, requests...)
}

// RecordCrash makes parts of the prompt of a request suspects after its server crashed. It returns the records of a
// first crash of these parts, to be shared: of at most maxShared parts, those with most crashes. Suspects for which the
// crash is not counted are left out. Right after a start, when no part is known to be sound, AnswerBegun does not count
// for a single part, which all sound requests may hold too.
func (q *Quarantine) RecordCrash(service string, parts []string, crash Crash, now time.Time) []Record {
	q.mu.Lock()
	accused := q.suspectParts(service, parts, crash, now)
	started := q.justStarted(service)
	ofPrompt := slices.DeleteFunc(slices.Clone(accused), Part.IsRequest)
	doubtful := started && len(ofPrompt) == 1
	with := sampleParts(ofPrompt, maxWith+1)
	var counted []*suspect
	var records []Record
	for _, part := range q.knownFirst(accused) {
		s := q.suspect(part, now)
		if part.IsRequest() && !crash.Deadline.IsZero() && s.firstDeadline.IsZero() {
			s.firstDeadline = crash.Deadline
		}
		first := Record{
			Part: part, Crashes: 1, AnswerBegun: crash.AnswerBegun && (part.IsRequest() || !doubtful),
			Answered: s.record.Answered, LastServer: crash.Server, With: otherIDs(with, part),
		}
		if !s.sameCrash(crash.Server, started, now) {
			s.addCrash(first, now)
		} else if !s.strengthen(first) {
			continue
		}
		counted = append(counted, s)
		records = append(records, first)
	}
	records = q.mostLikely(records)
	withdraw := q.withdrawals(blockedParts(counted))
	q.mu.Unlock()
	callAll(withdraw)
	return records
}

// knownFirst returns the parts with those that are suspects already before the others. Their crash is counted before the
// others may need room, so that none of them is forgotten then.
func (q *Quarantine) knownFirst(parts []Part) []Part {
	var known, others []Part
	for _, part := range parts {
		if q.suspects[part] != nil {
			known = append(known, part)
		} else {
			others = append(others, part)
		}
	}
	return append(known, others...)
}

// blockedParts returns the parts of the suspects that are blocked.
func blockedParts(suspects []*suspect) []Part {
	var out []Part
	for _, s := range suspects {
		if s.blocking() {
			out = append(out, s.record.Part)
		}
	}
	return out
}

// mostLikely returns the records of whole requests and of the suspects with most crashes, at most maxShared.
func (q *Quarantine) mostLikely(records []Record) []Record {
	if len(records) <= maxShared {
		return records
	}
	crashes := func(r Record) int {
		s := q.suspects[r.Part]
		switch {
		case r.Part.IsRequest():
			return math.MaxInt
		case s == nil:
			return 0
		}
		return s.record.Crashes
	}
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(crashes(b), crashes(a)) })
	return records[:maxShared]
}

// sampleParts returns at most n of the parts, at random.
func sampleParts(parts []Part, n int) []Part {
	if len(parts) <= n {
		return parts
	}
	out := make([]Part, n)
	for i, place := range rand.Perm(len(parts))[:n] {
		out[i] = parts[place]
	}
	return out
}

// justStarted reports whether this process has seen too few answers of a service to know which parts are sound.
func (q *Quarantine) justStarted(service string) bool { return q.answered.count(service) < minAnswers }

// otherIDs returns the IDs of the parts other than the given one, at most maxWith.
func otherIDs(parts []Part, part Part) []string {
	var out []string
	for _, p := range parts {
		if p != part && len(out) < maxWith {
			out = append(out, p.ID)
		}
	}
	return out
}
