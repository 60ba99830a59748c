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

	"golang.org/x/sync/errgroup"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/cmd/internal/daemon"
	"lavendermoor.example/config/settings"
	"lavendermoor.example/entry"
	"lavendermoor.example/side"
	"lavendermoor.example/standin/engineserver"
	"lavendermoor.example/standin/instancelist"
	"lavendermoor.example/standin/kvserver"
	"lavendermoor.example/standin/serviceserver"
	"lavendermoor.example/telemetry"
)

// Names and keys of the demo.
const (
	modelName   = "drafter"
	serviceName = "booking"
	callerKey   = "demo-caller-key"
	operatorKey = "demo-operator-key"
)

// Sizes of the demo.
const (
	modelServers   = 3
	serviceServers = 3
	entryCount     = 2
	slots          = 8
)

const (
	drainTimeout = settings.Duration(5 * time.Second)
	standinGrace = time.Second
	listLag      = 100 * time.Millisecond
)

var failureDomains = []string{"tampere", "lahti", "hameenlinna"}

// system is everything that the demo runs.
type system struct {
	group *errgroup.Group
	ctx   context.Context
	logs  io.Writer

	kv, list string
	entries  []string
	admins   []string
	store    *serviceserver.Store
	objects  []*operatorv1.Object
	shown    *instancelist.Server
}

func startSystem(ctx context.Context, logs io.Writer) (*system, error) {
	group, ctx := errgroup.WithContext(ctx)
	s := &system{
		group: group, ctx: ctx, logs: logs, store: serviceserver.NewStore(), shown: instancelist.New(listLag),
	}
	var err error
	if s.kv, err = s.standin(kvserver.New().Handler()); err != nil {
		return nil, err
	}
	if s.list, err = s.standin(s.shown.Handler()); err != nil {
		return nil, err
	}
	s.baseObjects()
	for i := range modelServers {
		if err := s.modelServer(i); err != nil {
			return nil, err
		}
	}
	for i := range serviceServers {
		if err := s.serviceServer(i); err != nil {
			return nil, err
		}
	}
	for i := range entryCount {
		if err := s.entry(i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// wait waits for the end of all parts.
func (s *system) wait() error { return s.group.Wait() }

// standin serves a stand-in on loopback and returns its URL.
func (s *system) standin(h http.Handler) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(s.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.group.Go(func() error {
		// Open watches do not end by themselves, so the end of the grace time is no failure.
		_ = telemetry.Serve(s.ctx, l, h, standinGrace)
		return nil
	})
	return "http://" + l.Addr().String(), nil
}

func (s *system) baseObjects() {
	s.objects = append(s.objects,
		&operatorv1.Object{Kind: &operatorv1.Object_Model{Model: &operatorv1.Model{Name: modelName}}},
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

func (s *system) modelServer(i int) error {
	backend, err := s.standin(engineserver.New(engineserver.Options{
		Slots: slots, PrefillPerKB: 2 * time.Millisecond, TokenTime: 20 * time.Millisecond, DefaultTokens: 24,
	}).Handler())
	if err != nil {
		return err
	}
	name := fmt.Sprintf("drafter-%d", i+1)
	s.objects = append(s.objects, &operatorv1.Object{Kind: &operatorv1.Object_Group{Group: &operatorv1.Group{
		Name: name, Model: modelName, Ranks: 8, Experts: 64, Layers: 4,
	}}})
	return s.side(name, i, backend, &operatorv1.BackendServer{Group: name})
}

func (s *system) serviceServer(i int) error {
	name := fmt.Sprintf("booking-%d", i+1)
	backend, err := s.standin(serviceserver.New(serviceserver.Options{
		Name: name, ReadTime: time.Millisecond, WriteTime: 5 * time.Millisecond,
	}, s.store).Handler())
	if err != nil {
		return err
	}
	return s.side(name, i, backend, &operatorv1.BackendServer{Service: serviceName})
}

// side starts a side process and adds its backend server to the configuration.
func (s *system) side(name string, i int, backend string, object *operatorv1.BackendServer) error {
	l, err := daemon.Listen(s.ctx, "", "127.0.0.1:0", "127.0.0.1:0")
	if err != nil {
		return err
	}
	set := side.Defaults()
	set.Name, set.FailureDomain = name, failureDomains[i%len(failureDomains)]
	set.Backend, set.KeyValue, set.Instances = backend, s.kv, s.list
	set.Slots, set.DrainTimeout = slots, drainTimeout
	object.Name, object.FailureDomain, object.Slots = name, set.FailureDomain, slots
	object.Address = l.Peers.Addr().String()
	s.objects = append(s.objects, &operatorv1.Object{Kind: &operatorv1.Object_Server{Server: object}})
	s.started(name, "side", set.FailureDomain, l)
	s.group.Go(func() error { return daemon.Side(s.ctx, set, l, s.logs) })
	return nil
}

func (s *system) entry(i int) error {
	l, err := daemon.Listen(s.ctx, "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
	if err != nil {
		return err
	}
	set := entry.Defaults()
	set.Name, set.FailureDomain = fmt.Sprintf("entry-%d", i+1), failureDomains[i%len(failureDomains)]
	set.KeyValue, set.Instances = s.kv, s.list
	set.BootstrapKeySHA256, set.DrainTimeout = hash(operatorKey), drainTimeout
	s.entries = append(s.entries, "http://"+l.Callers.Addr().String())
	s.started(set.Name, "entry", set.FailureDomain, l)
	s.group.Go(func() error { return daemon.Entry(s.ctx, set, l, s.logs) })
	return nil
}

// started shows a process in the instance list and remembers its admin listener.
func (s *system) started(name, program, domain string, l *daemon.Listeners) {
	s.shown.Put(instancelist.Instance{
		Name: name, Address: l.Peers.Addr().String(), FailureDomain: domain, Program: program, State: "live",
	})
	s.admins = append(s.admins, "http://"+l.Admin.Addr().String())
}
