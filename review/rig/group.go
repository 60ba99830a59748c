package rig

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Figures of the model service: those of the small deployment for the skimming crews.
const (
	Ranks       = 12
	Sets        = 4
	Experts     = 72
	Places      = 8
	Spare       = 3
	Slots       = 12
	Stride      = 4
	stepMs      = 4.55
	perSeqMs    = 0.905
	expertShare = 0.85
	// expertCopy is the time that a rank needs to copy one expert: ExpertMb over LinkMbps.
	expertCopy = 98 * time.Millisecond
	reportLag  = 200 * time.Millisecond
	// choicesPerEvent is how often an event of a stream chooses an expert in each set: tokens x picks.
	choicesPerEvent = 160
)

type armed struct {
	Version int64
	Step    int64 `json:"step"`
}

type rank struct {
	version    int64
	experts    [][]int // By set.
	highest    int64
	prepared   int64
	next       [][]int
	preparedAt time.Time
	armed      *armed
	held       *int64
	fence      int64
	seq        int64
	counts     []int64
	running    int
	born       time.Time
	reports    []timedReport
}

type timedReport struct {
	at   time.Time
	body []byte
}

// Group is a group of ranks that run passes in lock-step, as PROTOCOL.md describes it. It is sound: it answers every
// order at once and carries it out at once.
type Group struct {
	Name string
	// Late returns how much later an order to a rank is carried out without an answer, 0 for an order that is answered.
	// It is nil without that disruption.
	Late func(rank int, operation string) time.Duration

	rec   *Record
	mu    sync.Mutex
	ranks []*rank
	step  int64
	epoch int64
	// popular is the order of the experts by popularity, by set. It changes over time.
	popular [][]int
	begun   chan struct{}
	// mixed lists the passes that began while two ranks had different maps.
	mixed    []string
	switches int
}

// NewGroup returns an open group with map 0, which deals the experts out in turn.
func NewGroup(rec *Record) *Group {
	g := &Group{Name: "g0-0", rec: rec, epoch: 1, begun: make(chan struct{})}
	for i := range Ranks {
		r := &rank{counts: make([]int64, Sets*Experts), born: time.Now()}
		for range Sets {
			var held []int
			for e := i; e < Experts; e += Ranks {
				held = append(held, e)
			}
			r.experts = append(r.experts, held)
		}
		g.ranks = append(g.ranks, r)
	}
	g.shift(1)
	return g
}

// shift changes which experts are in demand.
func (g *Group) shift(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	popular := make([][]int, Sets)
	for s := range popular {
		popular[s] = random.Perm(Experts)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.popular = popular
}

// RunShifts changes which experts are in demand at an interval, until the stop channel is closed.
func (g *Group) RunShifts(interval time.Duration, stop <-chan struct{}) {
	for seed := uint64(2); ; seed++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			g.shift(seed)
		}
	}
}

// Run runs passes until the stop channel is closed.
func (g *Group) Run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(g.tryPass(time.Now())):
		}
	}
}

// idleCheck is the time between two checks whether a pass can begin.
const idleCheck = 2 * time.Millisecond

func (g *Group) tryPass(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordReports(now)
	most := 0
	for _, r := range g.ranks {
		most = max(most, r.running)
	}
	if most == 0 {
		return idleCheck // An idle group makes no passes.
	}
	next := g.step + 1
	for _, r := range g.ranks {
		if r.held != nil && *r.held == next {
			return idleCheck
		}
	}
	g.step = next
	g.switchMaps()
	g.compareMaps()
	close(g.begun)
	g.begun = make(chan struct{})
	own := Stride * (stepMs + perSeqMs*float64(most))
	return time.Duration((1 - expertShare + expertShare*g.imbalance()) * own * float64(time.Millisecond))
}

func (g *Group) switchMaps() {
	switched := false
	for i, r := range g.ranks {
		if r.armed != nil && r.armed.Step == g.step {
			r.version, r.experts, r.armed, r.prepared = r.armed.Version, r.next, nil, 0
			g.rec.Add("group: pass %d: rank %d switches to map %d", g.step, i, r.version)
			switched = true
		}
	}
	if switched {
		g.switches++
	}
}

// compareMaps records a pass that begins while two ranks have different maps, by version or by content. The lists of all
// ranks are one map if each expert is on some rank.
func (g *Group) compareMaps() {
	for i, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.addMixed(fmt.Sprintf("pass %d begins with map %d at rank 0 and map %d at rank %d", g.step, g.ranks[0].version, r.version, i))
			return
		}
	}
	for s := range Sets {
		held := map[int]bool{}
		for _, r := range g.ranks {
			for _, e := range r.experts[s] {
				held[e] = true
			}
		}
		if len(held) < Experts {
			g.addMixed(fmt.Sprintf("pass %d begins with %d of %d experts of set %d on any rank", g.step, len(held), Experts, s))
			return
		}
	}
}

func (g *Group) addMixed(text string) {
	if len(g.mixed) < 20 {
		g.rec.Add("group: MAP BROKEN: %s", text)
	}
	g.mixed = append(g.mixed, text)
}

// imbalance returns the load of the most loaded rank over the mean, averaged over the sets.
func (g *Group) imbalance() float64 {
	total := 0.0
	for s := range Sets {
		copies := make([]float64, Experts)
		for _, r := range g.ranks {
			for _, e := range r.experts[s] {
				copies[e]++
			}
		}
		most, sum := 0.0, 0.0
		for _, r := range g.ranks {
			load := 0.0
			for _, e := range r.experts[s] {
				load += g.weight(s, e) / copies[e]
			}
			most, sum = max(most, load), sum+load
		}
		total += most / (sum / Ranks)
	}
	return total / Sets
}

// weight is the popularity of an expert.
func (g *Group) weight(set, expert int) float64 {
	return 1 / (4 + float64(slices.Index(g.popular[set], expert)))
}

// countEvent counts the experts that one event of a stream chooses.
func (g *Group) countEvent(i int, prompt string, event int) {
	h := fnv.New64a()
	fmt.Fprint(h, prompt, "/", event)
	random := rand.New(rand.NewPCG(h.Sum64(), 3))
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range Sets {
		for range choicesPerEvent {
			place := int(float64(Experts) * random.Float64() * random.Float64())
			g.ranks[i].counts[s*Experts+g.popular[s][place]]++
		}
	}
}

// Mixed returns the passes that began while two ranks had different maps.
func (g *Group) Mixed() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.mixed)
}

// Switches returns the number of passes at which ranks switched.
func (g *Group) Switches() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.switches
}

// ArmedAndIdle reports whether no request runs, no rank holds a pass, and every rank is armed for a pass that has not
// begun.
func (g *Group) ArmedAndIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.running > 0 || r.held != nil || r.armed == nil {
			return false
		}
	}
	return true
}

func (g *Group) addRunning(i, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].running += n
}

func (g *Group) nextPass() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.begun
}

func (g *Group) recordReports(now time.Time) {
	for i, r := range g.ranks {
		if n := len(r.reports); n > 0 && now.Sub(r.reports[n-1].at) < 20*time.Millisecond {
			continue
		}
		r.reports = append(r.reports, timedReport{now, g.report(i, now)})
		for len(r.reports) > 1 && now.Sub(r.reports[1].at) > reportLag {
			r.reports = r.reports[1:]
		}
	}
}

func (g *Group) report(i int, now time.Time) []byte {
	r := g.ranks[i]
	out := map[string]any{
		"Stage": "colocated", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Busy": false,
		"Seq": r.seq, "Waiting": 0, "Running": r.running, "KvUsed": 1000 * r.running, "KvTotal": 280000, "Handles": 0,
		"born": r.born.UnixMilli(), "size": Ranks, "pace": 1, "step": g.step, "Mapping": r.version,
		"group": map[string]any{"Name": g.Name, "epoch": g.epoch, "rank": i, "State": "open"},
	}
	if r.prepared != 0 && !now.Before(r.preparedAt) {
		out["Prepared"] = r.prepared
	}
	if r.armed != nil {
		out["Armed"] = r.armed
	}
	if r.held != nil {
		out["held"] = *r.held
	}
	raw, _ := json.Marshal(out) // Numbers and names only: cannot fail.
	return raw
}

func (g *Group) serveReport(w http.ResponseWriter, i int, own bool) {
	g.mu.Lock()
	body := g.report(i, time.Now())
	if reports := g.ranks[i].reports; !own && len(reports) > 0 {
		body = reports[0].body
	}
	g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (g *Group) servePicked(w http.ResponseWriter, i int, lists bool) {
	g.mu.Lock()
	r := g.ranks[i]
	out := map[string]any{"step": g.step, "epoch": g.epoch, "born": r.born.UnixMilli()}
	if lists {
		out["Mapping"] = map[string]any{"Version": r.version, "Experts": r.experts}
		out["Prepared"] = map[string]any{"Version": r.prepared, "Experts": r.next}
	} else {
		out["ExpertCounts"] = slices.Clone(r.counts)
	}
	g.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

type order struct {
	Operation  string
	Epoch      *int64 `json:"epoch"`
	Version    int64
	Mapping    [][][]int
	Step       int64 `json:"step"`
	FenceToken int64
	Expected   *int64
}

func (g *Group) serveOrder(w http.ResponseWriter, r *http.Request, i int) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	if g.Late != nil {
		if delay := g.Late(i, o.Operation); delay > 0 {
			g.rec.Add("group: rank %d: order %s version %d pass %d fence %d: not answered, carried out %v later", i, o.Operation,
				o.Version, o.Step, o.FenceToken, delay)
			time.AfterFunc(delay, func() { g.execute(i, o) })
			panic(http.ErrAbortHandler) // Ends the connection without an answer.
		}
	}
	status := g.execute(i, o)
	writeJSON(w, status, struct{}{})
}

func (g *Group) execute(i int, o order) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[i]
	status := g.apply(r, i, o)
	if status == http.StatusAccepted {
		r.seq++
	}
	if o.Operation != "go" || o.Step != 0 || status >= http.StatusMultipleChoices {
		g.rec.Add("group: rank %d: order %s version %d pass %d fence %d: %d", i, o.Operation, o.Version, o.Step, o.FenceToken, status)
	}
	return status
}

func (g *Group) apply(r *rank, i int, o order) int {
	switch {
	case o.FenceToken < r.fence:
		return http.StatusPreconditionFailed
	case o.Epoch != nil && *o.Epoch != g.epoch, o.Expected != nil && *o.Expected != r.seq:
		return http.StatusConflict
	}
	r.fence = o.FenceToken
	switch o.Operation {
	case "prepare":
		return g.prepare(r, i, o)
	case "arm":
		return g.arm(r, o)
	case "disarm":
		return r.disarm(o)
	case "Hold":
		return g.hold(r, o)
	case "go":
		if r.held == nil || *r.held != o.Step {
			return http.StatusOK
		}
		r.held = nil
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

func (g *Group) prepare(r *rank, i int, o order) int {
	if o.Version <= r.highest || r.armed != nil || len(o.Mapping) != Sets {
		return http.StatusConflict
	}
	next := make([][]int, Sets)
	copies := 0
	for s := range next {
		next[s] = o.Mapping[s][i]
		added := 0
		for _, e := range next[s] {
			if !slices.Contains(r.experts[s], e) {
				added++
			}
		}
		if added > Spare || len(next[s]) > Places {
			return http.StatusConflict
		}
		copies += added
	}
	r.highest, r.prepared, r.next = o.Version, o.Version, next
	r.preparedAt = time.Now().Add(time.Duration(copies) * expertCopy)
	return http.StatusAccepted
}

func (g *Group) arm(r *rank, o order) int {
	switch {
	case r.prepared != o.Version || time.Now().Before(r.preparedAt) || o.Step <= g.step:
		return http.StatusConflict
	case r.armed != nil && *r.armed == (armed{o.Version, o.Step}):
		return http.StatusOK
	}
	r.armed = &armed{o.Version, o.Step}
	return http.StatusAccepted
}

func (r *rank) disarm(o order) int {
	switch {
	case r.version == o.Version:
		return http.StatusConflict
	case r.armed == nil || r.armed.Version != o.Version:
		return http.StatusOK
	}
	r.armed = nil
	return http.StatusAccepted
}

func (g *Group) hold(r *rank, o order) int {
	switch {
	case o.Step <= g.step:
		return http.StatusConflict
	case r.held != nil && *r.held == o.Step:
		return http.StatusOK
	case r.held != nil:
		return http.StatusConflict
	}
	step := o.Step
	r.held = &step
	return http.StatusAccepted
}
