package idempotency

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/telemetry/invariant"
)

// process is one incarnation of a server in the simulation. A process that was replaced may still be running.
type process struct {
	table *Table
	view  int
}

type message struct {
	to     string
	handle func(p *process) // run by the process that receives the message
}

type simCall struct {
	at        *process
	key       peerapi.CallKey
	digest    peerapi.Digest
	claim     *Claim
	withdrawn []peerapi.Attempt
	begun     bool
	response  string
	op        int
}

// simulation runs tables against a network that loses, repeats and reorders messages.
type simulation struct {
	t               *rapid.T
	now             time.Time
	views           []View
	live            map[string]*process
	pausedProcesses []*process
	network         []message
	calls           []*simCall
	// records are the incarnation records in the key-value service, by server.
	records map[string]*simRecord
	runs    map[peerapi.CallKey][]string
	history []porcupine.Operation
	clock   int64
}

// simRecord is the record of a server: its newest incarnation, and whether it has held keys.
type simRecord struct {
	incarnation int64
	heldKeys    bool
}

func member(name string) cluster.Member { return cluster.Member{Name: name, Domain: "domain-" + name} }

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, now: time.Unix(0, 0), live: map[string]*process{}, runs: map[peerapi.CallKey][]string{},
		records: map[string]*simRecord{},
		views:   []View{{Service: "shed", Epoch: 1, Servers: []cluster.Member{member("a"), member("b"), member("c")}}},
	}
	for _, n := range []string{"a", "b", "c", "d"} {
		s.records[n] = &simRecord{}
		// Servers may have been restarted before the service was created.
		s.start(n, rapid.Int64Range(1, 2).Draw(t, "incarnation"))
	}
	return s
}

func (s *simulation) start(name string, incarnation int64) {
	record := s.records[name]
	record.incarnation = incarnation
	held := record.heldKeys
	p := &process{table: NewTable(peerapi.Peer{Server: name, Incarnation: incarnation}, Options{
		PredecessorHeldKeys: func(string) bool { return held }, RequireHeldRecord: true,
	}, s.now)}
	p.table.heldServices["shed"] = held
	// A starting process may get an old configuration from a peer that lags.
	p.view = rapid.IntRange(max(0, len(s.views)-2), len(s.views)-1).Draw(s.t, "view")
	p.table.SetView(s.now, s.views[p.view])
	s.live[name] = p
}

// recordHeld records a service as held, unless a later incarnation has taken over the record.
func (s *simulation) recordHeld() {
	p := s.anyProcess(s.server())
	record := s.records[p.table.self.Server]
	if len(p.table.UnrecordedServices()) > 0 && record.incarnation == p.table.self.Incarnation {
		record.heldKeys = true
		p.table.MarkHeld("shed")
	}
}

func (s *simulation) tick() int64 { s.clock++; return s.clock }

func (s *simulation) server() string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(s.t, "server")
}

// anyProcess returns the live process or a paused predecessor.
func (s *simulation) anyProcess(name string) *process {
	candidates := []*process{s.live[name]}
	for _, p := range s.pausedProcesses {
		if p.table.self.Server == name {
			candidates = append(candidates, p)
		}
	}
	return rapid.SampledFrom(candidates).Draw(s.t, "process")
}

func (s *simulation) isAlive(p *process) bool {
	return s.live[p.table.self.Server] == p || slices.Contains(s.pausedProcesses, p)
}

func (s *simulation) send(to string, fn func(*process)) {
	s.network = append(s.network, message{to, fn})
}

// reply uses the connection of the request, so that only the incarnation that sent the request can receive it.
func (s *simulation) reply(p *process, fn func()) {
	s.send(p.table.self.Server, func(*process) {
		if s.isAlive(p) {
			fn()
		}
	})
}

func (s *simulation) newCall() {
	key := simKey
	c := &simCall{at: s.anyProcess(s.server()), key: key, op: len(s.history)}
	s.history = append(s.history, porcupine.Operation{ClientId: c.op, Input: key, Call: s.tick(), Return: math.MaxInt64})
	s.calls = append(s.calls, c)
	s.startCall(c)
}

func (s *simulation) startCall(c *simCall) {
	start := c.at.table.Start(s.now, c.key, c.digest, c.withdrawn)
	switch start.Kind {
	case StartClaim:
		c.claim = start.Claim
		for _, m := range c.claim.Peers {
			s.sendClaim(c, c.claim, m.Name)
		}
		s.advanceClaim(c, false)
	case StartQueryRunner:
		s.queryRunner(c, start.Attempt)
	case StartReplay:
		s.end(c, string(start.Outcome.Result.Body))
	default:
		s.end(c, "unknown")
	}
}

func (s *simulation) sendClaim(c *simCall, claim *Claim, to string) {
	q := claim.Request(c.withdrawn)
	s.send(to, func(p *process) {
		r := p.table.HandleClaim(s.now, q)
		s.reply(c.at, func() {
			c.at.table.AddResponse(claim, r)
			if c.claim == claim {
				s.advanceClaim(c, false)
			}
		})
	})
}

func (s *simulation) advanceClaim(c *simCall, timedOut bool) {
	if c.response != "" || c.begun || c.claim == nil {
		return
	}
	next, outcome, attempt := c.at.table.Evaluate(c.claim, timedOut)
	switch next {
	case NextWait:
	case NextBegin:
		if !c.at.table.Begin(s.now, c.claim) {
			s.withdraw(c)
			s.end(c, "unknown")
			return
		}
		c.begun = true
	case NextReplay:
		s.withdraw(c)
		s.end(c, string(outcome.Result.Body))
	case NextQueryRunner:
		s.withdraw(c)
		s.queryRunner(c, *attempt)
	case NextKeyReused:
		s.t.Fatal("the key was reported as reused, but there is only one request")
	case NextRefuse:
		notRun := c.at.table.ProvesNotRun(c.claim)
		if notRun {
			c.at.table.CheckRefusal(c.claim)
		}
		s.withdraw(c)
		s.end(c, map[bool]string{true: "no", false: "unknown"}[notRun])
	}
}

func (s *simulation) withdraw(c *simCall) {
	if !c.at.table.Withdraw(c.claim) {
		return
	}
	release := c.claim.ReleaseRequest()
	for _, m := range c.claim.Peers {
		s.send(m.Name, func(p *process) { p.table.HandleRelease(release) })
	}
	c.claim = nil
}

func (s *simulation) queryRunner(c *simCall, a peerapi.Attempt) {
	q := peerapi.AttemptRequest{From: c.at.table.self, Key: c.key, Digest: c.digest, Attempt: a}
	s.send(a.Server, func(p *process) {
		r := p.table.HandleAttemptQuery(q)
		s.reply(c.at, func() { s.handleAttemptResponse(c, a, r) })
	})
}

func (s *simulation) handleAttemptResponse(c *simCall, a peerapi.Attempt, r peerapi.AttemptResponse) {
	c.at.table.ObserveIncarnation(r.From)
	if c.response != "" || c.claim != nil {
		return
	}
	switch r.State {
	case peerapi.AttemptDone:
		s.end(c, string(r.Outcome.Result.Body))
	case peerapi.AttemptWithdrawn:
		c.withdrawn = append(c.withdrawn, a)
		s.startCall(c)
	default:
		s.end(c, "unknown")
	}
}

func (s *simulation) end(c *simCall, response string) {
	if c.response != "" {
		return
	}
	c.response = response
	s.history[c.op].Output = response
	if response != "unknown" {
		s.history[c.op].Return = s.tick()
	}
}

func (s *simulation) finishRun() {
	for _, c := range s.calls {
		if !c.begun || c.response != "" || !s.isAlive(c.at) {
			continue
		}
		if rapid.IntRange(0, 3).Draw(s.t, "not run") == 0 {
			c.at.table.MarkNotRun(c.claim)
			s.end(c, "unknown")
			return
		}
		value := fmt.Sprintf("%s/%d/%d", c.at.table.self.Server, c.at.table.self.Incarnation, c.claim.Attempt.Number)
		s.runs[c.key] = append(s.runs[c.key], value)
		o := peerapi.Outcome{Result: &peerapi.CallResult{Status: 200, Body: []byte(value)}}
		record := c.at.table.CompleteRun(s.now, c.claim, o)
		for _, m := range c.claim.Peers {
			s.send(m.Name, func(p *process) { p.table.StoreRecord(s.now, record) })
		}
		s.end(c, value)
		return
	}
}

func (s *simulation) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.network)-1).Draw(s.t, "message")
	m := s.network[i]
	delivery := rapid.IntRange(0, 19).Draw(s.t, "delivery")
	if delivery != 0 { // Otherwise the message stays and is delivered again.
		s.network = slices.Delete(s.network, i, i+1)
	}
	if delivery != 1 { // Otherwise the message is lost.
		m.handle(s.anyProcess(m.to))
	}
}

func (s *simulation) timeOutClaim() {
	for _, c := range s.calls {
		if c.claim != nil && !c.begun && c.response == "" && s.isAlive(c.at) && rapid.Bool().Draw(s.t, "timed out") {
			s.advanceClaim(c, true)
			return
		}
	}
}

// restartServer starts a new incarnation. The previous one dies, or is only paused and resumes later.
func (s *simulation) restartServer() {
	name := s.server()
	old := s.live[name]
	for _, p := range s.live {
		sh := p.table.shards[shardID{"shed", simShard}]
		if p != old && sh != nil && !p.table.isAuthoritative("shed", sh) && rapid.IntRange(0, 7).Draw(s.t, "two incomplete") > 0 {
			return
		}
	}
	if rapid.Bool().Draw(s.t, "paused") {
		s.pausedProcesses = append(s.pausedProcesses, old)
	}
	s.start(name, old.table.self.Incarnation+1)
}

func (s *simulation) copyShard() {
	p := s.live[s.server()]
	for _, pending := range p.table.PendingCopies(s.now) {
		if pending.Shard != simShard {
			continue
		}
		for _, m := range pending.Sources {
			s.pull(p, pending, m.Name)
			if rapid.IntRange(0, 3).Draw(s.t, "immediately") > 0 {
				s.deliverNewest()
				s.deliverNewest()
			}
		}
	}
}

// deliverNewest delivers the newest message to the live process, so that longer exchanges complete.
func (s *simulation) deliverNewest() {
	n := len(s.network) - 1
	if n < 0 {
		return
	}
	m := s.network[n]
	s.network = s.network[:n]
	m.handle(s.live[m.to])
}

var simKey = peerapi.CallKey{Service: "shed", Customer: "crew", Key: "k1"}

var simShard = ShardOf(simKey)

func (s *simulation) pull(p *process, pending PendingCopy, from string) {
	s.send(from, func(source *process) {
		r := source.table.ExportPage(s.now, p.table.self, peerapi.PullRange{Service: pending.Service, Shard: pending.Shard}, 100)
		s.reply(p, func() {
			if IsUsablePage(r, pending.Epoch) {
				p.table.ImportPage(s.now, r.From, r.Records)
				p.table.MarkCopied(s.now, pending, r.From)
			}
		})
	})
}

func (s *simulation) changeServers() {
	last := s.views[len(s.views)-1]
	if len(last.Previous) > 0 {
		s.clearPrevious(last)
		return
	}
	next := View{Service: "shed", Epoch: last.Epoch + 1, Previous: last.Servers}
	removed := rapid.SampledFrom(last.Servers).Draw(s.t, "removed")
	for _, n := range []string{"a", "b", "c", "d"} {
		if n != removed.Name {
			next.Servers = append(next.Servers, member(n))
		}
	}
	s.views = append(s.views, next)
}

func (s *simulation) clearPrevious(v View) {
	for _, m := range v.Servers {
		table := s.live[m.Name].table
		if sh := table.shards[shardID{"shed", simShard}]; table.epoch("shed") != v.Epoch || (sh != nil && !table.isAuthoritative("shed", sh)) {
			return
		}
	}
	v.Previous = nil
	s.views = append(s.views, v)
}

func (s *simulation) applyNextView() {
	p := s.anyProcess(s.server())
	if p.view < len(s.views)-1 {
		p.view++
		p.table.SetView(s.now, s.views[p.view])
	}
}

// checkAtMostOnce runs after every action.
func (s *simulation) checkAtMostOnce(t *rapid.T) {
	for k, values := range s.runs {
		if len(values) > 1 {
			t.Fatalf("key %q ran %d times: %v", k.Key, len(values), values)
		}
	}
}

// checkLinearizable compares the responses to callers with a model in which each key runs at most once.
func (s *simulation) checkLinearizable(t *rapid.T) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
			parts := map[any][]porcupine.Operation{}
			for _, o := range h {
				parts[o.Input] = append(parts[o.Input], o)
			}
			var out [][]porcupine.Operation
			for _, p := range parts {
				out = append(out, p)
			}
			return out
		},
		Step: func(state, input, output any) []any {
			runs := s.runs[input.(peerapi.CallKey)]
			switch {
			case output == nil || output == "unknown":
				if state == "" && len(runs) > 0 {
					return []any{"", runs[0]}
				}
				return []any{state}
			case output == "no":
				if state == "" {
					return []any{""}
				}
				return nil
			case state == "" || state == output:
				return []any{output}
			}
			return nil
		},
	}
	if !porcupine.CheckOperations(model.ToModel(), s.history) {
		t.Fatalf("the responses to callers are not linearizable: %v", s.history)
	}
}

// TestKeyedCallsRunAtMostOnce guards against a key that runs twice, and against a false refusal, under lost, delayed,
// duplicated and reordered messages, crashes, pauses with replacement, and changes of servers.
func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer invariant.OnViolation(func(v *invariant.ViolationError) { t.Fatal(v) })()
		s := newSimulation(t)
		deliver := func(*rapid.T) { s.deliver() }
		t.Repeat(map[string]func(*rapid.T){
			"call": func(*rapid.T) { s.newCall() }, "finish": func(*rapid.T) { s.finishRun() },
			"deliver1": deliver, "deliver2": deliver, "deliver3": deliver, "deliver4": deliver, "deliver5": deliver,
			"late": func(*rapid.T) { s.timeOutClaim() }, "replace": func(*rapid.T) { s.restartServer() },
			"copy1": func(*rapid.T) { s.copyShard() }, "copy2": func(*rapid.T) { s.copyShard() },
			"change": func(*rapid.T) { s.changeServers() },
			"hold1":  func(*rapid.T) { s.recordHeld() }, "hold2": func(*rapid.T) { s.recordHeld() },
			"adopt1": func(*rapid.T) { s.applyNextView() }, "adopt2": func(*rapid.T) { s.applyNextView() },
			"newest1": func(*rapid.T) { s.deliverNewest() }, "newest2": func(*rapid.T) { s.deliverNewest() },
			"": s.checkAtMostOnce,
		})
		s.checkLinearizable(t)
	})
}
