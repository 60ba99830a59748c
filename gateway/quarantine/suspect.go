package quarantine

import (
	"slices"
	"time"

	"lavendermoor.example/clients/kv"
)

// suspect is a part that may have crashed a server.
type suspect struct {
	record Record
	// at is the position of the shared record, zero before it is known.
	at kv.Position
	// cleared is set when a later request with the part was answered. The shared record may still exist.
	cleared bool
	// changedAt is when this process learned of the last crash or probe, lastCrashAt of the last crash.
	changedAt, lastCrashAt time.Time
	blockedUntil           time.Time
	// firstDeadline is the deadline of the first request with the content of a whole request, and repeated is set once it
	// came again after that. likelySound is set for a part that was accused together with such a request.
	firstDeadline         time.Time
	repeated, likelySound bool
	// burst holds the servers of the last crashes within sameCrashWindow, at most burstCrashes.
	burst []string
}

// blocking reports whether requests with the part are kept from servers, except for probes.
func (s *suspect) blocking() bool {
	return !s.cleared && s.record.Crashes >= s.blockingCrashes()
}

// blockingCrashes returns the number of crashes from which the part is blocked.
func (s *suspect) blockingCrashes() int {
	if s.doubtful() {
		return doubtfulCrashes
	}
	return 1
}

// doubtful reports whether the part may be sound although a server crashed.
func (s *suspect) doubtful() bool { return s.record.Answered || !s.record.AnswerBegun }

// probeFrom returns when a request whose prompt holds the given parts may be a probe of the part. After the first probe
// all requests wait for the end of the block: the deadly part may have had company that differs with each crash.
func (s *suspect) probeFrom(inPrompt map[string]bool) time.Time {
	lacksOther := slices.ContainsFunc(s.record.With, func(id string) bool { return !inPrompt[id] })
	early := s.lastCrashAt.Add(partialProbeDelay)
	if s.likelySound && s.record.Probes == 0 {
		return s.lastCrashAt
	}
	if lacksOther && !s.record.Part.IsRequest() && s.record.Probes == 0 && early.Before(s.blockedUntil) {
		return early
	}
	return s.blockedUntil
}

// sameCrash reports whether a crash is not counted because others were just before: one of the same server, or fewer than
// burstCrashes of others and the part may be common. started is set right after a start of this process, when parts that
// all requests share are unknown too.
func (s *suspect) sameCrash(server string, started bool, now time.Time) bool {
	if s.cleared || now.Sub(s.lastCrashAt) >= sameCrashWindow {
		s.burst = nil
	}
	if slices.Contains(s.burst, server) {
		return true
	}
	s.burst = append(s.burst, server)
	common := s.record.Answered || (started && s.doubtful() && !s.record.Part.IsRequest())
	if n := len(s.burst); !common || n == 1 || n >= burstCrashes {
		s.burst = s.burst[max(0, n-burstCrashes):]
		return false
	}
	return true
}

// addCrash adds a first crash to those of the suspect.
func (s *suspect) addCrash(first Record, now time.Time) {
	if s.cleared {
		s.record.Crashes = 0
	}
	s.record.Crashes++
	s.record.AnswerBegun = s.record.AnswerBegun || first.AnswerBegun
	s.record.Answered = s.record.Answered || first.Answered
	s.record.LastServer, s.record.With = first.LastServer, first.With
	s.likelySound = false
	s.recordCrash(now)
}

// strengthen takes over that the server of the last crash had begun to answer another request with the part, and reports
// whether this blocks the part.
func (s *suspect) strengthen(first Record) bool {
	if s.cleared || s.blocking() || s.record.LastServer != first.LastServer || !first.AnswerBegun {
		return false
	}
	s.record.AnswerBegun = true
	s.blockedUntil = s.lastCrashAt.Add(s.blockTime())
	return s.blocking()
}

// recordCrash starts or prolongs the block.
func (s *suspect) recordCrash(now time.Time) {
	s.changedAt, s.lastCrashAt, s.cleared = now, now, false
	if !s.blocking() {
		return
	}
	s.blockedUntil = now.Add(s.blockTime())
}

// blockTime returns how long the last crash blocks the part, 0 if it does not.
func (s *suspect) blockTime() time.Duration {
	doublings := s.record.Crashes - s.blockingCrashes()
	if doublings < 0 {
		return 0
	}
	block := firstBlock
	if s.record.Answered && s.record.Probes == 0 {
		block = firstAnsweredBlock
	}
	return min(block<<min(doublings, 8), maxBlock)
}
