// Package catalog holds the routes, services and customers that a gateway serves, as one immutable document with a
// version, and the type of the backend servers listed for the services.
package catalog

import (
	"crypto/sha256"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Kind determines which requests of a route may be retried.
type Kind uint8

// The kinds of routes.
const (
	// Once requests are executed at most once for each request of a caller.
	Once Kind = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Stream requests get a sequence of events. They are executed at most once unless the route is resumable.
	Stream
)

var kindNames = [...]string{"once", "idempotent", "stream"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Route determines how requests to a host and path prefix are served.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the longest time that a caller is kept waiting, 0 for no limit.
	Timeout time.Duration
	// Objective is the latency objective of the operators: for the response, or for a stream's first event.
	Objective time.Duration
	// TargetGap is the operators' target for the longest gap between two events of a stream, 0 for none.
	TargetGap time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the servers to which one request may be sent, at least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams can be continued at another server after the last event received.
	Resumable bool
	// AllowedRegions are the regions of the servers that may serve the route's requests, empty for all servers.
	AllowedRegions []string
}

// Retryable reports whether a request that may have been executed can be sent to another server.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Engine describes the model engine of a service's servers.
type Engine struct {
	// Slots is the number of requests that a server processes concurrently.
	Slots int
	// KVTokens is the capacity of a server's KV cache in tokens.
	KVTokens int
	// StepsPerPass is the number of token steps in a forward pass.
	StepsPerPass int
	// StepTime is the time of a token step without requests. StepTimePerRequest is added for each decoding request, and
	// StepTimePerKiloToken for each thousand tokens of context.
	StepTime, StepTimePerRequest, StepTimePerKiloToken time.Duration
	// PrefillPerSecond is the number of prompt tokens that a server prefills per second, PrefillPerStep the maximum in
	// one step.
	PrefillPerSecond float64
	PrefillPerStep   int
	// TimePerMillionPairs is the time to read a prompt for each million pairs of a prompt token and an earlier token.
	TimePerMillionPairs time.Duration
	// UsualPrompt and UsualOutput are the mean numbers of prompt tokens and output tokens of a request, 0 if unknown.
	UsualPrompt, UsualOutput float64
	// Layers, Experts and ExpertSlots are the shape of a group's expert map. Layers is 0 without one.
	Layers, Experts, ExpertSlots int
	// MaxNewPerLayer is the largest number of experts of one layer that a rank can transfer for one map.
	MaxNewPerLayer int
	// ExpertBytes is the size of one expert in one layer.
	ExpertBytes int64
	// TransferBytesPerSecond is the rate at which a rank transfers experts.
	TransferBytesPerSecond float64
	// FormTime is how long a failed group needs until it serves again.
	FormTime time.Duration
}

// EmptyPass returns the time of a pass without requests.
func (e *Engine) EmptyPass() time.Duration { return time.Duration(e.StepsPerPass) * e.StepTime }

// Service is a set of equivalent servers.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns bounds the connections to one server from all processes.
	MaxConns int
	Warmup   Warmup
	// Engine is nil for a service without model engines.
	Engine *Engine
}

// Warmup describes the servers of a service after their start, while they are cold: slow, and able to handle few
// requests. The zero value is that of servers which are never cold.
type Warmup struct {
	// Time is how long a server is cold.
	Time time.Duration
	// PerSecond is the rate of requests that a cold server can handle from all gateways. Well above it, it crashes.
	PerSecond float64
}

// Applies reports whether servers can be cold.
func (w Warmup) Applies() bool { return w.Time > 0 && w.PerSecond > 0 }

// Customer is a holder of API keys.
type Customer struct {
	Name string
	// Priority overrides the route's priority. It is nil when the customer has none.
	Priority *int
	// AllowedRegions are the regions of the servers that may serve the customer's requests, empty for all servers. Those
	// of the route apply too.
	AllowedRegions []string
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// KeyHash is the SHA-256 of a customer's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash by which Document.Keys refers to a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Document is the content of a catalog.
type Document struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// Keys maps the hash of a key to the index of its customer.
	Keys map[KeyHash]int
	// AnonymousAccess accepts every caller, with any key or none. Without it a catalog that has no customers accepts
	// callers of public routes only.
	AnonymousAccess bool
	Limits          Limits
}

// Catalog is an indexed document. It is immutable and safe for concurrent use.
type Catalog struct {
	Document
	hosts    map[string][]*Route
	services map[string]*Service
}

// New returns the catalog of a document. The caller must not use the document afterwards.
func New(d Document) *Catalog {
	c := &Catalog{Document: d, hosts: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		r.MaxAttempts = max(r.MaxAttempts, 1)
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range d.Services {
		c.services[d.Services[i].Name] = &d.Services[i]
	}
	return c
}

// Match returns the route with the longest matching prefix among those of the host, nil if there is none. The host may
// include a port.
func (c *Catalog) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, nil if it does not exist.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// ServiceNames returns the names of the services, in no order.
func (c *Catalog) ServiceNames() []string { return slices.Collect(maps.Keys(c.services)) }

// Warmups returns the warm-up of the servers of each service.
func (c *Catalog) Warmups() map[string]Warmup {
	out := make(map[string]Warmup, len(c.services))
	for name, s := range c.services {
		out[name] = s.Warmup
	}
	return out
}

// TargetGap returns the smallest TargetGap of the routes to a service, 0 if none has one.
func (c *Catalog) TargetGap(service string) time.Duration {
	shortest := time.Duration(0)
	for _, r := range c.Routes {
		targetsService := slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
		if targetsService && r.TargetGap > 0 && (shortest == 0 || r.TargetGap < shortest) {
			shortest = r.TargetGap
		}
	}
	return shortest
}

// Customer returns the customer of a key; ok is false if no customer has the key. The empty key, which stands for a caller
// without a key, belongs to no customer. With AnonymousAccess every caller is accepted, and the customer is nil.
func (c *Catalog) Customer(key string) (customer *Customer, ok bool) {
	if c.AnonymousAccess {
		return nil, true
	}
	if key == "" {
		return nil, false
	}
	i, ok := c.Keys[HashKey(key)]
	if !ok {
		return nil, false
	}
	return &c.Customers[i], true
}

// Server is a backend server as listed by the platform.
type Server struct {
	// ID usually identifies one incarnation of the server.
	ID      string
	Service string
	Address string
	// Domain is the failure domain.
	Domain string
	// Version is the version of the server's software.
	Version string
	Slots   int
	// Draining servers finish their requests and accept no new ones.
	Draining bool
	// WarmupLeft is how long the server remains slow after its start.
	WarmupLeft time.Duration
	// Started is when the server started, zero if unknown. A server may restart with the same ID.
	Started time.Time
	// Seq is the sequence number of the entry, which counts its writes since the server's start, 0 if unknown.
	Seq int64
}

// Incarnation identifies one run of a server between its start and its end.
type Incarnation struct {
	ID string
	// StartedMs is the start in Unix milliseconds, 0 if unknown.
	StartedMs int64
}

// Incarnation returns the run of the server to which the entry belongs.
func (s Server) Incarnation() Incarnation {
	run := Incarnation{ID: s.ID}
	if !s.Started.IsZero() {
		run.StartedMs = s.Started.UnixMilli()
	}
	return run
}

// String returns the ID, with the start if it is known.
func (i Incarnation) String() string {
	if i.StartedMs == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.StartedMs, 10)
}
