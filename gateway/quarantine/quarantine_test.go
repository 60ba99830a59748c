package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/clients/kv"
)

const service = "s"

// clock is the time of a test.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func (c *clock) advance(d time.Duration) time.Time {
	c.now = c.now.Add(d)
	return c.now
}

// newWarm returns a quarantine that has seen answers to prompts with the given parts and some others.
func newWarm(c *clock, parts ...string) *Quarantine {
	q := New()
	for i := range minAnswers {
		parts = append(parts, fmt.Sprint("other-", i))
	}
	q.RecordAnswer(service, parts, c.now, c.now)
	c.advance(time.Second)
	return q
}

// begun is a crash of a server that had begun to answer. The request was sent long after all answers.
func begun(server string) Crash {
	return Crash{Server: server, AnswerBegun: true, Sent: time.Unix(1<<40, 0)}
}

func check(q *Quarantine, c *clock, parts ...string) Verdict {
	return q.Check(service, parts, nil, c.now)
}

// requireBlocked requires that requests with the parts are blocked for the given time and can then be a probe.
func requireBlocked(t *testing.T, q *Quarantine, c *clock, d time.Duration, parts ...string) {
	t.Helper()
	v := check(q, c, parts...)
	require.False(t, v.Passes())
	require.False(t, v.CanProbe)
	require.Equal(t, d, v.Wait)
	require.True(t, q.Check(service, parts, nil, c.now.Add(d)).CanProbe)
}

// Guards against a part that crashes servers reaching a second one, and against blocking what other requests share.
func TestFirstCrashBlocksThePartThatNoAnswerHadShownToBeSound(t *testing.T) {
	c := newClock()
	q := newWarm(c, "common")
	records := q.RecordCrash(service, []string{"common", "deadly"}, begun("a"), c.now)
	require.Len(t, records, 1)
	require.Equal(t, Part{service, "deadly"}, records[0].Part)
	requireBlocked(t, q, c, firstBlock, "common", "deadly")
	requireBlocked(t, q, c, firstBlock, "deadly", "unknown")
	require.True(t, check(q, c, "common").Passes())
	require.True(t, q.Check("another", []string{"deadly"}, nil, c.now).Passes(), "servers of another service may answer it")
}

// Guards against blocking the requests that a crashed server was reading: it had not begun to answer them.
func TestCrashOfAServerThatHadNotBegunBlocksAtTheSecondTime(t *testing.T) {
	c := newClock()
	q := newWarm(c)
	reading := Crash{Server: "a"}
	q.RecordCrash(service, []string{"x"}, reading, c.now)
	require.True(t, check(q, c, "x").Passes())
	q.RecordCrash(service, []string{"x"}, reading, c.now)
	require.True(t, check(q, c, "x").Passes(), "another request at the same server")
	q.RecordCrash(service, []string{"x"}, Crash{Server: "b"}, c.advance(time.Millisecond))
	requireBlocked(t, q, c, firstBlock, "x")
}

// Guards against blocking a common part because two servers crash at once: no answer can come in between.
func TestSimultaneousCrashesCountOnceForACommonPart(t *testing.T) {
	c := newClock()
	for name, q := range map[string]*Quarantine{"answered before": newWarm(c, "x"), "right after a start": New()} {
		for i := range 2 * (burstCrashes - 1) {
			server := fmt.Sprint(i % (burstCrashes - 1))
			q.RecordCrash(service, []string{"x"}, begun(server), c.advance(time.Millisecond))
		}
		require.True(t, check(q, c, "x").Passes(), name)
		q.RecordCrash(service, []string{"x"}, begun("later"), c.advance(sameCrashWindow))
		require.False(t, check(q, c, "x").Passes(), name)
	}
}

// Guards against a part that was sound, turns deadly and takes all servers within a second.
func TestManySimultaneousCrashesBlockACommonPart(t *testing.T) {
	c := newClock()
	q := newWarm(c, "x")
	for i := range burstCrashes {
		require.True(t, check(q, c, "x").Passes())
		q.RecordCrash(service, []string{"x"}, begun(fmt.Sprint(i)), c.advance(time.Millisecond))
	}
	requireBlocked(t, q, c, firstAnsweredBlock, "x")
}

// Guards against blocking a common part because of a crash for another reason: other servers answer it meanwhile.
func TestPartThatIsAnsweredMeanwhileIsNotSuspected(t *testing.T) {
	c := newClock()
	q := newWarm(c, "common")
	for i := range 10 {
		sent := c.advance(time.Second)
		q.RecordAnswer(service, []string{"common"}, c.advance(10*time.Millisecond), c.now)
		crash := Crash{Server: fmt.Sprint(i), Sent: sent, AnswerBegun: true}
		require.Empty(t, q.Suspects(service, []string{"common"}, crash, c.now))
		require.Empty(t, q.RecordCrash(service, []string{"common"}, crash, c.advance(time.Second)))
	}
	require.True(t, check(q, c, "common").Passes())
}

// Guards against blocking a common part because of servers that were reading it when they crashed for another reason.
func TestCommonPartIsNotSuspectedByServersThatHadNotBegun(t *testing.T) {
	c := newClock()
	q := newWarm(c, "common")
	for i := range 10 {
		crash := Crash{Server: fmt.Sprint(i), Sent: c.now}
		require.Empty(t, q.RecordCrash(service, []string{"common"}, crash, c.advance(time.Second)))
	}
	require.True(t, check(q, c, "common").Passes())
	require.Len(t, q.RecordCrash(service, []string{"common"}, Crash{Server: "z"}, c.advance(recentAnswer)), 1)
}

// Guards against a part that was sound and turns deadly, for example with a new version of the servers. The parts beside
// it are in answered prompts again.
func TestPartThatTurnsDeadlyIsBlockedAtTheSecondCrash(t *testing.T) {
	c := newClock()
	q := newWarm(c, "turned", "common")
	prompt := []string{"common", "turned"}
	require.Len(t, q.RecordCrash(service, prompt, begun("a"), c.now), 2)
	require.True(t, check(q, c, prompt...).Passes(), "one crash may have another reason")
	c.advance(time.Second)
	q.RecordAnswer(service, []string{"common"}, c.now, c.now)
	q.RecordCrash(service, prompt, begun("b"), c.advance(2*sameCrashWindow))
	requireBlocked(t, q, c, firstAnsweredBlock, prompt...)
	require.True(t, check(q, c, "common").Passes())
	q.RecordAnswer(service, []string{"common"}, c.advance(firstAnsweredBlock), c.now)
	q.BeginProbe(Part{service, "turned"}, kv.Position{Revision: 1}, c.now)
	q.RecordCrash(service, prompt, begun("c"), c.now)
	requireBlocked(t, q, c, 2*firstBlock, prompt...)
}

// Guards against a suspect that stays blocked although a server has answered it since, and against an answer that had
// begun before the crash.
func TestLaterAnswerClearsASuspect(t *testing.T) {
	c := newClock()
	q := newWarm(c)
	sent := c.now
	q.RecordCrash(service, []string{"x"}, begun("a"), c.advance(time.Second))
	require.Empty(t, q.RecordAnswer(service, []string{"x"}, sent, c.now))
	require.False(t, check(q, c, "x").Passes())
	c.advance(time.Second)
	require.Equal(t, []Part{{service, "x"}}, q.RecordAnswer(service, []string{"x"}, c.now, c.now))
	require.True(t, check(q, c, "x").Passes())
}

// Guards against blocks without end, and against many requests with a deadly part as soon as its block ends.
func TestBlocksGrowAndLetOneProbeThrough(t *testing.T) {
	c := newClock()
	q := newWarm(c)
	part := Part{service, "x"}
	q.RecordCrash(service, []string{"x"}, begun("0"), c.now)
	for i, want := range []time.Duration{firstBlock, 2 * firstBlock, 4 * firstBlock, maxBlock, maxBlock} {
		requireBlocked(t, q, c, want, "x")
		c.advance(want)
		q.BeginProbe(part, kv.Position{Revision: int64(i) + 1}, c.now)
		require.True(t, q.Check(service, []string{"x"}, []Part{part}, c.now).Passes(), "the probe")
		require.False(t, check(q, c, "x").CanProbe, "no second probe")
		q.RecordCrash(service, []string{"x"}, begun(fmt.Sprint("s", i)), c.now)
	}
	require.Less(t, maxBlock, RecordTTL, "a blocked part is probed before it is forgotten")
}

// Guards against a common part that stays blocked after a crash right after a start, when all parts are unknown.
func TestRequestThatLacksAnotherSuspectProbesSooner(t *testing.T) {
	c := newClock()
	q := New()
	q.RecordCrash(service, []string{"common", "deadly"}, begun("a"), c.now)
	requireBlocked(t, q, c, partialProbeDelay, "common")
	requireBlocked(t, q, c, firstBlock+jointProbeDelay, "common", "deadly")
	c.advance(partialProbeDelay)
	q.BeginProbe(Part{service, "common"}, kv.Position{Revision: 1}, c.now)
	c.advance(time.Second)
	q.RecordAnswer(service, []string{"common"}, c.now, c.now)
	require.True(t, check(q, c, "common").Passes())
	requireBlocked(t, q, c, firstBlock-partialProbeDelay-time.Second, "common", "deadly")
	c.advance(firstBlock)
	q.BeginProbe(Part{service, "deadly"}, kv.Position{Revision: 2}, c.now)
	q.RecordCrash(service, []string{"deadly", "unknown"}, begun("b"), c.now)
	requireBlocked(t, q, c, 2*firstBlock, "common", "deadly")
}

// Guards against blocking the only part that all requests share because of a crash right after a start.
func TestSingleUnknownPartIsDoubtfulRightAfterAStart(t *testing.T) {
	c := newClock()
	q := New()
	q.RecordCrash(service, []string{"common"}, begun("a"), c.now)
	require.True(t, check(q, c, "common").Passes())
}

// Guards against requests in flight that crash a further server after the part is known, and against withdrawing others.
func TestRequestsInFlightAreWithdrawn(t *testing.T) {
	c := newClock()
	q := newWarm(c, "common")
	withdrawn := map[string]int{}
	for name, parts := range map[string][]string{"deadly": {"common", "x"}, "sound": {"common", "y"}, "common": {"common"}} {
		defer q.Watch(service, parts, func(Part) { withdrawn[name]++ })()
	}
	q.Watch(service, []string{"x"}, func(Part) { withdrawn["ended"]++ })()
	q.RecordCrash(service, []string{"common", "x"}, begun("a"), c.now)
	require.Equal(t, map[string]int{"deadly": 1}, withdrawn)
	answered, blocked := q.ApplyPeer(Record{Part: Part{service, "y"}, Crashes: 1, AnswerBegun: true, LastServer: "b"}, c.now)
	require.False(t, answered)
	require.True(t, blocked)
	require.Equal(t, map[string]int{"deadly": 1, "sound": 1}, withdrawn)
}

// sharedX returns the shared record of the part x.
func sharedX(crashes int, revision int64) Shared {
	return Shared{
		Record: Record{
			Part: Part{service, "x"}, Crashes: crashes, AnswerBegun: true, LastServer: fmt.Sprint("server-", crashes),
		},
		At: kv.Position{Revision: revision},
	}
}

// Guards against gateways that do not follow the shared records: new, changed, older and removed ones.
func TestSharedRecordsAreFollowed(t *testing.T) {
	c := newClock()
	q := newWarm(c)
	require.Equal(t, []Part{{service, "x"}}, q.ApplyShared([]Shared{sharedX(1, 5)}, true, c.now).Blocked)
	requireBlocked(t, q, c, firstBlock, "x")
	q.ApplyShared([]Shared{sharedX(1, 4)}, true, c.advance(time.Second))
	requireBlocked(t, q, c, firstBlock-time.Second, "x")
	q.ApplyShared([]Shared{sharedX(2, 6)}, true, c.now)
	requireBlocked(t, q, c, 2*firstBlock, "x")
	q.ApplyShared(nil, false, c.now)
	require.False(t, check(q, c, "x").Passes(), "the record may be missing because of an outage of the service")
	q.ApplyShared(nil, true, c.now)
	require.True(t, check(q, c, "x").Passes(), "another gateway has removed the record after an answer")
	later := sharedX(1, 2)
	later.At.Era = 1
	q.ApplyShared([]Shared{later}, true, c.now)
	requireBlocked(t, q, c, firstBlock, "x")
}

// Guards against blocking a part at a gateway that has seen it answered, and at the others once they know.
func TestPartAnsweredAtAnotherGatewayIsDoubtful(t *testing.T) {
	c := newClock()
	accuser, witness, third := newWarm(c), newWarm(c, "x"), newWarm(c)
	first := accuser.RecordCrash(service, []string{"x"}, begun("a"), c.now)[0]
	answered, blocked := witness.ApplyPeer(first, c.now)
	require.True(t, answered)
	require.False(t, blocked)
	accuser.markAnswered(first.Part)
	require.True(t, check(accuser, c, "x").Passes())
	record := Shared{Record: first, At: kv.Position{Revision: 1}}
	require.Equal(t, []Part{first.Part}, witness.ApplyShared([]Shared{record}, true, c.now).Answered)
	third.ApplyShared([]Shared{record}, true, c.now)
	require.False(t, check(third, c, "x").Passes())
	record.Answered, record.At.Revision = true, 2
	require.Empty(t, witness.ApplyShared([]Shared{record}, true, c.now).Answered)
	third.ApplyShared([]Shared{record}, true, c.now)
	require.True(t, check(third, c, "x").Passes())
}

// Guards against counting one crash twice because it arrives from a peer and through the service.
func TestCrashIsCountedOnceForEachServer(t *testing.T) {
	c := newClock()
	accuser, other := newWarm(c), newWarm(c)
	first := accuser.RecordCrash(service, []string{"x"}, begun("a"), c.now)[0]
	require.Empty(t, accuser.RecordCrash(service, []string{"x"}, begun("a"), c.now), "two requests at the server")
	for range 2 {
		other.ApplyPeer(first, c.now)
		other.ApplyShared([]Shared{{Record: first, At: kv.Position{Revision: 1}}}, true, c.now)
	}
	requireBlocked(t, other, c, firstBlock, "x")
	requireBlocked(t, accuser, c, firstBlock, "x")
}

// requireFull requires that the suspects are as many as there may be, but for the room that was made last.
func requireFull(t *testing.T, q *Quarantine) {
	t.Helper()
	require.LessOrEqual(t, len(q.suspects), maxSuspects)
	require.Greater(t, len(q.suspects), maxSuspects*3/4)
}

// Guards against memory that grows with the number of different parts, and against suspects that are never forgotten.
func TestMemoryIsBounded(t *testing.T) {
	c := newClock()
	q := newWarm(c, "used")
	for i := range 3 * maxGeneration {
		q.RecordAnswer(service, []string{fmt.Sprint("p", i)}, c.now, c.now)
		if i%1000 == 0 {
			q.RecordAnswer(service, []string{"used"}, c.now, c.now)
		}
	}
	require.LessOrEqual(t, q.answered.once.size(), 2*maxGeneration)
	require.LessOrEqual(t, q.answered.repeated.size(), 2*maxGeneration)
	_, known := q.answered.at(Part{service, "used"})
	require.True(t, known)
	q.RecordCrash(service, []string{"twice"}, begun("x"), c.now)
	q.RecordCrash(service, []string{"twice"}, begun("y"), c.now)
	for i := range 2 * maxSuspects {
		q.RecordCrash(service, []string{fmt.Sprint("q", i)}, begun(fmt.Sprint(i)), c.advance(time.Millisecond))
	}
	requireFull(t, q)
	require.True(t, check(q, c, "q0").Passes(), "the oldest ones are forgotten")
	for i := 2*maxSuspects - maxSuspects*3/4; i < 2*maxSuspects; i++ {
		require.False(t, check(q, c, fmt.Sprint("q", i)).Passes())
	}
	require.False(t, check(q, c, "twice").Passes(), "a part of two crashes is kept longer")
	q.RemoveExpired(c.advance(RecordTTL + time.Second))
	require.Empty(t, q.suspects)
	require.Zero(t, q.count.Load())
	for i := range 2 * maxSuspects {
		q.RecordCrash(service, []string{fmt.Sprint("r", i)}, Crash{Server: fmt.Sprint(i)}, c.now)
	}
	q.RecordCrash(service, []string{"deadly"}, begun("z"), c.now)
	require.False(t, check(q, c, "deadly").Passes(), "suspects that are not blocked make room")
	requireFull(t, q)
	for i := range 2 * maxServices {
		q.RecordAnswer(fmt.Sprint("service", i), []string{"x"}, c.now, c.now)
	}
	require.LessOrEqual(t, len(q.answered.answers), maxServices)
}

// Guards against a part that stays unblocked at a gateway whose request the crashed server was still reading, although
// another request at that server, of this or another gateway, had begun to be answered.
func TestStrongerEvidenceOfTheSameCrashBlocks(t *testing.T) {
	c := newClock()
	reading, answering := newWarm(c), newWarm(c)
	weak := reading.RecordCrash(service, []string{"x"}, Crash{Server: "a"}, c.now)[0]
	require.True(t, check(reading, c, "x").Passes())
	strong := answering.RecordCrash(service, []string{"x"}, begun("a"), c.now)[0]
	_, blocked := reading.ApplyPeer(strong, c.now)
	require.True(t, blocked)
	requireBlocked(t, reading, c, firstBlock, "x")
	_, blocked = answering.ApplyPeer(weak, c.now)
	require.False(t, blocked)
	requireBlocked(t, answering, c, firstBlock, "x")

	both := newWarm(c)
	both.RecordCrash(service, []string{"x"}, Crash{Server: "a"}, c.now)
	require.Len(t, both.RecordCrash(service, []string{"x"}, begun("a"), c.now), 1)
	requireBlocked(t, both, c, firstBlock, "x")

	stored := newWarm(c)
	stored.ApplyShared([]Shared{{Record: weak, At: kv.Position{Revision: 1}}}, true, c.now)
	require.True(t, check(stored, c, "x").Passes())
	stored.ApplyShared([]Shared{{Record: strong, At: kv.Position{Revision: 2}}}, true, c.now)
	requireBlocked(t, stored, c, firstBlock, "x")
}
