package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Gateways and PlainReplicas are the numbers of machines of these kinds. There is one side machine for each rank.
const (
	Gateways      = 4
	PlainReplicas = 3
)

// Names in the configuration.
const (
	Host   = "ficu95.example"
	Key    = "n2ctnfzs989anu6wsjnb"
	Tenant = "hule930"
)

// Gateway is a front machine with its process.
type Gateway struct {
	*Proc
	URL, readyURL, Control string
}

// Options chooses what a rig does besides a sound deployment.
type Options struct {
	// DelayAnswer is asked for each request that one side machine sends to the sidecar of the machine with index to. It
	// returns how long the answer is kept back by the link.
	DelayAnswer func(to int, request []byte) time.Duration
	// MemoryMB is memory_mb of the gateways, 284 if it is 0.
	MemoryMB int
}

// Rig is a deployment on loopback addresses.
type Rig struct {
	Store    *Store
	Group    *Group
	Models   []*Replica
	Plain    []*Replica
	Gateways []*Gateway
	Sides    []*Proc
	Rec      *Record

	opts     Options
	dir      string
	programs string
	prefix   string
	rankPort int
	stop     chan struct{}
	stopOnce sync.Once
}

// New returns a rig whose processes are not started. programs is the folder with the programs of the deploy file, record
// the path of the record.
func New(programs, record string, opts Options) (*Rig, error) {
	rec, err := NewRecord(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lavendermoor-review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	return &Rig{
		Store: NewStore(), Group: NewGroup(rec), Rec: rec, opts: opts, dir: dir, programs: programs,
		prefix: fmt.Sprintf("127.%d.%d.", 1+pid>>8&0x7f, pid&0xff), stop: make(chan struct{}),
	}, nil
}

// Stop ends all processes and removes the temporary folder. With the environment variable KEEP_LOGS set, the logs of the
// processes stay.
func (r *Rig) Stop() {
	r.stopOnce.Do(func() {
		for _, p := range r.procs() {
			p.Kill()
		}
		close(r.stop)
		r.Rec.Close()
		if os.Getenv("KEEP_LOGS") != "" {
			fmt.Println("logs:", r.dir)
			return
		}
		_ = os.RemoveAll(r.dir)
	})
}

// Stopped is closed when the rig stops.
func (r *Rig) Stopped() <-chan struct{} { return r.stop }

func (r *Rig) procs() []*Proc {
	var out []*Proc
	for _, g := range r.Gateways {
		out = append(out, g.Proc)
	}
	return append(out, r.Sides...)
}

// KillAll kills all processes and starts them again after a time.
func (r *Rig) KillAll(down time.Duration) error {
	for _, p := range r.procs() {
		p.Kill()
	}
	time.Sleep(down)
	for _, p := range r.procs() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// listen listens on a free port of the machine with an index.
func (r *Rig) listen(machine int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("%s%d:0", r.prefix, machine))
}

// Machines by index: the store, the plain replicas, the fronts, and for each side machine its own address and the one
// under which the others reach it, with a link between the two.
const (
	storeMachine   = 1
	plainMachine   = 10
	frontMachine   = 20
	sideMachine    = 50
	sideLinkOffset = 100
)

// freePort returns a port that is free on all side machines.
func (r *Rig) freePort() (int, error) {
	for port := 7340; port < 30000; port += 17 {
		free := true
		for i := range Ranks {
			for _, machine := range []int{sideMachine + i, sideMachine + sideLinkOffset + i} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", r.prefix, machine, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, os.ErrNotExist
}

// Start starts everything and waits until all gateways are ready.
func (r *Rig) Start() error {
	store, err := r.listen(storeMachine)
	if err != nil {
		return err
	}
	go serve(store, r.Store.Handler())
	if r.rankPort, err = r.freePort(); err != nil {
		return err
	}
	if err := r.startReplicas(store.Addr().String()); err != nil {
		return err
	}
	r.Store.Write("op/config", Config(7, Key))
	if err := r.startGateways(store.Addr().String()); err != nil {
		return err
	}
	go r.Group.Run(r.stop)
	return r.WaitReady(15 * time.Second)
}

func serve(l net.Listener, h http.Handler) { _ = (&http.Server{Handler: h}).Serve(l) }

var zones = []string{"tampere", "lahti", "hameenlinna"}

func (r *Rig) startReplicas(store string) error {
	for i := range PlainReplicas {
		l, err := r.listen(plainMachine + i)
		if err != nil {
			return err
		}
		p := NewReplica(fmt.Sprintf("i-plain%d", i), l.Addr().String(), zones[i%len(zones)], nil, 0, r.Rec)
		r.Plain = append(r.Plain, p)
		go serve(l, p.Handler(false))
		go p.Register(r.Store, r.stop)
	}
	for i := range Ranks {
		if err := r.startSide(i, store); err != nil {
			return err
		}
	}
	return nil
}

// startSide starts the model replica and the sidecar of one side machine.
func (r *Rig) startSide(i int, store string) error {
	own, err := r.listen(sideMachine + i)
	if err != nil {
		return err
	}
	others, err := r.listen(sideMachine + sideLinkOffset + i)
	if err != nil {
		return err
	}
	m := NewReplica(fmt.Sprintf("i-model%d", i), others.Addr().String(), zones[i%len(zones)], r.Group, i, r.Rec)
	r.Models = append(r.Models, m)
	go serve(own, m.Handler(true))
	go serve(others, m.Handler(false))
	go m.Register(r.Store, r.stop)
	link, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", r.prefix, sideMachine+sideLinkOffset+i, r.rankPort))
	if err != nil {
		return err
	}
	var delay func([]byte) time.Duration
	if r.opts.DelayAnswer != nil {
		delay = func(request []byte) time.Duration { return r.opts.DelayAnswer(i, request) }
	}
	ip := fmt.Sprintf("%s%d", r.prefix, sideMachine+i)
	NewProxy(link, fmt.Sprintf("%s:%d", ip, r.rankPort), delay)
	return r.startProc(&r.Sides, fmt.Sprintf("side-%d", i), "lavendermoor-rank", map[string]any{
		"name": fmt.Sprintf("side-%d", i), "ip": ip, "peer_port": r.rankPort, "replica": own.Addr().String(),
		"service": ModelService, "store": store, "require_fence": true, "memory_mb": 152,
	})
}

func (r *Rig) startProc(list *[]*Proc, name, program string, settings map[string]any) error {
	raw, _ := json.MarshalIndent(settings, "", "  ")
	p, err := NewProc(r.dir, name, filepath.Join(r.programs, program), raw)
	if err != nil {
		return err
	}
	*list = append(*list, p)
	return p.Start()
}

func (r *Rig) startGateways(store string) error {
	type ports struct{ listen, ready, control string }
	var all []ports
	var seeds []string
	for i := range Gateways {
		var p ports
		for _, address := range []*string{&p.listen, &p.ready, &p.control} {
			l, err := r.listen(frontMachine + i)
			if err != nil {
				return err
			}
			*address = l.Addr().String()
			_ = l.Close()
		}
		all = append(all, p)
		if len(seeds) < 3 {
			seeds = append(seeds, p.control)
		}
	}
	memory := r.opts.MemoryMB
	if memory == 0 {
		memory = 284
	}
	for i, p := range all {
		var procs []*Proc
		name := fmt.Sprintf("front-%d", i)
		err := r.startProc(&procs, name, "lavendermoor-gateway", map[string]any{
			"name": name, "failure_domain": zones[i%len(zones)], "listen": p.listen, "ready_listen": p.ready,
			"control_listen": p.control, "store": store, "peers": seeds, "rank_port": r.rankPort, "grace_seconds": 8,
			"retry_ratio": 0.2, "retry_slack": 92, "retry_window_seconds": 10, "config_ms": 2000, "drain_ms": 2000,
			"memory_mb": memory,
		})
		if err != nil {
			return err
		}
		r.Gateways = append(r.Gateways, &Gateway{
			Proc: procs[0], URL: "http://" + p.listen, readyURL: "http://" + p.ready + "/readyz", Control: p.control,
		})
	}
	return nil
}

// Ready reports whether a gateway says that it is ready.
func (g *Gateway) Ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get(g.readyURL)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all gateways are ready.
func (r *Rig) WaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range r.Gateways {
			if g.Ready() {
				ready++
			}
		}
		if ready == len(r.Gateways) {
			return nil
		}
	}
	return os.ErrDeadlineExceeded
}

// Planner returns the index of the side machine that holds the lease of the group, -1 if none does.
func (r *Rig) Planner() int {
	var lease struct {
		Holder string `json:"holder"`
	}
	if json.Unmarshal(r.Store.Get("lease/rank/"+r.Group.Name), &lease) != nil {
		return -1
	}
	for i, p := range r.Sides {
		if strings.HasPrefix(lease.Holder, p.Name+"@") {
			return i
		}
	}
	return -1
}

// Config returns a configuration with a version and the keys of the tenant.
func Config(version int, keys ...string) []byte {
	route := func(name, prefix, kind, service string, timeout, slo, gap, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": Host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout, "SloMs": slo, "Priority": 1,
			"Service": service, "MaxAttempts": attempts, "Public": false, "Affinity": resumable, "Resumable": resumable,
			"GapAimMs": gap,
		}
	}
	raw, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{
			route("note", "/note/", "streaming", ModelService, 8000, 500, 120, 2, true),
			route("book", "/book/", "non_idempotent", PlainService, 800, 150, 0, 1, false),
			route("look", "/look/", "idempotent", PlainService, 800, 150, 0, 2, false),
		},
		"Services": []any{
			map[string]any{"Name": ModelService, "HealthPath": "/health", "MaxConns": 258, "InferenceEngine": map[string]any{
				"Slots": Slots, "KvCapacity": 280000, "KvTokenBytes": 35136, "LinkMbps": 180000.0, "Stride": Stride,
				"step_ms": stepMs, "per_seq_ms": perSeqMs, "context_per_k": 0.0183, "read_per_s": 61400.0, "pairs_per_m": 0.525,
				"chunk": 512, "report_lag_ms": 200.0, "Sets": Sets, "Experts": Experts, "Places": Places, "Spare": Spare,
				"ExpertMb": 2200.0, "ExpertShare": expertShare, "form_ms": 600.0,
			}},
			map[string]any{"Name": PlainService, "HealthPath": "/health", "MaxConns": 110},
		},
		"Limits":  map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderMs": 3000, "IdleMs": 15000},
		"Tenants": []any{map[string]any{"Name": Tenant, "ApiKeys": keys}},
	})
	return raw
}
