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

// delayedOffer is an offer that takes effect at the virtual time dueAt, in seconds.
type delayedOffer struct {
	expertMap *expertmap.Map
	dueAt     float64
}

// loadJob is a map that is being loaded. remaining is in virtual seconds.
type loadJob struct {
	version   int64
	remaining float64
}

// rank is one rank, guarded by the group's mutex.
type rank struct {
	g             *Group
	index         int
	maps          expertmap.MapSwitch
	faults        Faults
	speed         float64
	resumed       chan struct{}
	delayedOffers []delayedOffer
	loading       []loadJob
	// advancedTo is the virtual time in seconds up to which offers and loads have been processed.
	advancedTo float64
	// active is the version used by the last step, 0 before the first step and after the rank has died. The counters below
	// cover the steps with this version.
	active  int64
	steps   int64
	seconds float64
	// tokens is indexed by layer and slot.
	tokens []float64
}

func newRank(g *Group, index int) *rank {
	return &rank{
		g: g, index: index, speed: 1, resumed: make(chan struct{}),
		tokens: make([]float64, g.settings.Shape.Layers*g.settings.Shape.Slots),
	}
}

func (r *rank) setFaults(f Faults) {
	if f.Speed > 0 {
		r.speed = f.Speed
	}
	if f.Dead {
		r.maps, r.delayedOffers, r.loading = expertmap.MapSwitch{}, nil, nil
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
	if m.Shape != r.g.settings.Shape {
		return &expertmap.ShapeError{Shape: m.Shape}
	}
	if r.faults.OfferDelaySeconds > 0 {
		r.delayedOffers = append(r.delayedOffers, delayedOffer{expertMap: m, dueAt: r.g.clock + r.faults.OfferDelaySeconds})
		return nil
	}
	return r.accept(m)
}

func (r *rank) accept(m *expertmap.Map) error {
	before := r.maps.Lookup(r.maps.HighestVersion())
	load, err := r.maps.Offer(m)
	if err != nil || !load {
		return err
	}
	r.loading = append(r.loading, loadJob{
		version: m.Version, remaining: float64(r.transfersFor(before, m)) * r.g.settings.ExpertSeconds,
	})
	return nil
}

// transfersFor returns the number of experts to transfer for a map. before is the newest map that the rank has or is
// loading.
func (r *rank) transfersFor(before, m *expertmap.Map) int {
	if before == nil {
		return m.Shape.Layers * m.Shape.Slots
	}
	return expertmap.TransfersPerRank(before, m)[r.index]
}

// advance processes offers and loads up to the virtual time now, in seconds. Maps are loaded sequentially.
func (r *rank) advance(now float64) {
	elapsed := now - r.advancedTo
	r.advancedTo = now
	if r.faults.Paused || r.faults.Dead {
		return
	}
	pending := r.delayedOffers[:0]
	for _, d := range r.delayedOffers {
		if d.dueAt > now {
			pending = append(pending, d)
		} else {
			_ = r.accept(d.expertMap) // The sender of a delayed offer gets no error.
		}
	}
	r.delayedOffers = pending
	for len(r.loading) > 0 && r.loading[0].remaining <= elapsed {
		elapsed -= r.loading[0].remaining
		r.maps.MarkLoaded(r.loading[0].version)
		r.loading = r.loading[1:]
	}
	if len(r.loading) > 0 {
		r.loading[0].remaining -= elapsed
	}
}

// countTokens counts the tokens of the rank's experts in layer l. copies is the number of copies of each expert there.
func (r *rank) countTokens(m *expertmap.Map, l int, load []float64, copies []int) {
	if m.Version != r.active {
		r.resetCounters(m.Version)
	}
	for i, e := range m.Slots(l, r.index) {
		if e != expertmap.EmptySlot {
			r.tokens[l*m.Shape.Slots+i] += load[e] / float64(copies[e]) * r.g.settings.TokensPerSecond
		}
	}
}

func (r *rank) status(experts bool) rankapi.Status {
	out := rankapi.Status{
		Group: r.g.settings.Group, Rank: r.index, Active: r.active, HighestVersion: r.maps.HighestVersion(),
		BarrierReport: r.maps.Report(), Steps: r.steps, Seconds: r.seconds,
	}
	total := 0.0
	for _, n := range r.tokens {
		total += n
	}
	out.Tokens = int64(total)
	if m := r.maps.Lookup(r.active); m != nil {
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

// Counts are the counters of a group since its start.
type Counts struct {
	Steps int64 `json:"steps"`
	// Active is the map version of the last step.
	Active int64 `json:"active"`
	// Violations is the number of invariant violations in this process.
	Violations int64 `json:"violations"`
}

// Counts returns the group's counters.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{Steps: g.steps, Active: g.ranks[0].active, Violations: invariant.Count()}
}

// Handler serves each rank under /ranks/<number>, GET /standin/counts, and PUT /standin/ranks/<number> with Faults in
// the body.
func (g *Group) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/ranks/{rank:[0-9]+}"+rankapi.PathMap, g.withRankFaults(serveOffer)).Methods(http.MethodPost)
	m.HandleFunc("/ranks/{rank:[0-9]+}"+rankapi.PathStatus, g.withRankFaults(serveStatus)).Methods(http.MethodGet)
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

// withRankFaults wraps a handler with the faults Paused and Dead of a rank.
func (g *Group) withRankFaults(fn func(g *Group, i int, w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		i, ok := g.index(r)
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if !g.waitUntilResumed(i, r) {
			panic(http.ErrAbortHandler) // Closes the connection without a response.
		}
		fn(g, i, w, r)
	}
}

// waitUntilResumed waits while a rank is paused. It returns false if the rank is dead or the client has disconnected.
func (g *Group) waitUntilResumed(i int, r *http.Request) bool {
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
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Map == nil || in.Group != g.settings.Group {
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
