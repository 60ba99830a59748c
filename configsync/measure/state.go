package main

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/configsync/feed"
)

// Target size of a configuration.
const (
	models  = 28
	servers = 2900
	// serviceServers is the number of servers that belong to a service. Each of the others has a separate group.
	serviceServers = 100
	services       = 10
	customers      = 1700
	rules          = 200
	// timedRuns is the number of runs of each timed operation.
	timedRuns = 20
)

// targetObjects returns the objects of a configuration at a fraction of the target size.
func targetObjects(scale float64) []*operatorv1.Object {
	scaled := func(full int) int { return max(1, int(float64(full)*scale)) }
	var out []*operatorv1.Object
	for i := range models {
		out = append(out, &operatorv1.Object{Kind: &operatorv1.Object_Model{Model: &operatorv1.Model{
			Name: fmt.Sprintf("model-%02d", i), Versions: []string{"2026-11", "2026-08"}, Adapters: []string{"a", "b"},
		}}})
	}
	for i := range services {
		out = append(out, &operatorv1.Object{Kind: &operatorv1.Object_Service{Service: &operatorv1.Service{
			Name: fmt.Sprintf("service-%02d", i), Epoch: 1,
		}}})
	}
	for i := range scaled(servers) {
		s := &operatorv1.BackendServer{
			Name: fmt.Sprintf("server-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
			FailureDomain: fmt.Sprintf("domain-%d", i%failureDomains), Region: "region", Slots: 16, ChecksFencing: i%4 != 0,
		}
		if i < scaled(serviceServers) {
			s.Service = fmt.Sprintf("service-%02d", i%services)
		} else {
			s.Group = fmt.Sprintf("group-%04d", i)
			out = append(out, &operatorv1.Object{Kind: &operatorv1.Object_Group{Group: &operatorv1.Group{
				Name: s.GetGroup(), Model: fmt.Sprintf("model-%02d", i%models), Version: "2026-11", Ranks: 8, Experts: 256, Layers: 60,
			}}})
		}
		out = append(out, &operatorv1.Object{Kind: &operatorv1.Object_Server{Server: s}})
	}
	for i := range scaled(customers) {
		out = append(out, &operatorv1.Object{Kind: &operatorv1.Object_Customer{Customer: &operatorv1.Customer{
			Name: fmt.Sprintf("customer-%04d", i), Weight: 1, RequestsPerSecond: 30, TokensPerSecond: 6000,
			Keys: []*operatorv1.Key{{Id: "2026", Sha256: fmt.Sprintf("%016x%048x", i, 7)}},
		}}})
	}
	for i := range scaled(rules) {
		out = append(out, &operatorv1.Object{Kind: &operatorv1.Object_Rule{Rule: &operatorv1.Rule{
			Name: fmt.Sprintf("rule-%03d", i), Position: int32(i), Model: fmt.Sprintf("model-%02d", i%models),
			Kind: operatorv1.WorkKind_WORK_KIND_SHORT, Priority: 4,
		}}})
	}
	return out
}

// measureState prints the cost of processing one configuration at fractions of the target size.
func measureState() {
	fmt.Println("| objects | apply one change ms | encode ms | decode and validate ms | bytes | memory MB | apply allocates MB |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, scale := range []float64{0.1, 0.25, 0.5, 1} {
		fmt.Println(stateRow(scale))
	}
	fmt.Println()
}

// minTimeMs returns the shortest time of timedRuns runs in milliseconds, because other load on the machine lengthens
// some runs.
func minTimeMs(fn func()) float64 {
	best := time.Hour
	for range timedRuns {
		start := time.Now()
		fn()
		best = min(best, time.Since(start))
	}
	return float64(best.Microseconds()) / 1000
}

// heapBytes returns the size of the live heap after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// totalAllocBytes returns the number of bytes allocated since the start of the program.
func totalAllocBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// stateRow returns the table row for a configuration at a fraction of the target size.
func stateRow(scale float64) string {
	built, err := cluster.New(1, targetObjects(scale))
	if err != nil {
		panic(err) // The objects are generated above and valid.
	}
	raw, err := feed.EncodeState(built)
	if err != nil {
		panic(err)
	}
	before := heapBytes()
	state, err := feed.DecodeState(raw)
	if err != nil {
		panic(err)
	}
	memory := float64(heapBytes()-before) / 1e6
	change := &operatorv1.Change{Revision: 2, Upserts: []*operatorv1.Object{
		proto.CloneOf(state.Object(cluster.Ref{Type: cluster.TypeCustomer, Name: "customer-0000"})),
	}}
	apply := func() { _, err = state.Apply(change) }
	start := totalAllocBytes()
	apply()
	allocates := float64(totalAllocBytes()-start) / 1e6
	return fmt.Sprintf("| %d | %.2f | %.2f | %.2f | %d | %.2f | %.2f |", len(state.Objects()), minTimeMs(apply),
		minTimeMs(func() { _, err = feed.EncodeState(state) }), minTimeMs(func() { _, err = feed.DecodeState(raw) }),
		len(raw), memory, allocates)
}
