// Package replicaserver is a stand-in for the replicas of the users' platform. Model replicas are the ranks of a group:
// they run passes in lock-step and execute orders that change the expert map. Other replicas serve a plain service. All
// replicas register in the store, record every run, and can inject the failures of real replicas.
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

// Shape of the expert maps, and timing of the groups.
const (
	Layers  = 2
	Experts = 8
	// ExpertSlots is the number of expert slots per layer of a rank.
	ExpertSlots = 4
	// MaxNewPerLayer is the maximum number of new experts per layer that a rank transfers for one map.
	MaxNewPerLayer = 2
	// expertTransferTime is the time that a rank needs to prepare a map.
	expertTransferTime = 40 * time.Millisecond
	// passTime is the pass time of a group without slow ranks.
	passTime = 12 * time.Millisecond
	// reportLag is the age of the reports that other instances get.
	reportLag = 200 * time.Millisecond
	// rankTimeout is the time for which a group waits for a rank that is down before the group fails. reformTime is the
	// time that a failed group needs to form again once all ranks are up.
	rankTimeout = 600 * time.Millisecond
	reformTime  = 300 * time.Millisecond
	// crashTime is the time between a crash of a replica and its next start.
	crashTime = time.Second
)

// Faults are the injected faults of one replica. The zero value injects none.
type Faults struct {
	// Down makes the replica close every connection without a response.
	Down bool `json:"down"`
	// Pace above 1 is the factor by which the replica lengthens its group's passes.
	Pace float64 `json:"pace"`
	// BreakAfter is the number of events after which streams break off in the middle of the next one; 0 means never.
	BreakAfter int `json:"break_after"`
	// LoseResponses is the number of upcoming plain requests whose response is lost after they are executed.
	LoseResponses int `json:"lose_answers"`
	// DelayOrders is the number of upcoming orders that get no response and are executed half a second late.
	DelayOrders int `json:"late_orders"`
	// Draining makes the replica report in the store that it is draining. When Draining, Down or Leaving ends, the
	// replica counts as restarted.
	Draining bool `json:"draining"`
	// Leaving makes the replica report that it is leaving only in its responses, not in the store.
	Leaving bool `json:"leaving"`
	// DeadlyPart is a part of prompts. The replica crashes when it begins to answer a prompt that holds it, and starts
	// again after crashTime.
	DeadlyPart string `json:"deadly_part"`
	// DeadlyBody is the body of a request on which the replica crashes in the same way.
	DeadlyBody string `json:"deadly_body"`
	// RetryAfterMs above 0 makes the replica refuse requests with this Retry-After time.
	RetryAfterMs int64 `json:"retry_after_ms"`
	// StatusLine, if it is not empty, is what follows the protocol in the response to each request that the replica has
	// executed, such as "000 Zero". The connection stays open after it.
	StatusLine string `json:"status_line"`
	// PaddingBytes is the number of bytes that follow the text of each plain response.
	PaddingBytes int64 `json:"padding_bytes"`
	// Cold makes the replica cold for a while. The replica's entry and its health check say so.
	Cold Cold `json:"cold"`
	// Limit is the text of the header LimitHeader in all responses, which have none if it is empty. The replica itself
	// enforces no limit.
	Limit string `json:"limit"`
}

// armedSwitch is a switch to a prepared map at the start of pass Step.
type armedSwitch struct {
	Version int64
	Step    int64 `json:"step"`
}

// rank is the state of one model replica, guarded by its group's mutex.
type rank struct {
	faults                  Faults
	startedAt               time.Time
	version, highestVersion int64
	experts, nextExperts    [][]int
	preparedVersion         int64
	preparedAt              time.Time
	armed                   *armedSwitch
	heldPass                *int64
	fencingToken            int64
	expertCounts            []int64
	running                 int
	// reports are the recent reports, oldest first. Other instances get the first one.
	reports []timedReport
}

type timedReport struct {
	at   time.Time
	body json.RawMessage
}

// Group is a group of ranks. It is safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	ranks   []*rank
	pass    int64
	epoch   int64
	serving bool
	// stateSince is the time when a rank went down, or when the group began to form. It is zero in normal operation.
	stateSince time.Time
	// passStarted is closed and replaced at the start of each pass, and when the group fails.
	passStarted chan struct{}
	violations  []string
	crashes     int
	// consecutiveHolds is the number of consecutive attempts to start a pass that a hold has prevented.
	consecutiveHolds, maxConsecutiveHolds int
	switches                              int
}

// NewGroup returns a serving group of n idle ranks.
func NewGroup(n int) *Group {
	g := &Group{passStarted: make(chan struct{}), epoch: 1, serving: true}
	for range n {
		g.ranks = append(g.ranks, &rank{})
	}
	g.reset()
	return g
}

// reset gives the ranks map 0, which assigns the experts round-robin. It drops their prepared and armed maps, holds,
// fencing tokens and reports.
func (g *Group) reset() {
	for i, r := range g.ranks {
		experts := make([][]int, Layers)
		for l := range experts {
			for e := i; e < Experts; e += len(g.ranks) {
				experts[l] = append(experts[l], e)
			}
		}
		g.ranks[i] = &rank{
			faults: r.faults, startedAt: r.startedAt, experts: experts, expertCounts: r.expertCounts, running: r.running,
		}
		if g.ranks[i].expertCounts == nil {
			g.ranks[i].expertCounts = make([]int64, Layers*Experts)
		}
	}
}

// Run runs passes until the context ends.
func (g *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(g.tryPass(time.Now()))
	}
}

// tryPass starts the next pass if possible, and returns the time until the next attempt.
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

// updateState makes the group fail if a rank is down for longer than rankTimeout, and serve again once all ranks have
// been up for reformTime. It returns false while no pass can start.
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

// applySwitches executes the switches that are armed for this pass and checks that all ranks use the same map.
func (g *Group) applySwitches() {
	oldVersion := g.ranks[0].version
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Step <= g.pass {
			r.version, r.experts = r.armed.Version, r.nextExperts
			r.armed, r.preparedVersion = nil, 0
		}
	}
	hosted := map[int]bool{}
	for i, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.recordViolation("pass %d begins with map %d at rank 0 and map %d at rank %d", g.pass, g.ranks[0].version, r.version, i)
		}
		for _, e := range r.experts[0] {
			hosted[e] = true
		}
	}
	if len(hosted) < Experts {
		g.recordViolation("pass %d begins with %d of %d experts", g.pass, len(hosted), Experts)
	}
	if g.ranks[0].version != oldVersion {
		g.switches++
	}
}

func (g *Group) recordViolation(format string, args ...any) {
	g.violations = append(g.violations, fmt.Sprintf(format, args...))
}

// countExperts counts the expert activations of one event of a stream. The content determines the two experts per
// layer.
func (g *Group) countExperts(i int, content string) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(content)) // Writes to a hash never fail.
	expert := int(h.Sum32() % Experts)
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range Layers {
		g.ranks[i].expertCounts[l*Experts+expert] += 600
		g.ranks[i].expertCounts[l*Experts+(expert+1)%Experts] += 200
	}
}

// waitForPass waits for the next pass. It returns false if the group has failed or the context has ended.
func (g *Group) waitForPass(ctx context.Context) bool {
	g.mu.Lock()
	passStarted, epoch := g.passStarted, g.epoch
	g.mu.Unlock()
	select {
	case <-passStarted:
	case <-ctx.Done():
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serving && g.epoch == epoch
}

// Counts are the counters of a group since its start.
type Counts struct {
	Pass     int64 `json:"pass"`
	Switches int   `json:"switches"`
	// ConsecutiveHolds is the number of consecutive attempts to start a pass that a hold has prevented,
	// MaxConsecutiveHolds the maximum so far.
	ConsecutiveHolds    int      `json:"standing"`
	MaxConsecutiveHolds int      `json:"longest_standing"`
	Violations          []string `json:"violations"`
	// Crashes counts the crashes by a deadly part of a prompt.
	Crashes int `json:"crashes"`
}

// Counts returns the group's counters.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{
		Pass: g.pass, Switches: g.switches, ConsecutiveHolds: g.consecutiveHolds, MaxConsecutiveHolds: g.maxConsecutiveHolds,
		Violations: slices.Clone(g.violations), Crashes: g.crashes,
	}
}

func (g *Group) countCrash() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes++
}
