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
	Layers      = 2
	Experts     = 8
	ExpertSlots = 4
	// MaxNewPerLayer is the number of new experts of a layer that a rank takes with one map.
	MaxNewPerLayer = 2
	expertLoadTime = 40 * time.Millisecond
	// passTime is that of a group with ranks that are well.
	passTime = 12 * time.Millisecond
	// reportLag is the age of a report that another instance gets.
	reportLag = 200 * time.Millisecond
	// rankTimeout is how long a group waits for a rank that is down before it breaks, formTime how long it takes to open
	// again.
	rankTimeout = 600 * time.Millisecond
	reformTime  = 300 * time.Millisecond
)

// Faults are the failures of one replica. The zero value has none.
type Faults struct {
	// Down replicas cut every connection.
	Down bool `json:"down"`
	// Pace above 1 makes the replica slow.
	Pace float64 `json:"pace"`
	// BreakAfter breaks streams off in the middle of an event after so many, 0 for never.
	BreakAfter int `json:"break_after"`
	// LoseResponses is the number of requests to come that run and whose answer is lost.
	LoseResponses int `json:"lose_answers"`
	// DelayOrders is the number of orders to come that get no answer and are carried out half a second late.
	DelayOrders int `json:"late_orders"`
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
	faults                  Faults
	startedAt               time.Time // When the replica started.
	version, highestVersion int64
	experts, nextExperts    [][]int
	preparedVersion         int64
	preparedAt              time.Time
	armed                   *armed
	heldPass                *int64
	fencingToken            int64
	expertCounts            []int64
	running                 int
	// reports are recent ones, oldest first, for other instances.
	reports []timedReport
}

type timedReport struct {
	at   time.Time
	body json.RawMessage
}

// Group is a group of ranks. Its methods may be called from any goroutine.
type Group struct {
	mu      sync.Mutex
	ranks   []*rank
	pass    int64
	epoch   int64
	serving bool
	// stateSince is when a rank went down, or when the group began to form.
	stateSince time.Time
	// passStarted is closed with each pass, and when the group breaks.
	passStarted chan struct{}
	violations  []string
	// consecutiveHolds counts the passes that a hold has put off in a row.
	consecutiveHolds, maxConsecutiveHolds int
	switches                              int
}

// NewGroup returns an open group of idle ranks.
func NewGroup(n int) *Group {
	g := &Group{passStarted: make(chan struct{}), epoch: 1, serving: true}
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
		g.ranks[i] = &rank{faults: r.faults, startedAt: r.startedAt, experts: content, expertCounts: r.expertCounts, running: r.running}
		if g.ranks[i].expertCounts == nil {
			g.ranks[i].expertCounts = make([]int64, Layers*Experts)
		}
	}
}

// Run begins passes until the context ends.
func (g *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(g.tryPass(time.Now()))
	}
}

// tryPass begins the next pass if it can, and returns the time until the one after it.
func (g *Group) tryPass(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordReports(now)
	if !g.updateState(now) || !g.hasRequests() {
		return passTime
	}
	next, pace := g.pass+1, 1.0
	for _, r := range g.ranks {
		if r.heldPass != nil && *r.heldPass == next {
			g.consecutiveHolds++
			g.maxConsecutiveHolds = max(g.maxConsecutiveHolds, g.consecutiveHolds)
			return passTime
		}
		pace = max(pace, r.faults.Pace)
	}
	g.consecutiveHolds, g.pass = 0, next
	g.applySwitches()
	close(g.passStarted)
	g.passStarted = make(chan struct{})
	return time.Duration(pace * float64(passTime))
}

// updateState breaks the group when a rank is down, and opens it again. It returns false while no pass can begin.
func (g *Group) updateState(now time.Time) bool {
	down := slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.faults.Down })
	if g.stateSince.IsZero() {
		if down {
			g.stateSince = now
		}
		return !down
	}
	switch {
	case g.serving && !down:
		g.stateSince = time.Time{}
	case g.serving && now.Sub(g.stateSince) > rankTimeout:
		g.serving = false
		close(g.passStarted)
		g.passStarted = make(chan struct{})
		g.stateSince = now
	case !g.serving && down:
		g.stateSince = now
	case !g.serving && now.Sub(g.stateSince) > reformTime:
		g.serving, g.stateSince = true, time.Time{}
		g.epoch++
		g.reset()
	}
	return g.serving && !down
}

func (g *Group) hasRequests() bool {
	return slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.running > 0 })
}

// applySwitches carries out what is armed for this pass and checks that all ranks have the same map.
func (g *Group) applySwitches() {
	before := g.ranks[0].version
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Step <= g.pass {
			r.version, r.experts = r.armed.Version, r.nextExperts
			r.armed, r.preparedVersion = nil, 0
		}
	}
	held := map[int]bool{}
	for i, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.recordViolation("pass %d begins with map %d at rank 0 and map %d at rank %d", g.pass, g.ranks[0].version, r.version, i)
		}
		for _, e := range r.experts[0] {
			held[e] = true
		}
	}
	if len(held) < Experts {
		g.recordViolation("pass %d begins with %d of %d experts", g.pass, len(held), Experts)
	}
	if g.ranks[0].version != before {
		g.switches++
	}
}

func (g *Group) recordViolation(format string, args ...any) {
	g.violations = append(g.violations, fmt.Sprintf(format, args...))
}

// countExperts adds what one event of a stream chose. Its content decides on the experts.
func (g *Group) countExperts(i int, content string) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(content)) // A hash takes every write.
	first := int(h.Sum32() % Experts)
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range Layers {
		g.ranks[i].expertCounts[l*Experts+first] += 600
		g.ranks[i].expertCounts[l*Experts+(first+1)%Experts] += 200
	}
}

// waitForPass waits for the waitForPass pass. It returns false when the group has broken or the context has ended.
func (g *Group) waitForPass(ctx context.Context) bool {
	g.mu.Lock()
	begun, epoch := g.passStarted, g.epoch
	g.mu.Unlock()
	select {
	case <-begun:
	case <-ctx.Done():
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serving && g.epoch == epoch
}

// Counts are what a group did since its start.
type Counts struct {
	Pass     int64 `json:"pass"`
	Switches int   `json:"switches"`
	// ConsecutiveHolds is the number of passes in a row that a hold has put off, LongestStanding the most of them.
	ConsecutiveHolds    int      `json:"standing"`
	MaxConsecutiveHolds int      `json:"longest_standing"`
	Violations          []string `json:"violations"`
}

// Counts returns the counts.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{
		Pass: g.pass, Switches: g.switches, ConsecutiveHolds: g.consecutiveHolds, MaxConsecutiveHolds: g.maxConsecutiveHolds,
		Violations: slices.Clone(g.violations),
	}
}
