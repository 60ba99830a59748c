package proctest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/replicaserver"
)

// Fleet is a running system of gateways and rank sidecars on a stand-in for the users' platform, with a proxy on each
// link to the store and to the replicas.
type Fleet struct {
	t testing.TB
	// StoreURL is the URL of the store without a proxy.
	StoreURL     string
	Platform     *Proc
	Gateways     []*Gateway
	RankSidecars []*RankSidecar
	// ReplicaLinks are the links from the gateways to the model replicas, followed by those to the plain replicas.
	ReplicaLinks []*Proxy
	// replicaURLs are the URLs of the replicas without a proxy.
	replicaURLs   []string
	configVersion int
	size          FleetSize

	mu sync.Mutex
	// started are all gateway and rank sidecar processes started so far, including exited ones.
	started []*Proc
	// lastConfig is the configuration that was last written as the operator.
	lastConfig map[string]any
	// plainWarmupS and plainWarmupPerS are the warm-up of the plain service in the configuration.
	plainWarmupS, plainWarmupPerS float64
}

// Gateway is a gateway process with its link to the store.
type Gateway struct {
	*Proc
	StoreLink    *Proxy
	URL          string
	readyURL     string
	settingsFile string
}

// Listen returns the address for callers.
func (g *Gateway) Listen() string { return strings.TrimPrefix(g.URL, "http://") }

// RankSidecar is the sidecar process of a model replica with its link to the store.
type RankSidecar struct {
	*Proc
	StoreLink *Proxy
	// settingsFile holds the address of the replica until startRankSidecar replaces it with the path of the settings file.
	settingsFile string
	peerAddress  string
}

// PeerAddress returns the address on which the sidecar listens.
func (r *RankSidecar) PeerAddress() string { return r.peerAddress }

// FleetSize is the number of processes of each kind in a Fleet.
type FleetSize struct {
	Gateways, ModelReplicas, PlainReplicas int
	// MemoryMB and Descriptors are the limits of each gateway and rank sidecar, 0 for the defaults.
	MemoryMB    int64
	Descriptors int
}

// DeployFleet starts a fleet, writes its configuration and waits until every gateway is ready.
func DeployFleet(t testing.TB, size FleetSize) *Fleet {
	t.Helper()
	f := &Fleet{t: t, size: size}
	f.startPlatform(size)
	rankPort := f.freeRankPort(size.ModelReplicas)
	for i := range size.ModelReplicas {
		f.startRankSidecar(i, rankPort)
	}
	for i := range size.Gateways {
		f.startGateway(i, rankPort)
	}
	f.Configure(CallerKey)
	for _, g := range f.Gateways {
		Eventually(t, g.Name+" is ready", func() bool { return statusCode(g.readyURL+"/readyz") == http.StatusOK })
	}
	return f
}

// instanceIP returns the IP of an instance. Each instance has its own IP because all rank sidecars use the same port.
func instanceIP(i int) string {
	ip := loopbackIP()
	return ip[:strings.LastIndexByte(ip, '.')+1] + strconv.Itoa(10+i)
}

func (f *Fleet) startPlatform(size FleetSize) {
	store := FreeAddress(f.t)
	f.StoreURL = "http://" + store
	listen, advertise := []string{store}, []string{}
	for i := range size.ModelReplicas + size.PlainReplicas {
		ip := instanceIP(i)
		replicaAddress := freeAddressOn(f.t, ip)
		listen = append(listen, replicaAddress)
		if i < size.ModelReplicas {
			listen = append(listen, freeAddressOn(f.t, ip))
		}
		p := NewProxy(f.t, ip, replicaAddress)
		f.ReplicaLinks = append(f.ReplicaLinks, p)
		f.replicaURLs = append(f.replicaURLs, "http://"+replicaAddress)
		advertise = append(advertise, p.Address)
	}
	f.Platform = Start(f.t, "platform", "lavendermoor-standin", "-role", "platform", "-listen", strings.Join(listen, ","),
		"-models", strconv.Itoa(size.ModelReplicas), "-advertise", strings.Join(advertise, ","))
	waitStatusOK(f.t, f.StoreURL+"/standin/group")
	for i := range size.ModelReplicas {
		f.RankSidecars = append(f.RankSidecars, &RankSidecar{settingsFile: listen[2+2*i]})
	}
}

// freeRankPort returns a port that is free on the instances of all model replicas.
func (f *Fleet) freeRankPort(modelReplicas int) int {
	for {
		_, portText, err := net.SplitHostPort(freeAddressOn(f.t, instanceIP(0)))
		require.NoError(f.t, err)
		free := true
		for i := range modelReplicas {
			l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(instanceIP(i), portText))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if port, err := strconv.Atoi(portText); free && err == nil {
			return port
		}
	}
}

func (f *Fleet) startRankSidecar(i, rankPort int) {
	r := f.RankSidecars[i]
	localAddress := r.settingsFile
	r.StoreLink = NewProxy(f.t, loopbackIP(), strings.TrimPrefix(f.StoreURL, "http://"))
	r.peerAddress = net.JoinHostPort(instanceIP(i), strconv.Itoa(rankPort))
	name := fmt.Sprint("rank-", i)
	r.settingsFile = f.writeSettings(name, map[string]any{
		"name": name, "ip": instanceIP(i), "peer_port": rankPort, "replica": localAddress,
		"service": replicaserver.ModelService, "store": r.StoreLink.Address, "require_fence": true,
	})
	r.Proc = f.startProgram(name, "lavendermoor-rank", r.settingsFile)
}

func (f *Fleet) startGateway(i, rankPort int) {
	listen, ready, control := FreeAddress(f.t), FreeAddress(f.t), FreeAddress(f.t)
	g := &Gateway{URL: "http://" + listen, readyURL: "http://" + ready}
	g.StoreLink = NewProxy(f.t, loopbackIP(), strings.TrimPrefix(f.StoreURL, "http://"))
	var peers []string
	for _, other := range f.Gateways {
		peers = append(peers, other.AdminAddress)
	}
	name := fmt.Sprint("gateway-", i)
	g.settingsFile = f.writeSettings(name, map[string]any{
		"name": name, "failure_domain": fmt.Sprint("domain-", i%2), "listen": listen, "ready_listen": ready,
		"control_listen": control, "store": g.StoreLink.Address, "peers": peers, "rank_port": rankPort, "grace_seconds": 6,
		"retry_ratio": 0.2, "retry_slack": 90,
	})
	g.Proc = f.startProgram(name, "lavendermoor-gateway", g.settingsFile)
	g.AdminAddress = control
	f.Gateways = append(f.Gateways, g)
}

// writeSettings writes a settings file with the memory of the fleet's size and returns its path.
func (f *Fleet) writeSettings(name string, settings map[string]any) string {
	if f.size.MemoryMB > 0 {
		settings["memory_mb"] = f.size.MemoryMB
	}
	return writeSettings(f.t, name, settings)
}

// startProgram starts a program with the given settings file.
func (f *Fleet) startProgram(name, program, file string) *Proc {
	var p *Proc
	if f.size.Descriptors > 0 {
		p = StartLimited(f.t, f.size.Descriptors, name, program, "-config", file)
	} else {
		p = Start(f.t, name, program, "-config", file)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = append(f.started, p)
	return p
}

// startedProcesses returns all gateway and rank sidecar processes started so far, including exited ones.
func (f *Fleet) startedProcesses() []*Proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.started)
}

// RestartRankSidecar starts an exited rank sidecar again.
func (f *Fleet) RestartRankSidecar(r *RankSidecar) {
	r.Proc = f.startProgram(r.Name, "lavendermoor-rank", r.settingsFile)
}

// RestartGateway starts an exited gateway again on the same addresses.
func (f *Fleet) RestartGateway(g *Gateway) {
	admin := g.AdminAddress
	g.Proc = f.startProgram(g.Name, "lavendermoor-gateway", g.settingsFile)
	g.AdminAddress = admin
}

// SetReplicaFaults sets the faults of the replica with index i.
func (f *Fleet) SetReplicaFaults(i int, faults replicaserver.Faults) {
	putJSON(f.t, f.replicaURLs[i]+"/standin/faults", faults)
}

// RouteHost is the host of all routes.
const RouteHost = "h.example"

// Configure writes the next version of the configuration to the store and returns its number. The customer has the keys
// CallerKey and extraKey. Each path in extraPaths gets a route to the plain service.
func (f *Fleet) Configure(extraKey string, extraPaths ...string) int {
	return f.configureCustomers([]customer{{Name: customerName, Keys: []string{CallerKey, extraKey}}}, extraPaths...)
}

// customer is a customer of a configuration.
type customer struct {
	Name string   `json:"Name"`
	Keys []string `json:"ApiKeys"`
}

// configureCustomers is Configure with a list of customers.
func (f *Fleet) configureCustomers(customers []customer, extraPaths ...string) int {
	f.configVersion++
	route := func(path, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"Name": path, "Host": RouteHost, "PathPrefix": path, "Kind": kind, "TimeoutMs": 8000, "SloMs": 500, "GapAimMs": 150,
			"MaxAttempts": 2, "Resumable": resumable, "Service": service,
		}
	}
	routes := []map[string]any{
		route("/stream/", "streaming", replicaserver.ModelService, true),
		route("/once/", "non_idempotent", replicaserver.PlainService, false),
		route("/read/", "idempotent", replicaserver.PlainService, false),
	}
	for _, path := range extraPaths {
		routes = append(routes, route(path, "idempotent", replicaserver.PlainService, false))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastConfig = map[string]any{
		"Version": f.configVersion, "Routes": routes, "Services": f.services(),
		"Limits":  map[string]any{"HeaderBytes": 16384, "BodyBytes": 1 << 20, "HeaderMs": 3000, "IdleMs": 15000},
		"Tenants": customers,
	}
	putJSON(f.t, f.StoreURL+"/standin/key?Key=op/config", f.lastConfig)
	return f.configVersion
}

// rewriteConfig writes the last configuration again, as the operator who finds another value in its place.
func (f *Fleet) rewriteConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	putJSON(f.t, f.StoreURL+"/standin/key?Key=op/config", f.lastConfig)
}

// writeConfig writes bytes of another writer in place of the configuration.
func (f *Fleet) writeConfig(value string) {
	status, _, body := Do(f.t, http.MethodPut, f.StoreURL+"/standin/key?Key=op/config", nil, []byte(value))
	require.Equal(f.t, http.StatusOK, status, "%s", body)
}

// customerName is the name of the customer that owns the callers' keys.
const customerName = "crew"

func (f *Fleet) services() []map[string]any {
	return []map[string]any{
		{
			"Name": replicaserver.PlainService, "HealthPath": "/health", "MaxConns": 100,
			"WarmupS": f.plainWarmupS, "WarmupPerS": f.plainWarmupPerS,
		},
		{"Name": replicaserver.ModelService, "HealthPath": "/health", "MaxConns": 100, "InferenceEngine": map[string]any{
			"Slots": 8, "KvCapacity": 100000, "Stride": 1, "LinkMbps": 180000.0, "step_ms": 4.0, "per_seq_ms": 0.5,
			"read_per_s": 60000.0, "chunk": 512, "Sets": replicaserver.Layers, "Experts": replicaserver.Experts,
			"Places": replicaserver.ExpertSlots, "Spare": replicaserver.MaxNewPerLayer, "ExpertMb": 900.0, "form_ms": 300.0,
		}},
	}
}

// GroupCounts returns the counters of the model group.
func (f *Fleet) GroupCounts() replicaserver.Counts {
	var c replicaserver.Counts
	require.NoError(f.t, getJSON(f.StoreURL+"/standin/group", &c))
	return c
}

// Runs returns all executions of requests at the replicas.
func (f *Fleet) Runs() []replicaserver.Run {
	var runs []replicaserver.Run
	require.NoError(f.t, getJSON(f.StoreURL+"/standin/runs", &runs))
	return runs
}

// Arrivals returns all arrivals of requests at the replicas.
func (f *Fleet) Arrivals() []replicaserver.Arrival {
	var arrivals []replicaserver.Arrival
	require.NoError(f.t, getJSON(f.StoreURL+"/standin/arrivals", &arrivals))
	return arrivals
}
