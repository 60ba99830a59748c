package cluster

import "lavendermoor.example/api/operatorv1"

// Member is one server in the lists servers and previous of a Service. The lists store the failure domain, because the
// holders of keys must not change when a server's failure domain changes. They store the address, because a removed
// server must be reachable until previous is cleared.
type Member struct {
	Name, Domain, Address string
}

// newMember returns the member for a backend server.
func newMember(s *operatorv1.BackendServer) Member {
	return Member{Name: s.GetName(), Domain: s.GetFailureDomain(), Address: s.GetAddress()}
}

// proto returns the message stored in a Service.
func (m Member) proto() *operatorv1.ServiceMember {
	return &operatorv1.ServiceMember{Name: m.Name, FailureDomain: m.Domain, Address: m.Address}
}

// sameMember reports whether two messages identify the same server in the same failure domain. The address is ignored,
// as it does not affect the holders of any key.
func sameMember(a, b *operatorv1.ServiceMember) bool {
	return a.GetName() == b.GetName() && a.GetFailureDomain() == b.GetFailureDomain()
}

// Members returns the members of a service and, while a change of its servers is in progress, the previous ones. A
// server that is still configured has its current address. A service without lists has the servers configured for it.
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
