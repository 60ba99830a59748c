// Package engineorders is the part of the model engine stand-in that executes orders: to load and unload models, to
// change the role, and to export and import KV caches.
package engineorders

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"lavendermoor.example/orders"
	"lavendermoor.example/standin/internal/faultapi"
)

// Settings describe an engine.
type Settings struct {
	// ChecksFencing makes the engine refuse orders with an old fencing token.
	ChecksFencing bool
	// LoadTime is the duration of a load without a weight store.
	LoadTime time.Duration
	// Weights is the URL of the weight store, nil for none.
	Weights *url.URL
	// MaxOrders is the maximum number of orders whose results are retained; 0 means 4,096.
	MaxOrders int
}

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// LoseResponses is the number of upcoming orders whose response is lost after they are accepted.
	LoseResponses int `json:"lose_answers"`
	// LoseOrders is the number of upcoming orders whose connection is closed before they are accepted.
	LoseOrders int `json:"lose_orders"`
}

// Effect is a change of the engine's state that an order caused.
type Effect struct {
	ID    string      `json:"id"`
	Fence int64       `json:"fence"`
	Kind  orders.Kind `json:"kind"`
}

// Dump is the state of the engine. Floor is the highest fencing token of an accepted order.
type Dump struct {
	Floor   int64    `json:"floor"`
	Role    string   `json:"role"`
	Loaded  []string `json:"loaded"`
	Caches  []string `json:"caches"`
	Effects []Effect `json:"effects"`
}

const defaultMaxOrders = 4096

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	settings Settings

	mu      sync.Mutex
	faults  Faults
	floor   int64
	results map[string]orders.Result
	// resultOrder lists the IDs of results, oldest first.
	resultOrder []string
	loaded      map[string]bool
	caches      map[string]bool
	role        string
	effects     []Effect
}

// New returns an engine without models.
func New(settings Settings) *Engine {
	if settings.MaxOrders == 0 {
		settings.MaxOrders = defaultMaxOrders
	}
	return &Engine{
		settings: settings, results: map[string]orders.Result{}, loaded: map[string]bool{}, caches: map[string]bool{},
	}
}

// Register adds the routes for orders, GET /standin/orders (a Dump) and PUT /standin/order-faults to a router.
func (e *Engine) Register(r *mux.Router) {
	r.HandleFunc(orders.PathOrders, e.post).Methods(http.MethodPost)
	r.HandleFunc(orders.PathOrders+"/{id}", e.get).Methods(http.MethodGet)
	r.HandleFunc("/standin/orders", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(e.Dump())
	}).Methods(http.MethodGet)
	r.HandleFunc("/standin/order-faults", faultapi.Handler(e.Faults, e.SetFaults)).Methods(http.MethodPut)
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the injected faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Dump returns the state of the engine.
func (e *Engine) Dump() Dump {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := Dump{Floor: e.floor, Role: e.role, Effects: append([]Effect(nil), e.effects...)}
	for name := range e.loaded {
		d.Loaded = append(d.Loaded, name)
	}
	for name := range e.caches {
		d.Caches = append(d.Caches, name)
	}
	return d
}

func refuse(w http.ResponseWriter, status int, r orders.Refusal) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(r)
}

// consume decrements n and returns true, or returns false if n is not positive.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (e *Engine) post(w http.ResponseWriter, r *http.Request) {
	var o orders.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, orders.Refusal{Message: err.Error()})
		return
	}
	if err := o.Validate(); err != nil {
		refuse(w, http.StatusBadRequest, orders.Refusal{Message: err.Error()})
		return
	}
	e.mu.Lock()
	loseOrder := consume(&e.faults.LoseOrders)
	e.mu.Unlock()
	if loseOrder {
		panic(http.ErrAbortHandler) // Closes the connection before the order is accepted.
	}
	result, err := e.Accept(o)
	if err != nil {
		refuse(w, http.StatusConflict, orders.Refusal{Floor: err.Floor, Message: err.Error()})
		return
	}
	e.mu.Lock()
	loseResponse := consume(&e.faults.LoseResponses)
	e.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
	_ = json.NewEncoder(w).Encode(result)
}

// Accept accepts an order, as a POST to PathOrders does. If the result of an order with the same ID is retained, Accept
// returns that result and does not execute the order again.
func (e *Engine) Accept(o orders.Order) (orders.Result, *orders.StaleError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && o.Fence < e.floor {
		return orders.Result{}, &orders.StaleError{Fence: o.Fence, Floor: e.floor}
	}
	e.floor = max(e.floor, o.Fence)
	if previous, ok := e.results[o.ID]; ok {
		return previous, nil
	}
	e.retainResult(o.ID)
	result := orders.Result{ID: o.ID, State: orders.Done}
	if o.Kind == orders.Load && !e.loaded[modelName(o)] {
		result.State = orders.Running
		go e.load(o)
	} else {
		e.apply(o)
	}
	e.results[o.ID] = result
	return result, nil
}

func (e *Engine) retainResult(id string) {
	e.resultOrder = append(e.resultOrder, id)
	if len(e.resultOrder) > e.settings.MaxOrders {
		delete(e.results, e.resultOrder[0])
		e.resultOrder = e.resultOrder[1:]
	}
}

func modelName(o orders.Order) string { return o.Model + "@" + o.Version + ":" + o.Adapter }

// apply changes the engine's state. An order for a state that the engine already has causes no Effect.
func (e *Engine) apply(o orders.Order) {
	changed := false
	switch o.Kind {
	case orders.Load:
		changed = !e.loaded[modelName(o)]
		e.loaded[modelName(o)] = true
	case orders.Unload:
		changed = e.loaded[modelName(o)]
		delete(e.loaded, modelName(o))
	case orders.SetRole:
		changed = e.role != o.Role
		e.role = o.Role
	case orders.ExportKV, orders.ImportKV:
		changed = !e.caches[o.Cache]
		e.caches[o.Cache] = true
	}
	if changed {
		e.effects = append(e.effects, Effect{ID: o.ID, Fence: o.Fence, Kind: o.Kind})
	}
}

// load executes a load order and updates its result.
func (e *Engine) load(o orders.Order) {
	state, detail := e.fetch(o)
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == orders.Done {
		e.apply(o)
	}
	// Do not add a result that was evicted while the load ran: its ID is no longer in resultOrder, so it would never be
	// evicted again.
	if _, ok := e.results[o.ID]; ok {
		e.results[o.ID] = orders.Result{ID: o.ID, State: state, Detail: detail}
	}
}

// maxLoadTime is the timeout of a load from the weight store.
const maxLoadTime = 10 * time.Minute

// fetch reads the weights of a model from the weight store, or waits for LoadTime if there is none. It returns the
// state of the order and a detail about a failure.
func (e *Engine) fetch(o orders.Order) (orders.State, string) {
	if e.settings.Weights == nil {
		time.Sleep(e.settings.LoadTime)
		return orders.Done, ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxLoadTime)
	defer cancel()
	u := e.settings.Weights.JoinPath("weights", o.Model, o.Version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return orders.Failed, err.Error()
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return orders.Failed, err.Error()
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests {
		return orders.Throttled, "weight store is busy"
	}
	if resp.StatusCode != http.StatusOK {
		return orders.Failed, "weight store: " + resp.Status
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return orders.Failed, "weight store: " + err.Error()
	}
	return orders.Done, ""
}

func (e *Engine) get(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	result, ok := e.results[mux.Vars(r)["id"]]
	e.mu.Unlock()
	if !ok {
		refuse(w, http.StatusNotFound, orders.Refusal{Message: "order is not known"})
		return
	}
	_ = json.NewEncoder(w).Encode(result)
}
