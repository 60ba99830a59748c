// Package catalog holds the routes, services and customers that a gateway serves, as one immutable document with a
// version, and the backend servers that are listed for the services.
package catalog

import (
	"crypto/sha256"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Once requests run at most once for each request of a caller.
	Once Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events. They run at most once unless the route is resumable.
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

// Route says how requests to a host and path prefix are served.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the longest time that a caller is kept waiting, 0 for no bound.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, that the operators aim at.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream that the operators aim at, 0 for none.
	MaxGap time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// MaxAttempts bounds the servers to which one request may be sent, at least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another server after the last event received.
	Resumable bool
}

// Repeatable says whether a request that may have run can be sent to another server.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Engine is the model engine of a service's servers.
type Engine struct {
	// Slots is the number of requests that a server processes at once.
	Slots int
	// KvTokens is the memory of one server in tokens.
	KvTokens int
	// StepsPerPass is the number of token steps of a pass.
	StepsPerPass int
	// StepTime is the time of a token step, StepTimePerRequest what each writing request adds to it, and StepTimePerKiloToken what each
	// thousand tokens of context add.
	StepTime, StepTimePerRequest, StepTimePerKiloToken time.Duration
	// PrefillPerSecond is the number of prompt tokens that a server reads in a second, ReadPerStep the most in one step.
	PrefillPerSecond float64
	PrefillPerStep   int
	// Layers, Experts and ExpertSlots give the shape of a group's expert map; Layers is 0 without one.
	Layers, Experts, ExpertSlots int
	// MaxNewExperts is the number of experts of one layer that a rank can take over with one new map.
	MaxNewExperts int
	// ExpertBytes is the size of one expert in one layer.
	ExpertBytes int64
	// CopyBytesPerSecond is the rate at which a rank copies experts.
	CopyBytesPerSecond float64
	// FormTime is how long a broken group needs to open again.
	FormTime time.Duration
}

// EmptyPass returns the time of a pass without any request.
func (e *Engine) EmptyPass() time.Duration { return time.Duration(e.StepsPerPass) * e.StepTime }

// Service is a set of servers of one kind.
type Service struct {
	Name string
	// HealthPath answers probes.
	HealthPath string
	// MaxConns bounds the connections to one server from all processes.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Customer is the holder of keys.
type Customer struct {
	Name string
	// Priority goes before the route's, nil when the customer has none.
	Priority *int
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// KeyHash is the SHA-256 of a customer's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash by which a key is looked up.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Document is the content of a catalog.
type Document struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// Keys maps the hash of a key to the index of its customer.
	Keys   map[KeyHash]int
	Limits Limits
}

// Catalog is an indexed document. It is immutable and may be read by any goroutine.
type Catalog struct {
	Document
	hosts    map[string][]*Route
	services map[string]*Service
}

// New indexes a document, which the caller gives away.
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

// Match returns the route with the longest prefix of the path among those of the host, nil if there is none. The host
// may carry a port.
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

// TargetGap returns the shortest aim for pauses between events of the routes to a service, 0 if none has one.
func (c *Catalog) TargetGap(service string) time.Duration {
	shortest := time.Duration(0)
	for _, r := range c.Routes {
		targetsService := slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
		if targetsService && r.MaxGap > 0 && (shortest == 0 || r.MaxGap < shortest) {
			shortest = r.MaxGap
		}
	}
	return shortest
}

// Customer returns the holder of a key. Without customers every caller is anonymous and may pass.
func (c *Catalog) Customer(key string) (customer *Customer, ok bool) {
	if len(c.Customers) == 0 {
		return nil, true
	}
	i, ok := c.Keys[HashKey(key)]
	if !ok {
		return nil, false
	}
	return &c.Customers[i], true
}

// Server is a backend server as the platform lists it.
type Server struct {
	// ID is that of one start of the server, mostly.
	ID      string
	Service string
	Address string
	// Domain is the failure domain.
	Domain string
	// Version is that of the server's software.
	Version string
	Slots   int
	// Draining servers finish what they have and take no new work.
	Draining bool
	// WarmupLeft is how long the server stays slow after its start.
	WarmupLeft time.Duration
	// Started is when the server started, zero if it does not say; a server may start again under the ID that it had.
	Started time.Time
	// Seq counts the writes of the server's entry since its start; 0 if it does not say.
	Seq int64
}
