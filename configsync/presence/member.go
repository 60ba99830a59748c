package presence

import (
	"net/netip"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/go-json-experiment/json"

	"lavendermoor.example/clients/kv"
)

// InvalidMemberError reports an entry of another writer: a field is missing or has no value that a process writes.
type InvalidMemberError struct{ Field string }

func (e *InvalidMemberError) Error() string { return "entry of a process without a valid " + e.Field }

// maxDemand bounds the demand for a service in requests a second. A larger one comes from another writer.
const maxDemand = 1e9

// decodeMember returns the process that an entry below a prefix describes. The names of its fields count only as they are
// written, none twice. Fields that are not known are ignored, as later versions of the program may write them. What an entry
// that is whole says can't be checked.
func decodeMember(e kv.Entry, prefix string) (Member, error) {
	var m Member
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return Member{}, merry.Wrap(err)
	}
	if field := m.invalidField(strings.TrimPrefix(e.Key, prefix)); field != "" {
		return Member{}, merry.Wrap(&InvalidMemberError{Field: field})
	}
	return m, nil
}

// invalidField returns the name of a field that is not valid for a process with a name, empty if there is none.
func (m *Member) invalidField(name string) string {
	switch {
	case m.Name == "" || m.Name != name || strings.Contains(m.Name, "/"):
		return "name"
	case !isAddress(m.Address):
		return "address"
	case m.Domain == "":
		return "domain"
	}
	for _, perSecond := range m.Demand {
		if perSecond < 0 || perSecond > maxDemand {
			return "demand"
		}
	}
	return ""
}

// isAddress reports whether text is the IP address of one host and a port, both in digits.
func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && a.String() == text && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
