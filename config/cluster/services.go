package cluster

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"lavendermoor.example/api/operatorv1"
)

// ServerChangeInProgressError reports that the previous change of a service's servers is still in progress. The next
// change has to wait until the new servers have copied the records.
type ServerChangeInProgressError struct {
	Service string
	// Epoch is the epoch of the change in progress.
	Epoch int64
}

func (e *ServerChangeInProgressError) Error() string {
	return fmt.Sprintf("service %q: the change of its servers to epoch %d is still in progress", e.Service, e.Epoch)
}

// DeriveServiceMembers sets the fields epoch, servers and previous of the services in a change from the servers that
// the change adds and removes. Values of these fields in the change itself are overwritten. If it fails with a
// *ServerChangeInProgressError, c is partly modified and must not be used.
func DeriveServiceMembers(base *State, c *operatorv1.Change) error {
	members := membersAfter(base, c)
	names := make([]string, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if err := deriveServiceMembers(base, c, name, members[name]); err != nil {
			return err
		}
	}
	return nil
}

// membersAfter returns the sorted members that each service has after a change.
func membersAfter(base *State, c *operatorv1.Change) map[string][]*operatorv1.ServiceMember {
	servers := maps.Clone(base.servers)
	services := map[string][]*operatorv1.ServiceMember{}
	for name := range base.services {
		services[name] = nil
	}
	for _, r := range c.GetDeletes() {
		switch Type(r.GetType()) {
		case TypeServer:
			delete(servers, r.GetName())
		case TypeService:
			delete(services, r.GetName())
		}
	}
	for _, o := range c.GetUpserts() {
		if s := o.GetServer(); s != nil {
			servers[s.GetName()] = s
		}
		if s := o.GetService(); s != nil {
			services[s.GetName()] = nil
		}
	}
	for _, server := range servers {
		if _, ok := services[server.GetService()]; ok {
			services[server.GetService()] = append(services[server.GetService()], newMember(server).proto())
		}
	}
	for _, list := range services {
		sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
	}
	return services
}

// nextEpoch returns the epoch of a service after a change of its servers. The first epoch is the revision of the
// change, which is above every epoch of a deleted service with the same name. This matters because processes that had
// the deleted service keep its records and are not authoritative for any of its keys until the retention has passed.
func nextEpoch(base *State, before *operatorv1.Service) int64 {
	if before.GetEpoch() == 0 {
		return base.Revision + 1
	}
	return before.GetEpoch() + 1
}

func deriveServiceMembers(base *State, c *operatorv1.Change, name string, servers []*operatorv1.ServiceMember) error {
	before := base.Service(name)
	next := &operatorv1.Service{
		Name: name, Epoch: before.GetEpoch(), Servers: before.GetServers(), Previous: before.GetPrevious(),
	}
	if !slices.EqualFunc(servers, before.GetServers(), sameMember) {
		if len(before.GetPrevious()) > 0 {
			return &ServerChangeInProgressError{Service: name, Epoch: before.GetEpoch()}
		}
		next.Epoch, next.Servers, next.Previous = nextEpoch(base, before), servers, before.GetServers()
	}
	found := false
	for _, o := range c.GetUpserts() {
		if s := o.GetService(); s != nil && s.GetName() == name {
			proto.Reset(s)
			proto.Merge(s, next)
			found = true
		}
	}
	if !found && !proto.Equal(before, next) {
		c.Upserts = append(c.Upserts, &operatorv1.Object{Kind: &operatorv1.Object_Service{Service: next}})
	}
	return nil
}

// Difference is the state of one object before and after a change; nil means absent.
type Difference struct {
	Ref           Ref
	Before, After *operatorv1.Object
}

// Diff returns the differences between two configurations, sorted by type and name.
func Diff(before, after *State) []Difference {
	refs := map[Ref]bool{}
	for r, o := range before.objects {
		if a := after.objects[r]; a != o && !proto.Equal(o, a) {
			refs[r] = true
		}
	}
	for r := range after.objects {
		if before.objects[r] == nil {
			refs[r] = true
		}
	}
	sorted := sortedRefs(refs)
	out := make([]Difference, len(sorted))
	for i, r := range sorted {
		out[i] = Difference{Ref: r, Before: before.objects[r], After: after.objects[r]}
	}
	return out
}
