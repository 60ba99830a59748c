package cluster

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"lavendermoor.example/api/operatorv1"
)

// State is a complete and valid configuration at one revision. It is immutable and safe for concurrent use; the
// messages that it returns must not be modified.
type State struct {
	Revision int64

	objects   map[Ref]*operatorv1.Object
	models    map[string]*operatorv1.Model
	groups    map[string]*operatorv1.Group
	servers   map[string]*operatorv1.BackendServer
	services  map[string]*operatorv1.Service
	customers map[string]*operatorv1.Customer
	rules     []*operatorv1.Rule
	limits    *operatorv1.Limits

	byModel      map[string][]*operatorv1.BackendServer
	byService    map[string][]*operatorv1.BackendServer
	callerKeys   map[string]keyOwner[*operatorv1.Customer]
	operatorKeys map[string]keyOwner[*operatorv1.Operator]
}

type keyOwner[T any] struct {
	sum   [sha256.Size]byte
	owner T
}

// keyPrefixLen is the number of hex digits of a key's SHA-256 that index the keys. The timing of a lookup by prefix
// reveals nothing about the rest of the hash, which is compared in constant time.
const keyPrefixLen = 16

// Empty returns the state of revision 0, which has no objects.
func Empty() *State {
	s, err := New(0, nil)
	if err != nil {
		panic(err) // An empty configuration is always valid.
	}
	return s
}

// New returns the state of the given objects, or a *ValidationError.
func New(revision int64, objects []*operatorv1.Object) (*State, error) {
	byRef := make(map[Ref]*operatorv1.Object, len(objects))
	for _, o := range objects {
		byRef[RefOf(o)] = o
	}
	if err := validate(byRef); err != nil {
		return nil, err
	}
	s := &State{Revision: revision, objects: byRef}
	s.index()
	return s, nil
}

// RevisionGapError reports that the revision of a change does not directly follow the revision of the state.
type RevisionGapError struct {
	// Have is the revision of the state, Got that of the change.
	Have, Got int64
}

func (e *RevisionGapError) Error() string {
	return fmt.Sprintf("change of revision %d does not follow revision %d", e.Got, e.Have)
}

// Apply returns the state after a change, whose revision must be the next one. It fails with a *RevisionGapError or a
// *ValidationError. The receiver is never modified.
func (s *State) Apply(c *operatorv1.Change) (*State, error) {
	if c.GetRevision() != s.Revision+1 {
		return nil, &RevisionGapError{Have: s.Revision, Got: c.GetRevision()}
	}
	next := make(map[Ref]*operatorv1.Object, len(s.objects)+len(c.GetUpserts()))
	for r, o := range s.objects {
		next[r] = o
	}
	for _, r := range c.GetDeletes() {
		delete(next, RefFromProto(r))
	}
	for _, o := range c.GetUpserts() {
		next[RefOf(o)] = o
	}
	if err := validate(next); err != nil {
		return nil, err
	}
	n := &State{Revision: c.GetRevision(), objects: next}
	n.index()
	return n, nil
}

func (s *State) index() {
	s.models = map[string]*operatorv1.Model{}
	s.groups = map[string]*operatorv1.Group{}
	s.servers = map[string]*operatorv1.BackendServer{}
	s.services = map[string]*operatorv1.Service{}
	s.customers = map[string]*operatorv1.Customer{}
	s.callerKeys = map[string]keyOwner[*operatorv1.Customer]{}
	s.operatorKeys = map[string]keyOwner[*operatorv1.Operator]{}
	for _, o := range s.objects {
		s.indexObject(o)
	}
	sort.Slice(s.rules, func(i, j int) bool {
		a, b := s.rules[i], s.rules[j]
		if a.GetPosition() != b.GetPosition() {
			return a.GetPosition() < b.GetPosition()
		}
		return a.GetName() < b.GetName()
	})
	s.indexServers()
}

func (s *State) indexObject(o *operatorv1.Object) {
	switch k := o.GetKind().(type) {
	case *operatorv1.Object_Model:
		s.models[k.Model.GetName()] = k.Model
	case *operatorv1.Object_Group:
		s.groups[k.Group.GetName()] = k.Group
	case *operatorv1.Object_Server:
		s.servers[k.Server.GetName()] = k.Server
	case *operatorv1.Object_Service:
		s.services[k.Service.GetName()] = k.Service
	case *operatorv1.Object_Customer:
		s.customers[k.Customer.GetName()] = k.Customer
		for _, key := range k.Customer.GetKeys() {
			addKey(s.callerKeys, key, k.Customer)
		}
	case *operatorv1.Object_Rule:
		s.rules = append(s.rules, k.Rule)
	case *operatorv1.Object_Operator:
		addKey(s.operatorKeys, k.Operator.GetKey(), k.Operator)
	case *operatorv1.Object_Limits:
		s.limits = k.Limits
	}
}

func addKey[T any](m map[string]keyOwner[T], key *operatorv1.Key, owner T) {
	raw, err := hex.DecodeString(key.GetSha256())
	if err != nil || len(raw) != sha256.Size {
		return // Validation rejects such keys.
	}
	k := keyOwner[T]{owner: owner}
	copy(k.sum[:], raw)
	m[key.GetSha256()[:keyPrefixLen]] = k
}

func findKey[T any](m map[string]keyOwner[T], key string) (T, bool) {
	sum := sha256.Sum256([]byte(key))
	k, ok := m[hex.EncodeToString(sum[:])[:keyPrefixLen]]
	if subtle.ConstantTimeCompare(k.sum[:], sum[:]) != 1 || !ok {
		var none T
		return none, false
	}
	return k.owner, true
}

func (s *State) indexServers() {
	s.byModel = map[string][]*operatorv1.BackendServer{}
	s.byService = map[string][]*operatorv1.BackendServer{}
	for _, v := range s.servers {
		if g, ok := s.groups[v.GetGroup()]; ok {
			s.byModel[g.GetModel()] = append(s.byModel[g.GetModel()], v)
		}
		if v.GetService() != "" {
			s.byService[v.GetService()] = append(s.byService[v.GetService()], v)
		}
	}
	for _, m := range []map[string][]*operatorv1.BackendServer{s.byModel, s.byService} {
		for _, list := range m {
			sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
		}
	}
}

// Objects returns all objects, sorted by type and name.
func (s *State) Objects() []*operatorv1.Object {
	refs := sortedRefs(s.objects)
	out := make([]*operatorv1.Object, len(refs))
	for i, r := range refs {
		out[i] = s.objects[r]
	}
	return out
}

// sortedRefs returns the keys of a map, sorted by type and name.
func sortedRefs[T any](m map[Ref]T) []Ref {
	return slices.SortedFunc(maps.Keys(m), func(a, b Ref) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Name, b.Name))
	})
}

// Object returns one object, or nil.
func (s *State) Object(r Ref) *operatorv1.Object { return s.objects[r] }

// Model returns a model, or nil.
func (s *State) Model(name string) *operatorv1.Model { return s.models[name] }

// ModelNames returns the names of all models, sorted.
func (s *State) ModelNames() []string {
	out := make([]string, 0, len(s.models))
	for n := range s.models {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// Group returns a group, or nil.
func (s *State) Group(name string) *operatorv1.Group { return s.groups[name] }

// Server returns a backend server, or nil.
func (s *State) Server(name string) *operatorv1.BackendServer { return s.servers[name] }

// Servers returns all backend servers by name. The map must not be modified.
func (s *State) Servers() map[string]*operatorv1.BackendServer { return s.servers }

// Service returns a service, or nil.
func (s *State) Service(name string) *operatorv1.Service { return s.services[name] }

// Customer returns a customer, or nil.
func (s *State) Customer(name string) *operatorv1.Customer { return s.customers[name] }

// ServersOfModel returns the servers whose group serves the model, sorted by name.
func (s *State) ServersOfModel(model string) []*operatorv1.BackendServer { return s.byModel[model] }

// ServersOfService returns the servers of a service, sorted by name.
func (s *State) ServersOfService(service string) []*operatorv1.BackendServer {
	return s.byService[service]
}

// CustomerByKey returns the customer that a bearer key belongs to.
func (s *State) CustomerByKey(key string) (*operatorv1.Customer, bool) {
	return findKey(s.callerKeys, key)
}

// OperatorByKey returns the operator that a bearer key belongs to.
func (s *State) OperatorByKey(key string) (*operatorv1.Operator, bool) {
	return findKey(s.operatorKeys, key)
}

// HasOperators reports whether any operator is configured.
func (s *State) HasOperators() bool { return len(s.operatorKeys) > 0 }

// Call holds the attributes of a request that routing rules match. Model or Service is set.
type Call struct {
	Model, Service, Method, Path string
}

// MatchRule returns the first rule that matches, or nil.
func (s *State) MatchRule(c Call) *operatorv1.Rule {
	for _, r := range s.rules {
		if matches(r, c) {
			return r
		}
	}
	return nil
}

func matches(r *operatorv1.Rule, c Call) bool {
	return (r.GetModel() == "" || r.GetModel() == c.Model) &&
		(r.GetService() == "" || r.GetService() == c.Service) &&
		(r.GetMethod() == "" || r.GetMethod() == c.Method) &&
		strings.HasPrefix(c.Path, r.GetPathPrefix())
}

// Defaults of Limits fields that are 0.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 64 << 10
	DefaultReadTimeout    = 10 * time.Second
	DefaultDeadline       = 60 * time.Second
	DefaultKeyRetention   = time.Hour
)

// Limits holds the active limits.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int64
	ReadTimeout    time.Duration
	Deadline       time.Duration
	KeyRetention   time.Duration
}

// Limits returns the active limits, with the default for each that is not configured.
func (s *State) Limits() Limits {
	l := s.limits
	return Limits{
		MaxBodyBytes:   orDefault(l.GetMaxBodyBytes(), DefaultMaxBodyBytes),
		MaxHeaderBytes: orDefault(l.GetMaxHeaderBytes(), DefaultMaxHeaderBytes),
		ReadTimeout:    orDefault(time.Duration(l.GetReadTimeoutMs())*time.Millisecond, DefaultReadTimeout),
		Deadline:       orDefault(time.Duration(l.GetDefaultDeadlineMs())*time.Millisecond, DefaultDeadline),
		KeyRetention:   orDefault(time.Duration(l.GetKeyRetentionS())*time.Second, DefaultKeyRetention),
	}
}

func orDefault[T int64 | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}
