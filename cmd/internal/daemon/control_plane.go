// Package daemon assembles the entry and sidecar processes from their parts, for their own binaries and for the demo,
// which runs all of them in one process.
package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/clients/instances"
	"lavendermoor.example/clients/kv"
	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/configsync/feed"
	"lavendermoor.example/configsync/store"
	"lavendermoor.example/telemetry"
	"lavendermoor.example/telemetry/buildinfo"
	"lavendermoor.example/telemetry/invariant"
)

// Durations of the control plane.
const (
	keyValueTimeout  = 5 * time.Second
	instancesTimeout = 2 * time.Second
	// watcherPollInterval is the interval at which the processes that watch the key-value service poll the instance
	// list. The list itself lags by more than that.
	watcherPollInterval = time.Second
	// listPollInterval is the interval of the other processes, which receive the list with the configuration. Their
	// polls only find what the feed has missed.
	listPollInterval = 30 * time.Second
	// lameDuckPeriod is the minimum time for which a draining process keeps its listeners open and refuses new requests.
	// Peers that have not noticed the drain then get an error response instead of a refused connection.
	lameDuckPeriod = time.Second
	// listenerShutdownTimeout bounds the shutdown of a listener whose work has ended.
	listenerShutdownTimeout = 2 * time.Second
)

// identity holds the names, addresses and log level of a process.
type identity struct {
	program, name, failureDomain string
	// peerAddress is the address of this process for its peers.
	peerAddress              string
	keyValueURL, instanceURL string
	logLevel                 string
}

// controlPlane is the part of a process that keeps instance list and configuration up to date.
type controlPlane struct {
	id         identity
	obs        *process.Observability
	log        *zap.Logger
	meter      metric.Meter
	kv         kv.Store
	store      *store.Store
	node       *feed.Node
	listClient *instances.Client
	listCache  *instances.Cache
	// cachedPeers caches the peers of the latest instance list.
	cachedPeers atomic.Pointer[peerList]
	client      *http.Client
}

func newControlPlane(id identity, logs io.Writer) (*controlPlane, error) {
	obs, err := process.NewObservability(logs, id.program, id.name, id.logLevel)
	if err != nil {
		return nil, err
	}
	c := &controlPlane{id: id, obs: obs, log: obs.Log, meter: obs.Meter, client: &http.Client{}}
	invariant.OnViolation(func(v *invariant.ViolationError) {
		c.log.Error("invariant violated", zap.String("property", string(v.Property)), zap.String("detail", v.Detail))
	})
	return c, c.connect()
}

func (c *controlPlane) connect() error {
	kvURL, err := url.Parse(c.id.keyValueURL)
	if err != nil {
		return err
	}
	listURL, err := url.Parse(c.id.instanceURL)
	if err != nil {
		return err
	}
	observe, err := telemetry.NewCallCounter(c.meter, "lavendermoor.kv.calls",
		"Calls of the key-value service, by call and result.")
	if err != nil {
		return err
	}
	c.kv = kv.NewClient(kvURL, keyValueTimeout, observe)
	c.store = store.New(c.kv)
	c.listClient, c.listCache = instances.NewClient(listURL, instancesTimeout), instances.NewCache()
	c.node = feed.NewNode(feed.Options{
		Self:  feed.Peer{Name: c.id.name, Address: c.id.peerAddress, FailureDomain: c.id.failureDomain},
		Peers: c.feedPeers, Store: c.store, Attachment: c.listCache, Client: c.client, Log: c.log,
	})
	if err := c.node.Register(c.meter); err != nil {
		return err
	}
	return telemetry.RegisterInstruments(c.meter, []telemetry.Instrument{telemetry.InvariantViolations(), {
		Name: "lavendermoor.instances.version", Description: "Version of the instance list that is known.",
		Value: c.listCache.Version,
	}})
}

// instances returns the latest instance list.
func (c *controlPlane) instances() []instances.Instance { return c.listCache.List().Instances }

// peerList holds the peers of one version of the instance list.
type peerList struct {
	version int64
	peers   []feed.Peer
}

// feedPeers returns the live processes, which serve the configuration. It returns the same slice until the instance
// list changes.
func (c *controlPlane) feedPeers() []feed.Peer {
	list := c.listCache.List()
	if last := c.cachedPeers.Load(); last != nil && last.version == list.Version {
		return last.peers
	}
	out := make([]feed.Peer, 0, len(list.Instances))
	for _, i := range list.Instances {
		if i.State == instances.Live {
			out = append(out, feed.Peer{Name: i.Name, Address: i.Address, FailureDomain: i.FailureDomain})
		}
	}
	c.cachedPeers.Store(&peerList{version: list.Version, peers: out})
	return out
}

// expectedProcesses returns every process that should exist: this one, those in the instance list, and the sidecars of
// the configured servers, which the list may lack. They are sorted by name.
func (c *controlPlane) expectedProcesses() []feed.Peer {
	byName := map[string]feed.Peer{}
	if st := c.node.State(); st != nil {
		for name, s := range st.Servers() {
			byName[name] = feed.Peer{Name: name, Address: s.GetAddress(), FailureDomain: s.GetFailureDomain()}
		}
	}
	for _, p := range c.feedPeers() {
		byName[p.Name] = p
	}
	byName[c.id.name] = feed.Peer{Name: c.id.name, Address: c.id.peerAddress, FailureDomain: c.id.failureDomain}
	return slices.SortedFunc(maps.Values(byName), func(a, b feed.Peer) int { return strings.Compare(a.Name, b.Name) })
}

// run keeps instance list and configuration up to date until the context ends. It calls onList with each new list.
func (c *controlPlane) run(ctx context.Context, onList func(instances.List)) error {
	go c.listClient.Run(ctx, c.listCache, c.pollInterval, func(err error) {
		c.log.Warn("cannot read the instance list", zap.Error(err))
	})
	go func() {
		for {
			changed := c.listCache.Changed()
			onList(c.listCache.List())
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	err := c.node.Run(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (c *controlPlane) pollInterval() time.Duration {
	if c.node.IsWatcher() {
		return watcherPollInterval
	}
	return listPollInterval
}

// register adds the routes that every process serves for its peers.
func (c *controlPlane) register(r *mux.Router, draining func() bool) {
	r.Handle(peerapi.PathConfig, c.node.Handler()).Methods(http.MethodGet)
	r.HandleFunc(peerapi.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the peer has disconnected, which needs no further action.
		_ = json.NewEncoder(w).Encode(c.status(draining()))
	}).Methods(http.MethodGet)
}

func (c *controlPlane) status(draining bool) peerapi.Status {
	build := buildinfo.Current()
	s := peerapi.Status{
		Name: c.id.name, Program: c.id.program, Refused: c.node.Refused(), Draining: draining,
		Build: &peerapi.Build{Version: build.Version, Revision: build.Revision, ID: build.BuildID},
	}
	if st := c.node.State(); st != nil {
		s.Revision = st.Revision
	}
	return s
}

func (c *controlPlane) admin(state func() any, ready func() bool) http.Handler {
	return c.obs.Admin(state, ready).Handler()
}

// Listeners are the open ports of a process.
type Listeners struct {
	// Callers is nil except in an entry process.
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// Listen opens the ports. The address callers may be empty. It waits for addresses in use like process.Listen.
func Listen(ctx context.Context, log *zap.Logger, callers, peers, admin string) (*Listeners, error) {
	l, err := process.Listen(ctx, log, callers, peers, admin)
	if err != nil {
		return nil, err
	}
	return &Listeners{Callers: l[0], Peers: l[1], Admin: l[2]}, nil
}

// waitForDrain waits for the lame duck period, then until the running work has ended or the timeout has passed.
func (c *controlPlane) waitForDrain(idle func() bool, timeout time.Duration) {
	c.log.Info("draining")
	time.Sleep(lameDuckPeriod)
	if !waitUntil(idle, timeout) {
		c.log.Warn("drain timeout expired while work was running")
	}
}

// waitUntil waits until done returns true or the timeout has passed. It returns the last result of done.
func waitUntil(done func() bool, timeout time.Duration) bool {
	const interval = 20 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(interval) {
		if done() {
			return true
		}
	}
	return done()
}
