// Package replicaserver is a stand-in of the replicas of the users' platform: model replicas that are ranks of a group, make
// passes together and take orders for expert maps, and the replicas of a plain service. They register themselves in the
// store, note every run, and can be told to fail in the ways in which real ones do.
package replicaserver

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

// Shape of the groups' expert maps, and times.
const (
	Layers  = 2
	Experts = 8
	Places  = 4
	// MaxNew is the number of new experts of a layer that a rank takes with one map.
	MaxNew   = 2
	copyTime = 40 * time.Millisecond
	// passTime is that of a group with ranks that are well.
	passTime = 12 * time.Millisecond
	// reportLag is the age of a report that another instance gets.
	reportLag = 200 * time.Millisecond
	// stallTime is how long a group waits for a rank that is down before it breaks, formTime how long it takes to open
	// again.
	stallTime = 600 * time.Millisecond
	formTime  = 300 * time.Millisecond
)

// Faults are the failures of one replica. The zero value has none.
type Faults struct {
	// Down replicas cut every connection.
	Down bool `json:"down"`
	// Pace above 1 makes the replica slow.
	Pace float64 `json:"pace"`
	// BreakAfter breaks streams off in the middle of an event after so many, 0 for never.
	BreakAfter int `json:"break_after"`
	// LoseAnswers is the number of requests to come that run and whose answer is lost.
	LoseAnswers int `json:"lose_answers"`
	// LateOrders is the number of orders to come that get no answer and are carried out half a second late.
	LateOrders int `json:"late_orders"`
	// Draining replicas say so in the store. One that does not drain any more has started anew, as has one that was down or left.
	Draining bool `json:"draining"`
	// Leaving replicas say so in their answers only.
	Leaving bool `json:"leaving"`
	// RetryAfterMs above 0 makes a replica refuse requests, and want none for so long.
	RetryAfterMs int64 `json:"retry_after_ms"`
}

type armed struct {
	Version int64
	Step    int64 `json:"step"`
}

// rank is the state of one model replica, guarded by its group.
type rank struct {
	faults        Faults
	born          time.Time // When the replica started.
	version, top  int64
	content, next [][]int
	prepared      int64
	preparedAt    time.Time
	armed         *armed
	held          *int64
	fence         int64
	counts        []int64
	running       int
	// reports are recent ones, oldest first, for other instances.
	reports []timedReport
}

type timedReport struct {
	at   time.Time
	body json.RawMessage
}

// Group is a group of ranks. Its methods may be called from any goroutine.
type Group struct {
	mu    sync.Mutex
	ranks []*rank
	pass  int64
	epoch int64
	open  bool
	// since is when a rank went down, or when the group began to form.
	since time.Time
	// begun is closed with each pass, and when the group breaks.
	begun      chan struct{}
	violations []string
	// standing counts the passes that a hold has put off in a row.
	standing, longest int
	switches          int
}

// NewGroup returns an open group of idle ranks.
func NewGroup(n int) *Group {
	g := &Group{begun: make(chan struct{}), epoch: 1, open: true}
	for range n {
		g.ranks = append(g.ranks, &rank{})
	}
	g.reset()
	return g
}

// reset gives the ranks map 0, which assigns the experts in turn.
func (g *Group) reset() {
	for i, r := range g.ranks {
		content := make([][]int, Layers)
		for l := range content {
			for e := i; e < Experts; e += len(g.ranks) {
				content[l] = append(content[l], e)
			}
		}
		g.ranks[i] = &rank{faults: r.faults, born: r.born, content: content, counts: r.counts, running: r.running}
		if g.ranks[i].counts == nil {
			g.ranks[i].counts = make([]int64, Layers*Experts)
		}
	}
}

// Run begins passes until the context ends.
func (g *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(g.step(time.Now()))
	}
}

// step begins the next pass if it can, and returns the time until the one after it.
func (g *Group) step(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remember(now)
	if !g.alive(now) || !g.busy() {
		return passTime
	}
	next, pace := g.pass+1, 1.0
	for _, r := range g.ranks {
		if r.held != nil && *r.held == next {
			g.standing++
			g.longest = max(g.longest, g.standing)
			return passTime
		}
		pace = max(pace, r.faults.Pace)
	}
	g.standing, g.pass = 0, next
	g.begin()
	close(g.begun)
	g.begun = make(chan struct{})
	return time.Duration(pace * float64(passTime))
}

// alive breaks the group when a rank is down, and opens it again. It returns false while no pass can begin.
func (g *Group) alive(now time.Time) bool {
	down := slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.faults.Down })
	if g.since.IsZero() {
		if down {
			g.since = now
		}
		return !down
	}
	switch {
	case g.open && !down:
		g.since = time.Time{}
	case g.open && now.Sub(g.since) > stallTime:
		g.open = false
		close(g.begun)
		g.begun = make(chan struct{})
		g.since = now
	case !g.open && down:
		g.since = now
	case !g.open && now.Sub(g.since) > formTime:
		g.open, g.since = true, time.Time{}
		g.epoch++
		g.reset()
	}
	return g.open && !down
}

func (g *Group) busy() bool {
	return slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.running > 0 })
}

// begin carries out what is armed for this pass and checks that all ranks have the same map.
func (g *Group) begin() {
	before := g.ranks[0].version
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Step <= g.pass {
			r.version, r.content = r.armed.Version, r.next
			r.armed, r.prepared = nil, 0
		}
	}
	held := map[int]bool{}
	for i, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.violate("pass %d begins with map %d at rank 0 and map %d at rank %d", g.pass, g.ranks[0].version, r.version, i)
		}
		for _, e := range r.content[0] {
			held[e] = true
		}
	}
	if len(held) < Experts {
		g.violate("pass %d begins with %d of %d experts", g.pass, len(held), Experts)
	}
	if g.ranks[0].version != before {
		g.switches++
	}
}

func (g *Group) violate(format string, args ...any) {
	g.violations = append(g.violations, fmt.Sprintf(format, args...))
}

// count adds what one event of a stream chose. Its content decides on the experts.
func (g *Group) count(i int, content string) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(content)) // A hash takes every write.
	first := int(h.Sum32() % Experts)
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range Layers {
		g.ranks[i].counts[l*Experts+first] += 600
		g.ranks[i].counts[l*Experts+(first+1)%Experts] += 200
	}
}

// next waits for the next pass. It returns false when the group has broken or the context has ended.
func (g *Group) next(ctx context.Context) bool {
	g.mu.Lock()
	begun, epoch := g.begun, g.epoch
	g.mu.Unlock()
	select {
	case <-begun:
	case <-ctx.Done():
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open && g.epoch == epoch
}

// Counts are what a group did since its start.
type Counts struct {
	Pass     int64 `json:"pass"`
	Switches int   `json:"switches"`
	// Standing is the number of passes in a row that a hold has put off, LongestStanding the most of them.
	Standing        int      `json:"standing"`
	LongestStanding int      `json:"longest_standing"`
	Violations      []string `json:"violations"`
}

// Counts returns the counts.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{
		Pass: g.pass, Switches: g.switches, Standing: g.standing, LongestStanding: g.longest,
		Violations: slices.Clone(g.violations),
	}
}
