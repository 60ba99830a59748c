package cluster

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
)

func serverOf(name string) *operatorv1.Object {
	return &operatorv1.Object{Kind: &operatorv1.Object_Server{Server: &operatorv1.BackendServer{
		Name: name, Service: "b", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 1,
	}}}
}

func service(s *operatorv1.Service) *operatorv1.Object {
	return &operatorv1.Object{Kind: &operatorv1.Object_Service{Service: s}}
}

func membersOf(names ...string) []*operatorv1.ServiceMember {
	var out []*operatorv1.ServiceMember
	for _, n := range names {
		out = append(out, Member{Name: n, Domain: "a", Address: "127.0.0.1:1"}.proto())
	}
	return out
}

// step applies a change after MaintainServices.
func step(t *testing.T, s *State, c *operatorv1.Change) *State {
	t.Helper()
	c.Revision = s.Revision + 1
	require.NoError(t, MaintainServices(s, c))
	next, err := s.Apply(c)
	require.NoError(t, err)
	return next
}

// Guards against holders of two epochs that do not know of each other: an epoch that stays or goes back when the
// servers change, previous servers that are forgotten, and a second change before the first has ended.
func TestMaintainServices(t *testing.T) {
	s := step(t, Empty(), &operatorv1.Change{Upserts: []*operatorv1.Object{
		serverOf("s2"), serverOf("s1"), service(&operatorv1.Service{Name: "b", Epoch: 9, Servers: membersOf("x")}),
	}})
	require.Equal(t, int64(1), s.Service("b").GetEpoch(), "what an operator writes in these fields is replaced")
	require.Equal(t, []string{"s1", "s2"}, memberNames(s.Service("b").GetServers()))
	require.Empty(t, s.Service("b").GetPrevious())

	s = step(t, s, &operatorv1.Change{Upserts: []*operatorv1.Object{service(&operatorv1.Service{Name: "b"})}})
	require.Equal(t, int64(1), s.Service("b").GetEpoch(), "the same servers are no new epoch")
	s = step(t, s, &operatorv1.Change{Upserts: []*operatorv1.Object{serverOf("s3")}})
	require.Equal(t, int64(2), s.Service("b").GetEpoch())
	require.Equal(t, []string{"s1", "s2"}, memberNames(s.Service("b").GetPrevious()))

	var changing *ServersChangingError
	remove := &operatorv1.Change{Deletes: []*operatorv1.ObjectRef{{Type: "server", Name: "s1"}}}
	require.ErrorAs(t, MaintainServices(s, remove), &changing)
	require.Equal(t, int64(2), changing.Epoch)

	next, err := s.Apply(&operatorv1.Change{Revision: s.Revision + 1, Upserts: []*operatorv1.Object{
		service(&operatorv1.Service{Name: "b", Epoch: 2, Servers: membersOf("s1", "s2", "s3")}),
	}})
	require.NoError(t, err)
	s = step(t, next, remove)
	require.Equal(t, int64(3), s.Service("b").GetEpoch())
	require.Equal(t, []string{"s2", "s3"}, memberNames(s.Service("b").GetServers()))
	require.Equal(t, []string{"s1", "s2", "s3"}, memberNames(s.Service("b").GetPrevious()))
}

// Guards against a service that is deleted and made again with epochs that processes have seen before, so that they
// ignore its servers.
func TestServiceMadeAgainHasANewEpoch(t *testing.T) {
	s := step(t, Empty(), &operatorv1.Change{Upserts: []*operatorv1.Object{
		serverOf("s1"), service(&operatorv1.Service{Name: "b"}),
	}})
	s = step(t, s, &operatorv1.Change{Upserts: []*operatorv1.Object{serverOf("s2")}})
	last := s.Service("b").GetEpoch()
	s = step(t, s, &operatorv1.Change{Deletes: []*operatorv1.ObjectRef{
		{Type: "service", Name: "b"}, {Type: "server", Name: "s1"}, {Type: "server", Name: "s2"},
	}})
	s = step(t, s, &operatorv1.Change{Upserts: []*operatorv1.Object{service(&operatorv1.Service{Name: "b"})}})
	s = step(t, s, &operatorv1.Change{Upserts: []*operatorv1.Object{serverOf("s3")}})
	require.Greater(t, s.Service("b").GetEpoch(), last)
	require.Empty(t, s.Service("b").GetPrevious())
}
