package rankgroup

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"lavendermoor.example/expertmap"
	"lavendermoor.example/expertmap/rankapi"
	"lavendermoor.example/telemetry/invariant"
)

// delayed is an offer that has not arrived yet.
type delayed struct {
	m  *expertmap.Map
	at float64
}

// job is a map that is being loaded; left is in seconds.
type job struct {
	version int64
	left    float64
}

// rank is one rank; the group's lock guards it.
type rank struct {
	g       *Group
	index   int
	sw      expertmap.MapSwitch
	faults  Faults
	speed   float64
	resumed chan struct{}
	arrived []delayed
	loading []job
	// last is the virtual time up to which loads have advanced.
	last    float64
	active  int64
	steps   int64
	seconds float64
	tokens  []float64
}

func newRank(g *Group, index int) *rank {
	return &rank{
		g: g, index: index, speed: 1, resumed: make(chan struct{}),
		tokens: make([]float64, g.set.Shape.Layers*g.set.Shape.Slots),
	}
}

func (r *rank) setFaults(f Faults) {
	if f.Speed > 0 {
		r.speed = f.Speed
	}
	if f.Dead {
		r.sw, r.arrived, r.loading = expertmap.MapSwitch{}, nil, nil
		r.resetCounters(0)
	}
	r.faults = f
	close(r.resumed)
	r.resumed = make(chan struct{})
}

func (r *rank) resetCounters(version int64) {
	r.active, r.steps, r.seconds = version, 0, 0
	clear(r.tokens)
}

func (r *rank) offer(m *expertmap.Map) error {
	if m.Shape != r.g.set.Shape {
		return &expertmap.ShapeError{Shape: m.Shape}
	}
	if r.faults.LateSeconds > 0 {
		r.arrived = append(r.arrived, delayed{m: m, at: r.g.clock + r.faults.LateSeconds})
		return nil
	}
	return r.take(m)
}

func (r *rank) take(m *expertmap.Map) error {
	before := r.sw.Lookup(r.sw.Top())
	load, err := r.sw.Offer(m)
	if err != nil || !load {
		return err
	}
	r.loading = append(r.loading, job{version: m.Version, left: float64(r.experts(before, m)) * r.g.set.ExpertSeconds})
	return nil
}

// experts is the number of experts to load for a map when the one before is held or being loaded.
func (r *rank) experts(before, m *expertmap.Map) int {
	if before == nil {
		return m.Shape.Layers * m.Shape.Slots
	}
	return expertmap.TransfersPerRank(before, m)[r.index]
}

// work brings offers and loads up to the virtual time. Maps are loaded one after the other.
func (r *rank) work(now float64) {
	spent := now - r.last
	r.last = now
	if r.faults.Paused || r.faults.Dead {
		return
	}
	waiting := r.arrived[:0]
	for _, d := range r.arrived {
		if d.at > now {
			waiting = append(waiting, d)
		} else {
			_ = r.take(d.m) // A refusal of a late offer reaches nobody.
		}
	}
	r.arrived = waiting
	for len(r.loading) > 0 && r.loading[0].left <= spent {
		spent -= r.loading[0].left
		r.sw.MarkLoaded(r.loading[0].version)
		r.loading = r.loading[1:]
	}
	if len(r.loading) > 0 {
		r.loading[0].left -= spent
	}
}

func (r *rank) count(m *expertmap.Map, l int, work []float64, counts []int) {
	if m.Version != r.active {
		r.resetCounters(m.Version)
	}
	for i, e := range m.Slots(l, r.index) {
		if e != expertmap.EmptySlot {
			r.tokens[l*m.Shape.Slots+i] += work[e] / float64(counts[e]) * r.g.set.TokensPerSecond
		}
	}
}

func (r *rank) status(experts bool) rankapi.Status {
	out := rankapi.Status{
		Group: r.g.set.Group, Rank: r.index, Active: r.active, Top: r.sw.Top(), BarrierReport: r.sw.Report(),
		Steps: r.steps, Seconds: r.seconds,
	}
	total := 0.0
	for _, n := range r.tokens {
		total += n
	}
	out.Tokens = int64(total)
	if m := r.sw.Lookup(r.active); m != nil {
		out.Digest = m.Digest()
	}
	if experts {
		out.Experts = make([]int64, len(r.tokens))
		for i, n := range r.tokens {
			out.Experts[i] = int64(n)
		}
	}
	return out
}

// Counts are what a group did since its start.
type Counts struct {
	Steps int64 `json:"steps"`
	// Active is the map version of the last step.
	Active int64 `json:"active"`
	// Violations counts broken properties in this process.
	Violations int64 `json:"violations"`
}

// Counts returns the counts.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{Steps: g.steps, Active: g.ranks[0].active, Violations: invariant.Count()}
}

// Handler returns the routes of all ranks, each below "/ranks/<number>", GET /standin/counts, and
// PUT /standin/ranks/<number>, which takes Faults.
func (g *Group) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/ranks/{rank:[0-9]+}"+rankapi.PathMap, g.forRank(serveOffer)).Methods(http.MethodPost)
	m.HandleFunc("/ranks/{rank:[0-9]+}"+rankapi.PathStatus, g.forRank(serveStatus)).Methods(http.MethodGet)
	m.HandleFunc("/standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(g.Counts())
	}).Methods(http.MethodGet)
	m.HandleFunc("/standin/ranks/{rank:[0-9]+}", g.serveFaults).Methods(http.MethodPut)
	return m
}

func (g *Group) index(r *http.Request) (int, bool) {
	i, err := strconv.Atoi(mux.Vars(r)["rank"])
	return i, err == nil && i < len(g.ranks)
}

// forRank applies the faults of a rank to a call.
func (g *Group) forRank(fn func(g *Group, i int, w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		i, ok := g.index(r)
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if !g.awake(i, r) {
			panic(http.ErrAbortHandler) // Cuts the connection without an answer.
		}
		fn(g, i, w, r)
	}
}

// awake waits while a rank is paused; it returns false when the rank is dead or the caller has gone.
func (g *Group) awake(i int, r *http.Request) bool {
	for {
		g.mu.Lock()
		f, resumed := g.ranks[i].faults, g.ranks[i].resumed
		g.mu.Unlock()
		if !f.Paused || f.Dead {
			return !f.Dead
		}
		select {
		case <-resumed:
		case <-r.Context().Done():
			return false
		}
	}
}

func serveOffer(g *Group, i int, w http.ResponseWriter, r *http.Request) {
	var in rankapi.Offer
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Map == nil || in.Group != g.set.Group {
		refuse(w, http.StatusBadRequest, rankapi.Refusal{Message: "not an offer of a map for this group"})
		return
	}
	status, err := g.Offer(i, in.Map)
	if err != nil {
		refusal := rankapi.Refusal{Message: err.Error()}
		var gap *expertmap.VersionGapError
		if errors.As(err, &gap) {
			refusal.Have = gap.Have
		}
		refuse(w, http.StatusConflict, refusal)
		return
	}
	_ = json.NewEncoder(w).Encode(status)
}

func refuse(w http.ResponseWriter, status int, r rankapi.Refusal) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(r)
}

func serveStatus(g *Group, i int, w http.ResponseWriter, r *http.Request) {
	_ = json.NewEncoder(w).Encode(g.Status(i, r.URL.Query().Has(rankapi.QueryExperts)))
}

func (g *Group) serveFaults(w http.ResponseWriter, r *http.Request) {
	i, ok := g.index(r)
	var f Faults
	if !ok || json.NewDecoder(r.Body).Decode(&f) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.SetFaults(i, f)
}
