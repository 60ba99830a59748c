package cluster

import "lavendermoor.example/api/operatorv1"

// Member is one server in the lists servers and previous of a Service. The lists keep the failure domain and the
// address, because the choice of holders must not change with a change of a server's failure domain, and because a
// removed server must be found until previous is cleared.
type Member struct {
	Name, Domain, Address string
}

// newMember returns the member that stands for a server.
func newMember(s *operatorv1.BackendServer) Member {
	return Member{Name: s.GetName(), Domain: s.GetFailureDomain(), Address: s.GetAddress()}
}

// proto returns the message kept in a Service.
func (m Member) proto() *operatorv1.ServiceMember {
	return &operatorv1.ServiceMember{Name: m.Name, FailureDomain: m.Domain, Address: m.Address}
}

// sameMember says whether two messages stand for the same server in the same failure domain. A new address alone does
// not change the holders of any key.
func sameMember(a, b *operatorv1.ServiceMember) bool {
	return a.GetName() == b.GetName() && a.GetFailureDomain() == b.GetFailureDomain()
}

// Members returns the members of a service, and those of before the change that is in progress, if any. A server that
// is still configured is reached at its present address. A service without lists has the servers configured for it.
func (s *State) Members(service string) (servers, previous []Member) {
	svc := s.services[service]
	servers = s.members(svc.GetServers())
	if len(servers) == 0 {
		for _, v := range s.byService[service] {
			servers = append(servers, newMember(v))
		}
	}
	return servers, s.members(svc.GetPrevious())
}

func (s *State) members(list []*operatorv1.ServiceMember) []Member {
	out := make([]Member, 0, len(list))
	for _, stored := range list {
		m := Member{Name: stored.GetName(), Domain: stored.GetFailureDomain(), Address: stored.GetAddress()}
		if v := s.servers[m.Name]; v != nil {
			m.Address = v.GetAddress()
		}
		out = append(out, m)
	}
	return out
}
