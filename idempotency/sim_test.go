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

// process is one incarnation of a server in the simulation. A process that was replaced may still be alive.
type process struct {
	table *Table
	view  int
}

type message struct {
	to      string
	request func(p *process) // run by the process that gets it
}

type simCall struct {
	at        *process
	key       peerapi.CallKey
	digest    peerapi.Digest
	claim     *Claim
	withdrawn []peerapi.Attempt
	begun     bool
	answer    string
	op        int
}

// sim runs tables against a network that loses, repeats and reorders messages.
type sim struct {
	t       *rapid.T
	now     time.Time
	views   []View
	live    map[string]*process
	paused  []*process
	network []message
	calls   []*simCall
	// records stand for the records of incarnations in the key-value service.
	records map[string]*simRecord
	runs    map[peerapi.CallKey][]string
	history []porcupine.Operation
	clock   int64
}

// simRecord is the record of a server: its newest incarnation, and whether it has held keys.
type simRecord struct {
	incarnation int64
	held        bool
}

func member(name string) cluster.Member { return cluster.Member{Name: name, Domain: "domain-" + name} }

func newSim(t *rapid.T) *sim {
	s := &sim{
		t: t, now: time.Unix(0, 0), live: map[string]*process{}, runs: map[peerapi.CallKey][]string{},
		records: map[string]*simRecord{},
		views:   []View{{Service: "shed", Epoch: 1, Servers: []cluster.Member{member("a"), member("b"), member("c")}}},
	}
	for _, n := range []string{"a", "b", "c", "d"} {
		s.records[n] = &simRecord{}
		// Servers may have been restarted before the service was made.
		s.start(n, rapid.Int64Range(1, 2).Draw(t, "incarnation"))
	}
	return s
}

func (s *sim) start(name string, incarnation int64) {
	record := s.records[name]
	record.incarnation = incarnation
	held := record.held
	p := &process{table: NewTable(peerapi.Peer{Server: name, Incarnation: incarnation}, Options{
		HeldBefore: func(string) bool { return held }, RecordHeld: true,
	}, s.now)}
	p.table.held["shed"] = held
	// A process that starts may get an old configuration from a peer that lags.
	p.view = rapid.IntRange(max(0, len(s.views)-2), len(s.views)-1).Draw(s.t, "view")
	p.table.SetView(s.now, s.views[p.view])
	s.live[name] = p
}

// hold records a service as held, unless a later incarnation has taken the record over.
func (s *sim) hold() {
	p := s.anyProcess(s.server())
	record := s.records[p.table.self.Server]
	if len(p.table.Unrecorded()) > 0 && record.incarnation == p.table.self.Incarnation {
		record.held = true
		p.table.Hold("shed")
	}
}

func (s *sim) tick() int64 { s.clock++; return s.clock }

func (s *sim) server() string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(s.t, "server")
}

// anyProcess returns the live process or a paused predecessor that still runs.
func (s *sim) anyProcess(name string) *process {
	candidates := []*process{s.live[name]}
	for _, p := range s.paused {
		if p.table.self.Server == name {
			candidates = append(candidates, p)
		}
	}
	return rapid.SampledFrom(candidates).Draw(s.t, "process")
}

func (s *sim) alive(p *process) bool {
	return s.live[p.table.self.Server] == p || slices.Contains(s.paused, p)
}

func (s *sim) send(to string, fn func(*process)) {
	s.network = append(s.network, message{to, fn})
}

// reply goes over the connection of the request, so only the incarnation that asked can get it.
func (s *sim) reply(p *process, fn func()) {
	s.send(p.table.self.Server, func(*process) {
		if s.alive(p) {
			fn()
		}
	})
}

func (s *sim) newCall() {
	key := simKey
	c := &simCall{at: s.anyProcess(s.server()), key: key, op: len(s.history)}
	s.history = append(s.history, porcupine.Operation{ClientId: c.op, Input: key, Call: s.tick(), Return: math.MaxInt64})
	s.calls = append(s.calls, c)
	s.startCall(c)
}

func (s *sim) startCall(c *simCall) {
	start := c.at.table.Start(s.now, c.key, c.digest, c.withdrawn)
	switch start.Kind {
	case StartClaim:
		c.claim = start.Claim
		for _, m := range c.claim.Peers {
			s.sendClaim(c, c.claim, m.Name)
		}
		s.step(c, false)
	case StartAsk:
		s.ask(c, start.Attempt)
	case StartReplay:
		s.end(c, string(start.Outcome.Result.Body))
	default:
		s.end(c, "unknown")
	}
}

func (s *sim) sendClaim(c *simCall, claim *Claim, to string) {
	q := claim.Request(c.withdrawn)
	s.send(to, func(p *process) {
		r := p.table.Verdict(s.now, q)
		s.reply(c.at, func() {
			c.at.table.Receive(claim, r)
			if c.claim == claim {
				s.step(c, false)
			}
		})
	})
}

func (s *sim) step(c *simCall, late bool) {
	if c.answer != "" || c.begun || c.claim == nil {
		return
	}
	next, outcome, attempt := c.at.table.Step(c.claim, late)
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
	case NextAsk:
		s.withdraw(c)
		s.ask(c, *attempt)
	case NextReused:
		s.t.Fatal("one digest was taken for another")
	case NextRefuse:
		absent := c.at.table.Absent(c.claim)
		if absent {
			c.at.table.Refusal(c.claim)
		}
		s.withdraw(c)
		s.end(c, map[bool]string{true: "no", false: "unknown"}[absent])
	}
}

func (s *sim) withdraw(c *simCall) {
	if !c.at.table.Withdraw(c.claim) {
		return
	}
	release := c.claim.Release()
	for _, m := range c.claim.Peers {
		s.send(m.Name, func(p *process) { p.table.Release(release) })
	}
	c.claim = nil
}

func (s *sim) ask(c *simCall, a peerapi.Attempt) {
	q := peerapi.AttemptRequest{From: c.at.table.self, Key: c.key, Digest: c.digest, Attempt: a}
	s.send(a.Server, func(p *process) {
		r := p.table.Ask(q)
		s.reply(c.at, func() { s.asked(c, a, r) })
	})
}

func (s *sim) asked(c *simCall, a peerapi.Attempt, r peerapi.AttemptResponse) {
	c.at.table.Observe(r.From)
	if c.answer != "" || c.claim != nil {
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

func (s *sim) end(c *simCall, answer string) {
	if c.answer != "" {
		return
	}
	c.answer = answer
	s.history[c.op].Output = answer
	if answer != "unknown" {
		s.history[c.op].Return = s.tick()
	}
}

func (s *sim) finishRun() {
	for _, c := range s.calls {
		if !c.begun || c.answer != "" || !s.alive(c.at) {
			continue
		}
		if rapid.IntRange(0, 3).Draw(s.t, "not run") == 0 {
			c.at.table.NotRun(c.claim)
			s.end(c, "unknown")
			return
		}
		value := fmt.Sprintf("%s/%d/%d", c.at.table.self.Server, c.at.table.self.Incarnation, c.claim.Attempt.Number)
		s.runs[c.key] = append(s.runs[c.key], value)
		o := peerapi.Outcome{Result: &peerapi.CallResult{Status: 200, Body: []byte(value)}}
		record := c.at.table.Done(s.now, c.claim, o)
		for _, m := range c.claim.Peers {
			s.send(m.Name, func(p *process) { p.table.Store(s.now, record) })
		}
		s.end(c, value)
		return
	}
}

func (s *sim) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.network)-1).Draw(s.t, "message")
	m := s.network[i]
	fate := rapid.IntRange(0, 19).Draw(s.t, "fate")
	if fate != 0 { // Otherwise it stays and will be delivered again.
		s.network = slices.Delete(s.network, i, i+1)
	}
	if fate != 1 { // Otherwise it is lost.
		m.request(s.anyProcess(m.to))
	}
}

func (s *sim) lateStep() {
	for _, c := range s.calls {
		if c.claim != nil && !c.begun && c.answer == "" && s.alive(c.at) && rapid.Bool().Draw(s.t, "late") {
			s.step(c, true)
			return
		}
	}
}

// replace starts a new incarnation. The one before dies, or is only paused and wakes later.
func (s *sim) replace() {
	name := s.server()
	old := s.live[name]
	for _, p := range s.live {
		sh := p.table.shards[shardID{"shed", simShard}]
		if p != old && sh != nil && !p.table.judges("shed", sh) && rapid.IntRange(0, 7).Draw(s.t, "two at once") > 0 {
			return
		}
	}
	if rapid.Bool().Draw(s.t, "paused") {
		s.paused = append(s.paused, old)
	}
	s.start(name, old.table.self.Incarnation+1)
}

func (s *sim) copyShard() {
	p := s.live[s.server()]
	for _, need := range p.table.CopyNeeds(s.now) {
		if need.Shard != simShard {
			continue
		}
		for _, m := range need.From {
			s.pull(p, need, m.Name)
			if rapid.IntRange(0, 3).Draw(s.t, "at once") > 0 {
				s.deliverLast()
				s.deliverLast()
			}
		}
	}
}

// deliverLast delivers the newest message to the live process, so that longer exchanges get to their end.
func (s *sim) deliverLast() {
	n := len(s.network) - 1
	if n < 0 {
		return
	}
	m := s.network[n]
	s.network = s.network[:n]
	m.request(s.live[m.to])
}

var simKey = peerapi.CallKey{Service: "shed", Customer: "crew", Key: "k1"}

var simShard = ShardOf(simKey)

func (s *sim) pull(p *process, need CopyNeed, from string) {
	s.send(from, func(source *process) {
		r := source.table.Export(s.now, p.table.self, peerapi.PullRange{Service: need.Service, Shard: need.Shard}, 100)
		s.reply(p, func() {
			if Usable(r, need.Epoch) {
				p.table.Import(s.now, r.From, r.Records)
				p.table.Copied(s.now, need, r.From)
			}
		})
	})
}

func (s *sim) changeServers() {
	last := s.views[len(s.views)-1]
	if len(last.Previous) > 0 {
		s.clearPrevious(last)
		return
	}
	next := View{Service: "shed", Epoch: last.Epoch + 1, Previous: last.Servers}
	out := rapid.SampledFrom(last.Servers).Draw(s.t, "out")
	for _, n := range []string{"a", "b", "c", "d"} {
		if n != out.Name {
			next.Servers = append(next.Servers, member(n))
		}
	}
	s.views = append(s.views, next)
}

func (s *sim) clearPrevious(v View) {
	for _, m := range v.Servers {
		table := s.live[m.Name].table
		if sh := table.shards[shardID{"shed", simShard}]; table.epoch("shed") != v.Epoch || (sh != nil && !table.judges("shed", sh)) {
			return
		}
	}
	v.Previous = nil
	s.views = append(s.views, v)
}

func (s *sim) adopt() {
	p := s.anyProcess(s.server())
	if p.view < len(s.views)-1 {
		p.view++
		p.table.SetView(s.now, s.views[p.view])
	}
}

// check is run after every action.
func (s *sim) check(t *rapid.T) {
	for k, values := range s.runs {
		if len(values) > 1 {
			t.Fatalf("key %q ran %d times: %v", k.Key, len(values), values)
		}
	}
}

// linearizable compares what callers were told with a model in which each key runs zero or one times.
func (s *sim) linearizable(t *rapid.T) {
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
		t.Fatalf("what callers were told cannot be true: %v", s.history)
	}
}

// TestKeyedCallsRunAtMostOnce guards against a key that runs twice, and against a false refusal, under lost, late,
// doubled and crossed messages, deaths, pauses with replacement, and changes of the servers.
func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer invariant.OnViolation(func(v *invariant.ViolationError) { t.Fatal(v) })()
		s := newSim(t)
		deliver := func(*rapid.T) { s.deliver() }
		t.Repeat(map[string]func(*rapid.T){
			"call": func(*rapid.T) { s.newCall() }, "finish": func(*rapid.T) { s.finishRun() },
			"deliver1": deliver, "deliver2": deliver, "deliver3": deliver, "deliver4": deliver, "deliver5": deliver,
			"late": func(*rapid.T) { s.lateStep() }, "replace": func(*rapid.T) { s.replace() },
			"copy1": func(*rapid.T) { s.copyShard() }, "copy2": func(*rapid.T) { s.copyShard() },
			"change": func(*rapid.T) { s.changeServers() },
			"hold1":  func(*rapid.T) { s.hold() }, "hold2": func(*rapid.T) { s.hold() },
			"adopt1": func(*rapid.T) { s.adopt() }, "adopt2": func(*rapid.T) { s.adopt() },
			"newest1": func(*rapid.T) { s.deliverLast() }, "newest2": func(*rapid.T) { s.deliverLast() },
			"": s.check,
		})
		s.linearizable(t)
	})
}
