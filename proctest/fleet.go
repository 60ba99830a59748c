package proctest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/replicaserver"
)

// Fleet is the system on a stand-in of the users' platform: gateways, a process beside each model replica, and proxies on
// the links.
type Fleet struct {
	t testing.TB
	// StoreURL is that of the store itself, without a proxy.
	StoreURL string
	Platform *Proc
	Gateways []*Gateway
	Ranks    []*RankProcess
	// Replicas are the links to the model replicas and then to the plain ones, as gateways have them.
	Replicas []*Proxy
	// replicaURLs are those of the replicas themselves.
	replicaURLs []string
	version     int
}

// Gateway is one gateway process with its link to the store.
type Gateway struct {
	*Proc
	Store *Proxy
	URL   string
	ready string
	file  string
}

// RankProcess is one process beside a model replica with its link to the store.
type RankProcess struct {
	*Proc
	Store *Proxy
	file  string
}

// FleetPlan is the size of a Fleet.
type FleetPlan struct{ Gateways, Models, Plain int }

// DeployFleet starts a fleet with a configuration and waits until every gateway serves.
func DeployFleet(t testing.TB, plan FleetPlan) *Fleet {
	t.Helper()
	f := &Fleet{t: t}
	f.startPlatform(plan)
	port := f.rankPort(plan.Models)
	for i := range plan.Models {
		f.startRank(i, port)
	}
	for i := range plan.Gateways {
		f.startGateway(i, port)
	}
	f.Configure(CallerKey)
	for _, g := range f.Gateways {
		Eventually(t, g.Name+" is ready", func() bool { return status(g.ready+"/readyz") == http.StatusOK })
	}
	return f
}

// instanceIP returns the address of an instance: the processes beside model replicas use one port on all instances.
func instanceIP(i int) string {
	host := loopback()
	return host[:strings.LastIndexByte(host, '.')+1] + strconv.Itoa(10+i)
}

func (f *Fleet) startPlatform(plan FleetPlan) {
	store := FreeAddress(f.t)
	f.StoreURL = "http://" + store
	listen, advertise := []string{store}, []string{}
	for i := range plan.Models + plan.Plain {
		ip := instanceIP(i)
		far := freeAddressAt(f.t, ip)
		listen = append(listen, far)
		if i < plan.Models {
			listen = append(listen, freeAddressAt(f.t, ip))
		}
		p := NewProxy(f.t, ip, far)
		f.Replicas = append(f.Replicas, p)
		f.replicaURLs = append(f.replicaURLs, "http://"+far)
		advertise = append(advertise, p.Address)
	}
	f.Platform = Start(f.t, "platform", "lavendermoor-standin", "-role", "platform", "-listen", strings.Join(listen, ","),
		"-models", strconv.Itoa(plan.Models), "-advertise", strings.Join(advertise, ","))
	waitAnswers(f.t, f.StoreURL+"/standin/group")
	for i := range plan.Models {
		f.Ranks = append(f.Ranks, &RankProcess{file: listen[2+2*i]})
	}
}

// rankPort returns a port that is free on all instances of model replicas.
func (f *Fleet) rankPort(models int) int {
	for {
		_, text, err := net.SplitHostPort(freeAddressAt(f.t, instanceIP(0)))
		require.NoError(f.t, err)
		free := true
		for i := range models {
			l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(instanceIP(i), text))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if port, err := strconv.Atoi(text); free && err == nil {
			return port
		}
	}
}

func (f *Fleet) startRank(i, port int) {
	r := f.Ranks[i]
	near := r.file
	r.Store = NewProxy(f.t, loopback(), strings.TrimPrefix(f.StoreURL, "http://"))
	name := fmt.Sprint("rank-", i)
	r.file = writeSettings(f.t, name, map[string]any{
		"name": name, "ip": instanceIP(i), "peer_port": port, "replica": near, "service": replicaserver.ModelService,
		"store": r.Store.Address, "require_fence": true,
	})
	r.Proc = f.start(name, "lavendermoor-rank", r.file)
}

func (f *Fleet) startGateway(i, port int) {
	listen, ready, control := FreeAddress(f.t), FreeAddress(f.t), FreeAddress(f.t)
	g := &Gateway{URL: "http://" + listen, ready: "http://" + ready}
	g.Store = NewProxy(f.t, loopback(), strings.TrimPrefix(f.StoreURL, "http://"))
	var peers []string
	for _, other := range f.Gateways {
		peers = append(peers, other.Admin)
	}
	name := fmt.Sprint("gateway-", i)
	g.file = writeSettings(f.t, name, map[string]any{
		"name": name, "failure_domain": fmt.Sprint("domain-", i%2), "listen": listen, "ready_listen": ready,
		"control_listen": control, "store": g.Store.Address, "peers": peers, "rank_port": port, "grace_seconds": 6,
		"retry_ratio": 0.2, "retry_slack": 90,
	})
	g.Proc = f.start(name, "lavendermoor-gateway", g.file)
	g.Admin = control
	f.Gateways = append(f.Gateways, g)
}

// start starts a program with a settings file.
func (f *Fleet) start(name, program, file string) *Proc {
	return Start(f.t, name, program, "-config", file)
}

// RestartRank starts a process beside a replica again.
func (f *Fleet) RestartRank(r *RankProcess) { r.Proc = f.start(r.Name, "lavendermoor-rank", r.file) }

// RestartGateway starts a gateway again on its addresses.
func (f *Fleet) RestartGateway(g *Gateway) {
	admin := g.Admin
	g.Proc = f.start(g.Name, "lavendermoor-gateway", g.file)
	g.Admin = admin
}

// SetFaults sets the faults of a replica.
func (f *Fleet) SetFaults(i int, faults replicaserver.Faults) {
	put(f.t, f.replicaURLs[i]+"/standin/faults", faults)
}

// Host is that of all routes.
const Host = "h.example"

// Configure writes the next version of the configuration, with the keys of the caller and further routes to the plain
// service.
func (f *Fleet) Configure(key string, further ...string) int {
	f.version++
	route := func(path, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"Name": path, "Host": Host, "PathPrefix": path, "Kind": kind, "TimeoutMs": 8000, "SloMs": 500, "GapAimMs": 150,
			"MaxAttempts": 2, "Resumable": resumable, "Service": service,
		}
	}
	routes := []map[string]any{
		route("/stream/", "streaming", replicaserver.ModelService, true),
		route("/once/", "non_idempotent", replicaserver.PlainService, false),
		route("/read/", "idempotent", replicaserver.PlainService, false),
	}
	for _, path := range further {
		routes = append(routes, route(path, "idempotent", replicaserver.PlainService, false))
	}
	put(f.t, f.StoreURL+"/standin/key?Key=op/config", map[string]any{
		"Version": f.version, "Routes": routes, "Services": f.services(),
		"Limits":  map[string]any{"HeaderBytes": 16384, "BodyBytes": 1 << 20, "HeaderMs": 3000, "IdleMs": 15000},
		"Tenants": []map[string]any{{"Name": customerName, "ApiKeys": []string{CallerKey, key}}},
	})
	return f.version
}

// customerName is the name of the customer that has the caller's keys.
const customerName = "crew"

func (f *Fleet) services() []map[string]any {
	return []map[string]any{
		{"Name": replicaserver.PlainService, "HealthPath": "/health", "MaxConns": 100},
		{"Name": replicaserver.ModelService, "HealthPath": "/health", "MaxConns": 100, "InferenceEngine": map[string]any{
			"Slots": 8, "KvCapacity": 100000, "Stride": 1, "LinkMbps": 180000.0, "step_ms": 4.0, "per_seq_ms": 0.5,
			"read_per_s": 60000.0, "chunk": 512, "Sets": replicaserver.Layers, "Experts": replicaserver.Experts,
			"Places": replicaserver.ExpertSlots, "Spare": replicaserver.MaxNewPerLayer, "ExpertMb": 900.0, "form_ms": 300.0,
		}},
	}
}

// Group returns the counts of the model group.
func (f *Fleet) Group() replicaserver.Counts {
	var c replicaserver.Counts
	require.NoError(f.t, getJSON(f.StoreURL+"/standin/group", &c))
	return c
}

// Runs returns all runs of requests at the replicas.
func (f *Fleet) Runs() []replicaserver.Run {
	var runs []replicaserver.Run
	require.NoError(f.t, getJSON(f.StoreURL+"/standin/runs", &runs))
	return runs
}
