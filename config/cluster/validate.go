package cluster

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strings"

	"lavendermoor.example/api/operatorv1"
)

// Limits of object fields.
const (
	maxRanks    = 64
	maxExperts  = 256
	maxPriority = 9
	// maxDeadlineMs is one hour.
	maxDeadlineMs = 3_600_000
)

var (
	namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,99}$`)
	sha256Hex   = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// FieldError describes one invalid field of an object.
type FieldError struct {
	Ref     Ref
	Field   string
	Problem string
}

// Error implements error.
func (e FieldError) Error() string { return fmt.Sprintf("%s: %s: %s", e.Ref, e.Field, e.Problem) }

// ValidationError lists all invalid fields of a configuration, sorted by object.
type ValidationError struct{ Fields []FieldError }

func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.Error()
	}
	return "configuration is not valid: " + strings.Join(lines, "; ")
}

// validator collects the invalid fields of one configuration.
type validator struct {
	objects map[Ref]*operatorv1.Object
	fields  []FieldError
	// refByKeyPrefix is the owner of each key by the prefix of its SHA-256.
	refByKeyPrefix map[string]Ref
}

func validate(objects map[Ref]*operatorv1.Object) error {
	v := &validator{objects: objects, refByKeyPrefix: map[string]Ref{}}
	for _, r := range sortedRefs(objects) {
		v.object(r, objects[r])
	}
	if len(v.fields) > 0 {
		return &ValidationError{Fields: v.fields}
	}
	return nil
}

func (v *validator) fail(r Ref, field, format string, args ...any) {
	v.fields = append(v.fields, FieldError{Ref: r, Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (v *validator) object(r Ref, o *operatorv1.Object) {
	if r.Type == "" {
		v.fail(r, "kind", "object has no content")
		return
	}
	if !namePattern.MatchString(r.Name) {
		v.fail(r, "name", "must be 1 to 100 letters, digits, dots, dashes or underscores, starting with a letter or digit")
	}
	switch k := o.GetKind().(type) {
	case *operatorv1.Object_Model:
		v.model(r, k.Model)
	case *operatorv1.Object_Group:
		v.group(r, k.Group)
	case *operatorv1.Object_Server:
		v.server(r, k.Server)
	case *operatorv1.Object_Service:
		v.service(r, k.Service)
	case *operatorv1.Object_Customer:
		v.customer(r, k.Customer)
	case *operatorv1.Object_Rule:
		v.rule(r, k.Rule)
	case *operatorv1.Object_Operator:
		v.operator(r, k.Operator)
	case *operatorv1.Object_Limits:
		v.limits(r, k.Limits)
	}
}

func (v *validator) has(t Type, name string) bool {
	_, ok := v.objects[Ref{t, name}]
	return ok
}

func (v *validator) requireObject(r Ref, field string, t Type, name string) {
	if name != "" && !v.has(t, name) {
		v.fail(r, field, "%s %q does not exist", t, name)
	}
}

func (v *validator) model(r Ref, m *operatorv1.Model) {
	v.requireUnique(r, "versions", m.GetVersions())
	v.requireUnique(r, "adapters", m.GetAdapters())
}

func (v *validator) requireUnique(r Ref, field string, values []string) {
	seen := map[string]bool{}
	for _, s := range values {
		if s == "" || seen[s] {
			v.fail(r, field, "value %q is empty or repeated", s)
		}
		seen[s] = true
	}
}

func (v *validator) group(r Ref, g *operatorv1.Group) {
	if g.GetModel() == "" {
		v.fail(r, "model", "is required")
	}
	v.requireObject(r, "model", TypeModel, g.GetModel())
	v.inRange(r, "ranks", int64(g.GetRanks()), 1, maxRanks)
	v.inRange(r, "experts", int64(g.GetExperts()), 0, maxExperts)
	v.inRange(r, "layers", int64(g.GetLayers()), 0, 1000)
	switch g.GetRole() {
	case "", "prefill", "decode":
	default:
		v.fail(r, "role", "must be prefill, decode or empty")
	}
}

func (v *validator) inRange(r Ref, field string, n, low, high int64) {
	if n < low || n > high {
		v.fail(r, field, "%d is not between %d and %d", n, low, high)
	}
}

// nonNegativeFinite rejects negative numbers, NaN and infinity; the JSON form of the messages can represent all of
// them.
func (v *validator) nonNegativeFinite(r Ref, field string, x float64) {
	switch {
	case x < 0:
		v.fail(r, field, "is negative")
	case math.IsNaN(x) || math.IsInf(x, 0):
		v.fail(r, field, "is not a finite number")
	}
}

func (v *validator) server(r Ref, s *operatorv1.BackendServer) {
	if _, err := netip.ParseAddrPort(s.GetAddress()); err != nil {
		v.fail(r, "address", "%q is not an IP address and port", s.GetAddress())
	}
	if s.GetFailureDomain() == "" {
		v.fail(r, "failure_domain", "is required")
	}
	if (s.GetGroup() == "") == (s.GetService() == "") {
		v.fail(r, "group", "exactly one of group and service is required")
	}
	v.requireObject(r, "group", TypeGroup, s.GetGroup())
	v.requireObject(r, "service", TypeService, s.GetService())
	v.inRange(r, "slots", int64(s.GetSlots()), 1, 100_000)
}

func (v *validator) service(r Ref, s *operatorv1.Service) {
	v.requireUnique(r, "servers", memberNames(s.GetServers()))
	v.requireUnique(r, "previous", memberNames(s.GetPrevious()))
	if s.GetEpoch() < 0 {
		v.fail(r, "epoch", "is negative")
	}
}

func memberNames(list []*operatorv1.ServiceMember) []string {
	out := make([]string, len(list))
	for i, m := range list {
		out[i] = m.GetName()
	}
	return out
}

func (v *validator) customer(r Ref, c *operatorv1.Customer) {
	v.inRange(r, "weight", int64(c.GetWeight()), 1, 1_000_000)
	v.nonNegativeFinite(r, "requests_per_second", c.GetRequestsPerSecond())
	v.nonNegativeFinite(r, "tokens_per_second", c.GetTokensPerSecond())
	for _, k := range c.GetKeys() {
		v.key(r, "keys", k)
	}
}

func (v *validator) key(r Ref, field string, k *operatorv1.Key) {
	sum := k.GetSha256()
	if !sha256Hex.MatchString(sum) {
		v.fail(r, field, "key %q: sha256 must be 64 lower-case hex digits", k.GetId())
		return
	}
	// State finds keys by this prefix of the hash, so it must be unique.
	prefix := sum[:keyPrefixLen]
	if other, ok := v.refByKeyPrefix[prefix]; ok {
		v.fail(r, field, "key %q is also a key of %s", k.GetId(), other)
	}
	v.refByKeyPrefix[prefix] = r
}

func (v *validator) rule(r Ref, rule *operatorv1.Rule) {
	v.requireObject(r, "model", TypeModel, rule.GetModel())
	v.requireObject(r, "service", TypeService, rule.GetService())
	if rule.GetModel() != "" && rule.GetService() != "" {
		v.fail(r, "model", "model and service exclude each other")
	}
	if rule.GetKind() == operatorv1.WorkKind_WORK_KIND_UNSPECIFIED {
		v.fail(r, "kind", "is required")
	}
	v.inRange(r, "priority", int64(rule.GetPriority()), 0, maxPriority)
	v.inRange(r, "deadline_ms", rule.GetDeadlineMs(), 0, maxDeadlineMs)
	v.nonNegativeFinite(r, "value", rule.GetValue())
}

func (v *validator) operator(r Ref, o *operatorv1.Operator) {
	v.key(r, "key", o.GetKey())
	if o.GetRole() == operatorv1.Role_ROLE_UNSPECIFIED {
		v.fail(r, "role", "is required")
	}
}

func (v *validator) limits(r Ref, l *operatorv1.Limits) {
	v.inRange(r, "max_body_bytes", l.GetMaxBodyBytes(), 0, 64<<20)
	v.inRange(r, "max_header_bytes", l.GetMaxHeaderBytes(), 0, 1<<20)
	v.inRange(r, "read_timeout_ms", l.GetReadTimeoutMs(), 0, 600_000)
	v.inRange(r, "default_deadline_ms", l.GetDefaultDeadlineMs(), 0, maxDeadlineMs)
	v.inRange(r, "key_retention_s", l.GetKeyRetentionS(), 0, 7*24*3600)
}
