package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/cmd/internal/daemon"
	"lavendermoor.example/config/settings"
	"lavendermoor.example/entry"
	"lavendermoor.example/expertmap"
	"lavendermoor.example/side"
	"lavendermoor.example/standin/engineorders"
	"lavendermoor.example/standin/engineserver"
	"lavendermoor.example/standin/instancelist"
	"lavendermoor.example/standin/kvserver"
	"lavendermoor.example/standin/rankgroup"
	"lavendermoor.example/standin/serviceserver"
	"lavendermoor.example/telemetry"
)

// Names and keys of the demo.
const (
	modelName = "drafter"
	// modelVersion is the version that the engines are ordered to load.
	modelVersion = "1"
	serviceName  = "booking"
	callerKey    = "demo-caller-key"
	operatorKey  = "demo-operator-key"
)

// Sizes of the demo.
const (
	modelServers   = 3
	serviceServers = 3
	entryCount     = 2
	// slots is the maximum number of requests that a backend server serves at the same time.
	slots = 8
)

const (
	drainTimeout = settings.Duration(5 * time.Second)
	standinGrace = time.Second
	listLag      = 100 * time.Millisecond
)

var failureDomains = []string{"tampere", "lahti", "hameenlinna"}

// system holds all parts of the demo.
type system struct {
	group *errgroup.Group
	ctx   context.Context
	logs  io.Writer

	kvURL, instancesURL string
	// entries holds the URLs of the entries for callers, admins those of the admin listeners of all processes.
	entries []string
	admins  []string
	// store is the shared state of the service servers.
	store *serviceserver.Store
	// objects is the configuration that the demo applies.
	objects   []*operatorv1.Object
	instances *instancelist.Server
}

func startSystem(ctx context.Context, logs io.Writer) (*system, error) {
	group, ctx := errgroup.WithContext(ctx)
	s := &system{
		group: group, ctx: ctx, logs: logs, store: serviceserver.NewStore(), instances: instancelist.New(listLag),
	}
	var err error
	if s.kvURL, err = s.serveStandin(kvserver.New().Handler()); err != nil {
		return nil, err
	}
	if s.instancesURL, err = s.serveStandin(s.instances.Handler()); err != nil {
		return nil, err
	}
	s.addBaseObjects()
	for i := range modelServers {
		if err := s.startModelServer(i); err != nil {
			return nil, err
		}
	}
	for i := range serviceServers {
		if err := s.startServiceServer(i); err != nil {
			return nil, err
		}
	}
	for i := range entryCount {
		if err := s.startEntry(i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// wait waits until all parts have stopped.
func (s *system) wait() error { return s.group.Wait() }

// serveStandin serves a stand-in on loopback and returns its URL.
func (s *system) serveStandin(h http.Handler) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(s.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.group.Go(func() error {
		// Open watches do not end by themselves, so exceeding the grace time is not an error.
		_ = telemetry.Serve(s.ctx, l, h, standinGrace)
		return nil
	})
	return "http://" + l.Addr().String(), nil
}

func (s *system) addBaseObjects() {
	s.objects = append(s.objects,
		&operatorv1.Object{Kind: &operatorv1.Object_Model{Model: &operatorv1.Model{Name: modelName, Versions: []string{modelVersion}}}},
		&operatorv1.Object{Kind: &operatorv1.Object_Service{Service: &operatorv1.Service{Name: serviceName}}},
		&operatorv1.Object{Kind: &operatorv1.Object_Customer{Customer: &operatorv1.Customer{
			Name: "skimming-crew", Weight: 1, Keys: []*operatorv1.Key{{Id: "demo", Sha256: hash(callerKey)}},
		}}},
		&operatorv1.Object{Kind: &operatorv1.Object_Operator{Operator: &operatorv1.Operator{
			Name: "demo", Key: &operatorv1.Key{Id: "demo", Sha256: hash(operatorKey)}, Role: operatorv1.Role_ROLE_ADMIN,
		}}},
		&operatorv1.Object{Kind: &operatorv1.Object_Rule{Rule: &operatorv1.Rule{
			Name: "book", Service: serviceName, Method: http.MethodPost, PathPrefix: "/bookings",
			Kind: operatorv1.WorkKind_WORK_KIND_COMMAND, Priority: 7,
		}}},
	)
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (s *system) startModelServer(i int) error {
	routes := mux.NewRouter()
	engineorders.New(engineorders.Settings{ChecksFencing: true, LoadTime: 100 * time.Millisecond}).Register(routes)
	routes.PathPrefix("/").Handler(engineserver.New(engineserver.Options{
		Slots: slots, PrefillPerKB: 2 * time.Millisecond, TokenTime: 20 * time.Millisecond, DefaultTokens: 24,
	}).Handler())
	backend, err := s.serveStandin(routes)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("drafter-%d", i+1)
	s.objects = append(s.objects, &operatorv1.Object{Kind: &operatorv1.Object_Group{Group: &operatorv1.Group{
		Name: name, Model: modelName, Version: modelVersion,
		Ranks: int32(groupShape.Ranks), Experts: int32(groupShape.Experts), Layers: int32(groupShape.Layers),
	}}})
	experts, err := s.startRanks(name, uint64(i))
	if err != nil {
		return err
	}
	return s.startSidecar(name, i, backend, &operatorv1.BackendServer{Group: name, ChecksFencing: true}, func(set *side.Settings) {
		set.Experts = experts
		set.Orders = &side.OrderSettings{WeightRate: 1 << 30, LoadBytes: 1 << 20, Parallel: 1, Poll: settings.Duration(50 * time.Millisecond)}
	})
}

// groupShape is the shape of the demo's groups.
var groupShape = expertmap.Shape{Ranks: 8, Experts: 64, Layers: 4, Slots: 10}

// startRanks starts the ranks of a group and returns the settings of their expert map.
func (s *system) startRanks(group string, seed uint64) (*side.ExpertSettings, error) {
	set := rankgroup.DefaultSettings()
	set.Group, set.Seed, set.Shape = group, seed, groupShape
	g := rankgroup.New(set)
	base, err := s.serveStandin(g.Handler())
	if err != nil {
		return nil, err
	}
	s.group.Go(func() error { g.Run(s.ctx, 1); return nil })
	out := &side.ExpertSettings{Slots: groupShape.Slots, Poll: settings.Duration(100 * time.Millisecond), DecideEvery: 5}
	for i := range groupShape.Ranks {
		out.Ranks = append(out.Ranks, fmt.Sprintf("%s/ranks/%d", base, i))
	}
	return out, nil
}

func (s *system) startServiceServer(i int) error {
	name := fmt.Sprintf("booking-%d", i+1)
	backend, err := s.serveStandin(serviceserver.New(serviceserver.Options{
		Name: name, ReadTime: time.Millisecond, WriteTime: 5 * time.Millisecond,
	}, s.store).Handler())
	if err != nil {
		return err
	}
	return s.startSidecar(name, i, backend, &operatorv1.BackendServer{Service: serviceName}, func(*side.Settings) {})
}

// startSidecar starts a sidecar and adds its backend server to the configuration.
func (s *system) startSidecar(
	name string, i int, backend string, object *operatorv1.BackendServer, change func(*side.Settings),
) error {
	l, err := daemon.Listen(s.ctx, zap.NewNop(), "", "127.0.0.1:0", "127.0.0.1:0")
	if err != nil {
		return err
	}
	set := side.DefaultSettings()
	set.Name, set.FailureDomain = name, failureDomains[i%len(failureDomains)]
	set.Backend, set.KeyValue, set.Instances = backend, s.kvURL, s.instancesURL
	set.Slots, set.DrainTimeout = slots, drainTimeout
	change(&set)
	object.Name, object.FailureDomain, object.Slots = name, set.FailureDomain, slots
	object.Address = l.Peers.Addr().String()
	s.objects = append(s.objects, &operatorv1.Object{Kind: &operatorv1.Object_Server{Server: object}})
	s.registerProcess(name, "side", set.FailureDomain, l)
	s.group.Go(func() error { return daemon.RunSidecar(s.ctx, set, l, s.logs) })
	return nil
}

func (s *system) startEntry(i int) error {
	l, err := daemon.Listen(s.ctx, zap.NewNop(), "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
	if err != nil {
		return err
	}
	set := entry.DefaultSettings()
	set.Name, set.FailureDomain = fmt.Sprintf("entry-%d", i+1), failureDomains[i%len(failureDomains)]
	set.KeyValue, set.Instances = s.kvURL, s.instancesURL
	set.BootstrapKeySHA256, set.DrainTimeout = hash(operatorKey), drainTimeout
	s.entries = append(s.entries, "http://"+l.Callers.Addr().String())
	s.registerProcess(set.Name, "entry", set.FailureDomain, l)
	s.group.Go(func() error { return daemon.RunEntry(s.ctx, set, l, s.logs) })
	return nil
}

// registerProcess adds a process to the instance list and its admin listener to s.admins.
func (s *system) registerProcess(name, program, domain string, l *daemon.Listeners) {
	s.instances.Put(instancelist.Instance{
		Name: name, Address: l.Peers.Addr().String(), FailureDomain: domain, Program: program, State: "live",
	})
	s.admins = append(s.admins, "http://"+l.Admin.Addr().String())
}
