package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/membership"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	domains = []string{"Tampere", "Lahti", "Hämeenlinna"}
)

// fleet builds a configuration. Tests may change its objects before they call state.
type fleet struct {
	objects []*operatorv1.Object
	servers []membership.Server
}

func (f *fleet) addModel(name string, replicas int, change func(i int, g *operatorv1.Group)) {
	f.objects = append(f.objects, &operatorv1.Object{Kind: &operatorv1.Object_Model{Model: &operatorv1.Model{
		Name: name, Versions: []string{"v2", "v1"}, Adapters: []string{"permits"},
	}}})
	for i := range replicas {
		g := &operatorv1.Group{Name: fmt.Sprintf("%s-g%d", name, i), Model: name, Version: "v2", Ranks: 8}
		if change != nil {
			change(i, g)
		}
		s := &operatorv1.BackendServer{
			Name: fmt.Sprintf("%s-s%04d", name, i), Address: "127.0.0.1:1", Group: g.GetName(),
			FailureDomain: domains[i%len(domains)], Slots: 16,
		}
		f.objects = append(f.objects,
			&operatorv1.Object{Kind: &operatorv1.Object_Group{Group: g}},
			&operatorv1.Object{Kind: &operatorv1.Object_Server{Server: s}})
		f.servers = append(f.servers, membership.Server{Name: s.GetName(), Domain: s.GetFailureDomain()})
	}
}

func (f *fleet) state(t testing.TB) *cluster.State {
	st, err := cluster.New(1, f.objects)
	require.NoError(t, err)
	return st
}

// members returns a membership state with the fleet's servers.
func (f *fleet) members() *membership.State {
	m := membership.NewState(start, 1)
	m.SetServers(start, f.servers)
	return m
}

func newFleet(replicas int) *fleet {
	f := &fleet{}
	f.addModel("m", replicas, nil)
	return f
}

func router(t testing.TB, f *fleet, policy Policy) *Router {
	r := NewRouter(policy, domains[0])
	r.Update(f.state(t), f.members().View(start))
	return r
}

var anyModel = Target{Model: "m"}

func (r *Router) replica(name string) *Replica { return r.builder.replicas[name] }
