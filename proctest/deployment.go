package proctest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/config/settings"
	"lavendermoor.example/entry"
	"lavendermoor.example/side"
	"lavendermoor.example/standin/instancelist"
)

// Names and keys of a deployment.
const (
	Model       = "drafter"
	Service     = "booking"
	CallerKey   = "caller-key"
	OtherKey    = "other-caller-key"
	OperatorKey = "operator-key"
	// NextVersion is a version of the model beside that of the plan.
	NextVersion = "2"
)

// Domains are the failure domains over which processes are spread in turn.
var Domains = []string{"tampere", "lahti", "hameenlinna"}

// Plan describes a deployment.
type Plan struct {
	Entries, Models, Services int
	// Slots of each backend server.
	Slots int
	// Policy is the order of waiting work at the side processes; empty for the default.
	Policy string
	// EngineArgs and ServiceArgs are further flags of the stand-ins.
	EngineArgs, ServiceArgs []string
	// ListLag is the lag of the instance list.
	ListLag time.Duration
	// DrainTimeout of the daemons.
	DrainTimeout time.Duration
	// Model, if set, changes the settings of the side process of a model server.
	Model func(*side.Settings)
	// Version is the version of the model that groups serve, empty for none.
	Version string
}

// Server is one side process with its backend server.
type Server struct {
	*Proc
	Settings side.Settings
	// Backend is the URL of the stand-in behind it.
	Backend string

	// busy is held by a test that has the process in hand.
	busy sync.Mutex
}

// State returns the state dump of the present process, decoded into v.
func (s *Server) State(v any) error { return getJSON("http://"+s.Settings.Admin+"/debug/state", v) }

// Entry is one entry process.
type Entry struct {
	*Proc
	Settings entry.Settings
	// URL is the address for callers and operators.
	URL string
}

// Deployment is a running system.
type Deployment struct {
	t    testing.TB
	plan Plan

	KV, List                       *Proc
	KVURL, ListURL                 string
	EngineStandin, ServiceStandin  *Proc
	Entries                        []*Entry
	Models, Services               []*Server
	engineAddresses, bookAddresses []string

	mu sync.Mutex
	// started are all side processes ever started.
	started []*Proc
}

// ended returns all side processes ever started, also those that have ended, and the entries.
func (d *Deployment) ended() []*Proc {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := append([]*Proc{}, d.started...)
	for _, e := range d.Entries {
		out = append(out, e.Proc)
	}
	return out
}

// Deploy starts a deployment, applies its configuration with lavendermoorctl and waits until it is in force in
// every process.
func Deploy(t testing.TB, plan Plan) *Deployment {
	t.Helper()
	d := &Deployment{t: t, plan: plan}
	d.standins()
	for i := range plan.Models {
		name := serverName(Model, i)
		d.Models = append(d.Models, d.startSide(name, i, "http://"+d.engineAddresses[i]))
	}
	for i := range plan.Services {
		name := serverName(Service, i)
		d.Services = append(d.Services, d.startSide(name, i, "http://"+d.bookAddresses[i]))
	}
	for i := range plan.Entries {
		d.Entries = append(d.Entries, d.startEntry(i))
	}
	d.Entries[0].answers()
	out, code := d.Ctl("apply", "-f", d.configFile())
	require.Zero(t, code, out)
	for _, p := range d.processes() {
		p.Ready()
	}
	return d
}

func (d *Deployment) processes() []*Proc {
	var out []*Proc
	for _, e := range d.Entries {
		out = append(out, e.Proc)
	}
	for _, s := range append(append([]*Server{}, d.Models...), d.Services...) {
		out = append(out, s.Proc)
	}
	return out
}

func (d *Deployment) standins() {
	t := d.t
	kv, list := FreeAddress(t), FreeAddress(t)
	d.KVURL, d.ListURL = "http://"+kv, "http://"+list
	d.KV = Start(t, "kv", "lavendermoor-standin", "-role", "kv", "-listen", kv)
	d.List = Start(t, "instances", "lavendermoor-standin", "-role", "instances", "-listen", list,
		"-lag", d.plan.ListLag.String())
	waitAnswers(t, d.KVURL+"/standin/counts")
	waitAnswers(t, d.ListURL+"/v1/instances")
	if d.plan.Models > 0 {
		d.engineAddresses = addresses(t, d.plan.Models)
		args := append([]string{"-role", "engine", "-listen", joinAddresses(d.engineAddresses)}, d.plan.EngineArgs...)
		d.EngineStandin = Start(t, "engine", "lavendermoor-standin", args...)
		waitAnswers(t, "http://"+d.engineAddresses[d.plan.Models-1]+"/standin/counts")
	}
	if d.plan.Services > 0 {
		d.bookAddresses = addresses(t, d.plan.Services)
		args := append([]string{"-role", "service", "-listen", joinAddresses(d.bookAddresses)}, d.plan.ServiceArgs...)
		d.ServiceStandin = Start(t, "service", "lavendermoor-standin", args...)
		waitAnswers(t, "http://"+d.bookAddresses[d.plan.Services-1]+"/standin/runs")
	}
}

func addresses(t testing.TB, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = FreeAddress(t)
	}
	return out
}

func waitAnswers(t testing.TB, url string) {
	t.Helper()
	Eventually(t, url+" answers", func() bool { return status(url) == http.StatusOK })
}

func (e *Entry) answers() {
	e.t.Helper()
	Eventually(e.t, e.Name+" answers", func() bool { return status("http://"+e.Admin+"/healthz") == http.StatusOK })
}

func (d *Deployment) startSide(name string, i int, backend string) *Server {
	s := side.Defaults()
	s.Name, s.FailureDomain, s.Backend = name, Domains[i%len(Domains)], backend
	s.Listen, s.Admin = FreeAddress(d.t), FreeAddress(d.t)
	s.KeyValue, s.Instances, s.Slots = d.KVURL, d.ListURL, d.plan.Slots
	if d.plan.Policy != "" {
		s.Policy = d.plan.Policy
	}
	s.EngineContinues = true // The stand-in's answers follow from the prompt alone.
	s.DrainTimeout = settings.Duration(d.plan.DrainTimeout)
	if d.plan.Model != nil && strings.HasPrefix(name, Model) {
		d.plan.Model(&s)
	}
	srv := &Server{Settings: s, Backend: backend}
	d.runSide(srv)
	return srv
}

func (d *Deployment) runSide(s *Server) {
	file := writeSettings(d.t, s.Settings.Name, s.Settings)
	p := Start(d.t, s.Settings.Name, "lavendermoor-side", "-config", file)
	p.Admin = s.Settings.Admin
	s.Proc = p
	d.mu.Lock()
	d.started = append(d.started, p)
	d.mu.Unlock()
	d.Show(s.Settings.Name, s.Settings.Listen, s.Settings.FailureDomain, "side", "live")
}

// Restart starts a side process that has ended, as a new incarnation on the same addresses.
func (d *Deployment) Restart(s *Server) { d.runSide(s) }

func (d *Deployment) startEntry(i int) *Entry { return d.startEntryWith(i, func(*entry.Settings) {}) }

// startEntryWith starts an entry whose settings are changed by a function.
func (d *Deployment) startEntryWith(i int, change func(*entry.Settings)) *Entry {
	s := entry.Defaults()
	s.Name, s.FailureDomain = serverName("entry", i), Domains[i%len(Domains)]
	s.Listen, s.PeerListen, s.Admin = FreeAddress(d.t), FreeAddress(d.t), FreeAddress(d.t)
	s.KeyValue, s.Instances = d.KVURL, d.ListURL
	s.BootstrapKeySHA256 = HashKey(OperatorKey)
	s.DrainTimeout = settings.Duration(d.plan.DrainTimeout)
	change(&s)
	e := &Entry{Settings: s, URL: "http://" + s.Listen}
	e.Proc = Start(d.t, s.Name, "lavendermoor-entry", "-config", writeSettings(d.t, s.Name, s))
	e.Admin = s.Admin
	d.Show(s.Name, s.PeerListen, s.FailureDomain, "entry", "live")
	return e
}

// Show sets what the instance list shows of an instance, after its lag.
func (d *Deployment) Show(name, address, domain, program, state string) {
	put(d.t, d.ListURL+"/standin/instances/"+name, instancelist.Instance{
		Name: name, Address: address, FailureDomain: domain, Program: program, State: state,
	})
}

// KVFaults sets the failures of the key-value service, as kvserver.Faults.
func (d *Deployment) KVFaults(f any) { put(d.t, d.KVURL+"/standin/faults", f) }

// EngineFaults sets the failures of the engine behind a model server, as engineserver.Faults.
func (d *Deployment) EngineFaults(s *Server, f any) { put(d.t, s.Backend+"/standin/faults", f) }

// put sends a value to a stand-in.
func put(t testing.TB, url string, v any) {
	t.Helper()
	status, _, body := Do(t, http.MethodPut, url, nil, v)
	require.Equal(t, http.StatusOK, status, "%s", body)
}

// Ctl runs lavendermoorctl against the first entry as the operator.
func (d *Deployment) Ctl(args ...string) (out string, code int) {
	return d.CtlAt(d.Entries[0], args...)
}

// CtlAt is Ctl against a given entry. The flags of the connection follow the command's name.
func (d *Deployment) CtlAt(e *Entry, args ...string) (out string, code int) {
	full := append([]string{args[0], "-server", e.URL}, args[1:]...)
	return Ctl(d.t, OperatorKey, full...)
}

type document struct {
	Models    []map[string]any `json:"models,omitempty"`
	Groups    []map[string]any `json:"groups,omitempty"`
	Services  []map[string]any `json:"services,omitempty"`
	Servers   []map[string]any `json:"servers,omitempty"`
	Customers []map[string]any `json:"customers,omitempty"`
	Operators []map[string]any `json:"operators,omitempty"`
	Rules     []map[string]any `json:"rules,omitempty"`
}

// configFile writes the configuration of the deployment.
func (d *Deployment) configFile() string {
	doc := document{
		Customers: []map[string]any{customer("crew", CallerKey), customer("other", OtherKey)},
		Operators: []map[string]any{{
			"name": "operator", "role": "ROLE_ADMIN", "key": map[string]any{"id": "k", "sha256": HashKey(OperatorKey)},
		}},
	}
	if d.plan.Models > 0 {
		model := map[string]any{"name": Model}
		if d.plan.Version != "" {
			model["versions"] = []string{d.plan.Version, NextVersion}
		}
		doc.Models = append(doc.Models, model)
	}
	if d.plan.Services > 0 {
		doc.Services = append(doc.Services, map[string]any{"name": Service})
		doc.Rules = append(doc.Rules, map[string]any{
			"name": "book", "service": Service, "method": "POST", "kind": "WORK_KIND_COMMAND", "priority": 7,
		})
	}
	for _, s := range d.Models {
		doc.Groups = append(doc.Groups, map[string]any{
			"name": s.Settings.Name, "model": Model, "version": d.plan.Version, "ranks": 8, "experts": 64, "layers": 4,
		})
		doc.Servers = append(doc.Servers, d.serverObject(s, "group", s.Settings.Name))
	}
	for _, s := range d.Services {
		doc.Servers = append(doc.Servers, d.serverObject(s, "service", Service))
	}
	raw, err := json.MarshalIndent(doc, "", "  ")
	require.NoError(d.t, err)
	file := filepath.Join(d.t.TempDir(), "cluster.jsonc")
	require.NoError(d.t, os.WriteFile(file, raw, 0o600))
	return file
}

func customer(name, key string) map[string]any {
	return map[string]any{
		"name": name, "weight": 1, "keys": []map[string]any{{"id": "k", "sha256": HashKey(key)}},
	}
}

func (d *Deployment) serverObject(s *Server, field, value string) map[string]any {
	return map[string]any{
		"name": s.Settings.Name, "address": s.Settings.Listen, "failure_domain": s.Settings.FailureDomain,
		field: value, "slots": d.plan.Slots,
	}
}

// Apply writes a configuration file with the given content and applies it.
func (d *Deployment) Apply(content string) (out string, code int) {
	file := filepath.Join(d.t.TempDir(), fmt.Sprintf("change-%d.jsonc", time.Now().UnixNano()))
	require.NoError(d.t, os.WriteFile(file, []byte(content), 0o600))
	return d.Ctl("apply", "-f", file)
}
