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
	ModelName      = "drafter"
	ServiceName    = "booking"
	CallerKey      = "caller-key"
	OtherCallerKey = "other-caller-key"
	OperatorKey    = "operator-key"
	// NextVersion is a second version of the model.
	NextVersion = "2"
)

// FailureDomains are assigned to processes in round-robin order.
var FailureDomains = []string{"tampere", "lahti", "hameenlinna"}

// DeploymentOptions are the options of Deploy.
type DeploymentOptions struct {
	Entries, Models, Services int
	// Slots is the number of slots of each backend server.
	Slots int
	// AdmissionPolicy is the policy by which the sidecars order waiting requests; empty means the default.
	AdmissionPolicy string
	// EngineArgs and ServiceArgs are additional flags of the stand-ins.
	EngineArgs, ServiceArgs []string
	// InstanceListLag is the delay after which the instance list shows a change.
	InstanceListLag time.Duration
	// DrainTimeout is the drain timeout of entries and sidecars.
	DrainTimeout time.Duration
	// Descriptors is the number of descriptors that each entry and sidecar may open, 0 for the default.
	Descriptors int
	// ModelSettings, if set, changes the settings of the sidecars of model servers.
	ModelSettings func(*side.Settings)
	// ModelVersion is the version of the model that the groups serve; empty means a model without versions.
	ModelVersion string
}

// Sidecar is a sidecar process with its backend server.
type Sidecar struct {
	*Proc
	Settings side.Settings
	// BackendURL is the URL of the stand-in for the backend server.
	BackendURL string

	// faultMu is locked while a fault affects the process.
	faultMu sync.Mutex
}

// State decodes the state dump of the current process into v. It is safe to call while the process is restarted.
func (s *Sidecar) State(v any) error { return getJSON("http://"+s.Settings.Admin+"/debug/state", v) }

// Entry is an entry process.
type Entry struct {
	*Proc
	Settings entry.Settings
	// URL is the base URL for callers and operators.
	URL string
}

// Deployment is a running system of entries and sidecars with their stand-ins.
type Deployment struct {
	t       testing.TB
	options DeploymentOptions

	KV, InstanceList                  *Proc
	KVURL, InstanceListURL            string
	EngineStandin, ServiceStandin     *Proc
	Entries                           []*Entry
	ModelSidecars, ServiceSidecars    []*Sidecar
	engineAddresses, serviceAddresses []string

	mu sync.Mutex
	// startedSidecars are all sidecar processes started so far, including exited ones.
	startedSidecars []*Proc
}

// startedProcesses returns all sidecar processes started so far, including exited ones, and the entries.
func (d *Deployment) startedProcesses() []*Proc {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := append([]*Proc{}, d.startedSidecars...)
	for _, e := range d.Entries {
		out = append(out, e.Proc)
	}
	return out
}

// Deploy starts a deployment, applies its configuration with lavendermoorctl and waits until every process is ready.
func Deploy(t testing.TB, options DeploymentOptions) *Deployment {
	t.Helper()
	d := &Deployment{t: t, options: options}
	d.startStandins()
	for i := range options.Models {
		name := instanceName(ModelName, i)
		d.ModelSidecars = append(d.ModelSidecars, d.startSidecar(name, i, "http://"+d.engineAddresses[i]))
	}
	for i := range options.Services {
		name := instanceName(ServiceName, i)
		d.ServiceSidecars = append(d.ServiceSidecars, d.startSidecar(name, i, "http://"+d.serviceAddresses[i]))
	}
	for i := range options.Entries {
		d.Entries = append(d.Entries, d.startEntry(i))
	}
	d.Entries[0].waitHealthy()
	out, code := d.Ctl("apply", "-f", d.writeConfig())
	require.Zero(t, code, out)
	for _, p := range d.processes() {
		p.WaitReady()
	}
	return d
}

func (d *Deployment) processes() []*Proc {
	var out []*Proc
	for _, e := range d.Entries {
		out = append(out, e.Proc)
	}
	for _, s := range append(append([]*Sidecar{}, d.ModelSidecars...), d.ServiceSidecars...) {
		out = append(out, s.Proc)
	}
	return out
}

func (d *Deployment) startStandins() {
	t := d.t
	kv, list := FreeAddress(t), FreeAddress(t)
	d.KVURL, d.InstanceListURL = "http://"+kv, "http://"+list
	d.KV = Start(t, "kv", "lavendermoor-standin", "-role", "kv", "-listen", kv)
	d.InstanceList = Start(t, "instances", "lavendermoor-standin", "-role", "instances", "-listen", list,
		"-lag", d.options.InstanceListLag.String())
	waitStatusOK(t, d.KVURL+"/standin/counts")
	waitStatusOK(t, d.InstanceListURL+"/v1/instances")
	if d.options.Models > 0 {
		d.engineAddresses = freeAddresses(t, d.options.Models)
		args := append([]string{"-role", "engine", "-listen", joinAddresses(d.engineAddresses)}, d.options.EngineArgs...)
		d.EngineStandin = Start(t, "engine", "lavendermoor-standin", args...)
		waitStatusOK(t, "http://"+d.engineAddresses[d.options.Models-1]+"/standin/counts")
	}
	if d.options.Services > 0 {
		d.serviceAddresses = freeAddresses(t, d.options.Services)
		args := append([]string{"-role", "service", "-listen", joinAddresses(d.serviceAddresses)}, d.options.ServiceArgs...)
		d.ServiceStandin = Start(t, "service", "lavendermoor-standin", args...)
		waitStatusOK(t, "http://"+d.serviceAddresses[d.options.Services-1]+"/standin/runs")
	}
}

func freeAddresses(t testing.TB, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = FreeAddress(t)
	}
	return out
}

func waitStatusOK(t testing.TB, url string) {
	t.Helper()
	Eventually(t, url+" returns status 200", func() bool { return statusCode(url) == http.StatusOK })
}

func (e *Entry) waitHealthy() {
	e.t.Helper()
	Eventually(e.t, e.Name+" is healthy", func() bool {
		return statusCode("http://"+e.AdminAddress+"/healthz") == http.StatusOK
	})
}

func (d *Deployment) startSidecar(name string, i int, backend string) *Sidecar {
	s := side.DefaultSettings()
	s.Name, s.FailureDomain, s.Backend = name, FailureDomains[i%len(FailureDomains)], backend
	s.Listen, s.Admin = FreeAddress(d.t), FreeAddress(d.t)
	s.KeyValue, s.Instances, s.Slots = d.KVURL, d.InstanceListURL, d.options.Slots
	if d.options.AdmissionPolicy != "" {
		s.Policy = d.options.AdmissionPolicy
	}
	s.EngineContinues = true // Any engine can continue a stream: the stand-in's responses depend only on the prompt.
	s.DrainTimeout = settings.Duration(d.options.DrainTimeout)
	if d.options.ModelSettings != nil && strings.HasPrefix(name, ModelName) {
		d.options.ModelSettings(&s)
	}
	sidecar := &Sidecar{Settings: s, BackendURL: backend}
	d.runSidecar(sidecar)
	return sidecar
}

func (d *Deployment) runSidecar(s *Sidecar) {
	file := writeSettings(d.t, s.Settings.Name, s.Settings)
	p := d.startProgram(s.Settings.Name, "lavendermoor-side", file)
	p.AdminAddress = s.Settings.Admin
	s.Proc = p
	d.mu.Lock()
	d.startedSidecars = append(d.startedSidecars, p)
	d.mu.Unlock()
	d.PublishInstance(s.Settings.Name, s.Settings.Listen, s.Settings.FailureDomain, "side", "live")
}

// startProgram starts a program with the given settings file.
func (d *Deployment) startProgram(name, program, file string) *Proc {
	if d.options.Descriptors > 0 {
		return StartLimited(d.t, d.options.Descriptors, name, program, "-config", file)
	}
	return Start(d.t, name, program, "-config", file)
}

// Restart starts an exited sidecar again, as a new incarnation on the same addresses.
func (d *Deployment) Restart(s *Sidecar) { d.runSidecar(s) }

func (d *Deployment) startEntry(i int) *Entry { return d.startEntryWith(i, func(*entry.Settings) {}) }

// startEntryWith starts an entry with the default settings as modified by change.
func (d *Deployment) startEntryWith(i int, change func(*entry.Settings)) *Entry {
	s := entry.DefaultSettings()
	s.Name, s.FailureDomain = instanceName("entry", i), FailureDomains[i%len(FailureDomains)]
	s.Listen, s.PeerListen, s.Admin = FreeAddress(d.t), FreeAddress(d.t), FreeAddress(d.t)
	s.KeyValue, s.Instances = d.KVURL, d.InstanceListURL
	s.BootstrapKeySHA256 = HashKey(OperatorKey)
	s.DrainTimeout = settings.Duration(d.options.DrainTimeout)
	change(&s)
	e := &Entry{Settings: s, URL: "http://" + s.Listen}
	e.Proc = d.startProgram(s.Name, "lavendermoor-entry", writeSettings(d.t, s.Name, s))
	e.AdminAddress = s.Admin
	d.PublishInstance(s.Name, s.PeerListen, s.FailureDomain, "entry", "live")
	return e
}

// PublishInstance adds an instance to the instance list or updates it. The list shows it after InstanceListLag.
func (d *Deployment) PublishInstance(name, address, domain, program, state string) {
	putJSON(d.t, d.InstanceListURL+"/standin/instances/"+name, instancelist.Instance{
		Name: name, Address: address, FailureDomain: domain, Program: program, State: state,
	})
}

// SetKVFaults sets the faults of the key-value service; f is a kvserver.Faults.
func (d *Deployment) SetKVFaults(f any) { putJSON(d.t, d.KVURL+"/standin/faults", f) }

// SetEngineFaults sets the faults of the engine behind a sidecar; f is an engineserver.Faults.
func (d *Deployment) SetEngineFaults(s *Sidecar, f any) {
	putJSON(d.t, s.BackendURL+"/standin/faults", f)
}

// putJSON sends a value to a stand-in with PUT and requires status 200.
func putJSON(t testing.TB, url string, v any) {
	t.Helper()
	status, _, body := Do(t, http.MethodPut, url, nil, v)
	require.Equal(t, http.StatusOK, status, "%s", body)
}

// Ctl runs lavendermoorctl as the operator against the first entry.
func (d *Deployment) Ctl(args ...string) (out string, code int) {
	return d.CtlAt(d.Entries[0], args...)
}

// CtlAt is Ctl against the given entry. The connection flags follow the command name.
func (d *Deployment) CtlAt(e *Entry, args ...string) (out string, code int) {
	full := append([]string{args[0], "-server", e.URL}, args[1:]...)
	return Ctl(d.t, OperatorKey, full...)
}

type configDocument struct {
	Models    []map[string]any `json:"models,omitempty"`
	Groups    []map[string]any `json:"groups,omitempty"`
	Services  []map[string]any `json:"services,omitempty"`
	Servers   []map[string]any `json:"servers,omitempty"`
	Customers []map[string]any `json:"customers,omitempty"`
	Operators []map[string]any `json:"operators,omitempty"`
	Rules     []map[string]any `json:"rules,omitempty"`
}

// writeConfig writes the configuration of the deployment to a file and returns its path.
func (d *Deployment) writeConfig() string {
	doc := configDocument{
		Customers: []map[string]any{customerObject("crew", CallerKey), customerObject("other", OtherCallerKey)},
		Operators: []map[string]any{{
			"name": "operator", "role": "ROLE_ADMIN", "key": map[string]any{"id": "k", "sha256": HashKey(OperatorKey)},
		}},
	}
	if d.options.Models > 0 {
		model := map[string]any{"name": ModelName}
		if d.options.ModelVersion != "" {
			model["versions"] = []string{d.options.ModelVersion, NextVersion}
		}
		doc.Models = append(doc.Models, model)
	}
	if d.options.Services > 0 {
		doc.Services = append(doc.Services, map[string]any{"name": ServiceName})
		doc.Rules = append(doc.Rules, map[string]any{
			"name": "book", "service": ServiceName, "method": "POST", "kind": "WORK_KIND_COMMAND", "priority": 7,
		})
	}
	for _, s := range d.ModelSidecars {
		doc.Groups = append(doc.Groups, map[string]any{
			"name": s.Settings.Name, "model": ModelName, "version": d.options.ModelVersion, "ranks": 8, "experts": 64, "layers": 4,
		})
		doc.Servers = append(doc.Servers, d.serverObject(s, "group", s.Settings.Name))
	}
	for _, s := range d.ServiceSidecars {
		doc.Servers = append(doc.Servers, d.serverObject(s, "service", ServiceName))
	}
	raw, err := json.MarshalIndent(doc, "", "  ")
	require.NoError(d.t, err)
	file := filepath.Join(d.t.TempDir(), "cluster.jsonc")
	require.NoError(d.t, os.WriteFile(file, raw, 0o600))
	return file
}

func customerObject(name, key string) map[string]any {
	return map[string]any{
		"name": name, "weight": 1, "keys": []map[string]any{{"id": "k", "sha256": HashKey(key)}},
	}
}

func (d *Deployment) serverObject(s *Sidecar, field, value string) map[string]any {
	return map[string]any{
		"name": s.Settings.Name, "address": s.Settings.Listen, "failure_domain": s.Settings.FailureDomain,
		field: value, "slots": d.options.Slots,
	}
}

// Apply writes content to a configuration file and applies it with lavendermoorctl.
func (d *Deployment) Apply(content string) (out string, code int) {
	file := filepath.Join(d.t.TempDir(), fmt.Sprintf("change-%d.jsonc", time.Now().UnixNano()))
	require.NoError(d.t, os.WriteFile(file, []byte(content), 0o600))
	return d.Ctl("apply", "-f", file)
}
