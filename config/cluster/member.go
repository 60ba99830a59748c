package cluster

import (
	"strings"

	"lavendermoor.example/api/operatorv1"
)

// Member is one server in the lists servers and previous of a Service. The lists keep the failure domain and the
// address, because the choice of holders must not change with a change of a server's failure domain, and because a
// removed server must be found until previous is cleared.
type Member struct {
	Name, Domain, Address string
}

const memberSeparator = "@"

// String returns the text kept in a Service, "name@failure-domain@address".
func (m Member) String() string {
	return strings.Join([]string{m.Name, m.Domain, m.Address}, memberSeparator)
}

// MemberOf returns the member that stands for a server.
func MemberOf(s *operatorv1.BackendServer) Member {
	return Member{Name: s.GetName(), Domain: s.GetFailureDomain(), Address: s.GetAddress()}
}

// ParseMember returns the member of a text. Parts that are missing are empty.
func ParseMember(text string) Member {
	parts := strings.SplitN(text, memberSeparator, 3)
	parts = append(parts, "", "")
	return Member{Name: parts[0], Domain: parts[1], Address: parts[2]}
}

// sameMember says whether two texts stand for the same server in the same failure domain. A new address alone does not
// change the holders of any key.
func sameMember(a, b string) bool {
	ma, mb := ParseMember(a), ParseMember(b)
	return ma.Name == mb.Name && (ma.Domain == mb.Domain || ma.Domain == "" || mb.Domain == "")
}

// Members returns the members of a service, and those of before the change that is in progress, if any. A server that
// is still configured is reached at its present address. A service without lists has the servers configured for it.
func (s *State) Members(service string) (servers, previous []Member) {
	svc := s.services[service]
	servers = s.members(svc.GetServers())
	if len(servers) == 0 {
		for _, v := range s.byService[service] {
			servers = append(servers, MemberOf(v))
		}
	}
	return servers, s.members(svc.GetPrevious())
}

func (s *State) members(texts []string) []Member {
	out := make([]Member, 0, len(texts))
	for _, t := range texts {
		m := ParseMember(t)
		if v := s.servers[m.Name]; v != nil {
			m.Address = v.GetAddress()
			if m.Domain == "" {
				m.Domain = v.GetFailureDomain()
			}
		}
		out = append(out, m)
	}
	return out
}
