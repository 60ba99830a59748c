package cluster

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
)

func serverObject(name string) *operatorv1.Object {
	return &operatorv1.Object{Kind: &operatorv1.Object_Server{Server: &operatorv1.BackendServer{
		Name: name, Service: "b", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 1,
	}}}
}

func serviceObject(s *operatorv1.Service) *operatorv1.Object {
	return &operatorv1.Object{Kind: &operatorv1.Object_Service{Service: s}}
}

func membersOf(names ...string) []*operatorv1.ServiceMember {
	var out []*operatorv1.ServiceMember
	for _, n := range names {
		out = append(out, Member{Name: n, Domain: "a", Address: "127.0.0.1:1"}.proto())
	}
	return out
}

// applyChange applies a change after DeriveServiceMembers.
func applyChange(t *testing.T, s *State, c *operatorv1.Change) *State {
	t.Helper()
	c.Revision = s.Revision + 1
	require.NoError(t, DeriveServiceMembers(s, c))
	next, err := s.Apply(c)
	require.NoError(t, err)
	return next
}

// Guards against two independent sets of holders for the same keys. They would exist if the epoch did not increase when
// the servers change, if the previous servers were lost, or if a second change began before the first has ended.
func TestDeriveServiceMembers(t *testing.T) {
	s := applyChange(t, Empty(), &operatorv1.Change{Upserts: []*operatorv1.Object{
		serverObject("s2"), serverObject("s1"), serviceObject(&operatorv1.Service{Name: "b", Epoch: 9, Servers: membersOf("x")}),
	}})
	require.Equal(t, int64(1), s.Service("b").GetEpoch(), "values set by an operator must be overwritten")
	require.Equal(t, []string{"s1", "s2"}, memberNames(s.Service("b").GetServers()))
	require.Empty(t, s.Service("b").GetPrevious())

	s = applyChange(t, s, &operatorv1.Change{Upserts: []*operatorv1.Object{serviceObject(&operatorv1.Service{Name: "b"})}})
	require.Equal(t, int64(1), s.Service("b").GetEpoch(), "the epoch must not change without a change of servers")
	s = applyChange(t, s, &operatorv1.Change{Upserts: []*operatorv1.Object{serverObject("s3")}})
	require.Equal(t, int64(2), s.Service("b").GetEpoch())
	require.Equal(t, []string{"s1", "s2"}, memberNames(s.Service("b").GetPrevious()))

	var inProgress *ServerChangeInProgressError
	remove := &operatorv1.Change{Deletes: []*operatorv1.ObjectRef{{Type: "server", Name: "s1"}}}
	require.ErrorAs(t, DeriveServiceMembers(s, remove), &inProgress)
	require.Equal(t, int64(2), inProgress.Epoch)

	next, err := s.Apply(&operatorv1.Change{Revision: s.Revision + 1, Upserts: []*operatorv1.Object{
		serviceObject(&operatorv1.Service{Name: "b", Epoch: 2, Servers: membersOf("s1", "s2", "s3")}),
	}})
	require.NoError(t, err)
	s = applyChange(t, next, remove)
	require.Equal(t, int64(3), s.Service("b").GetEpoch())
	require.Equal(t, []string{"s2", "s3"}, memberNames(s.Service("b").GetServers()))
	require.Equal(t, []string{"s1", "s2", "s3"}, memberNames(s.Service("b").GetPrevious()))
}

// Guards against a service that is deleted and created again with epochs that processes have already seen: they would
// ignore its servers.
func TestRecreatedServiceHasNewEpoch(t *testing.T) {
	s := applyChange(t, Empty(), &operatorv1.Change{Upserts: []*operatorv1.Object{
		serverObject("s1"), serviceObject(&operatorv1.Service{Name: "b"}),
	}})
	s = applyChange(t, s, &operatorv1.Change{Upserts: []*operatorv1.Object{serverObject("s2")}})
	last := s.Service("b").GetEpoch()
	s = applyChange(t, s, &operatorv1.Change{Deletes: []*operatorv1.ObjectRef{
		{Type: "service", Name: "b"}, {Type: "server", Name: "s1"}, {Type: "server", Name: "s2"},
	}})
	s = applyChange(t, s, &operatorv1.Change{Upserts: []*operatorv1.Object{serviceObject(&operatorv1.Service{Name: "b"})}})
	s = applyChange(t, s, &operatorv1.Change{Upserts: []*operatorv1.Object{serverObject("s3")}})
	require.Greater(t, s.Service("b").GetEpoch(), last)
	require.Empty(t, s.Service("b").GetPrevious())
}
