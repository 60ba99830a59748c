package cluster

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
)

func customerWithKey(name, key string) *operatorv1.Object {
	sum := sha256.Sum256([]byte(key))
	return &operatorv1.Object{Kind: &operatorv1.Object_Customer{Customer: &operatorv1.Customer{
		Name: name, Weight: 1, Keys: []*operatorv1.Key{{Id: "k", Sha256: hex.EncodeToString(sum[:])}},
	}}}
}

// Guards against a key that is accepted for the wrong customer or although it is not configured.
func TestCustomerByKeyFindsOnlyTheOwner(t *testing.T) {
	s, err := New(1, []*operatorv1.Object{customerWithKey("a", "key-a"), customerWithKey("b", "key-b")})
	require.NoError(t, err)
	c, ok := s.CustomerByKey("key-b")
	require.True(t, ok)
	require.Equal(t, "b", c.GetName())
	_, ok = s.CustomerByKey("key-c")
	require.False(t, ok)
	_, ok = s.CustomerByKey("")
	require.False(t, ok)
}

// Guards against a state that is modified while others read it, and against a change that is applied out of order.
func TestApplyKeepsReceiverAndRejectsGaps(t *testing.T) {
	s, err := New(1, []*operatorv1.Object{customerWithKey("a", "key-a")})
	require.NoError(t, err)
	next, err := s.Apply(&operatorv1.Change{
		Revision: 2, Deletes: []*operatorv1.ObjectRef{{Type: "customer", Name: "a"}},
	})
	require.NoError(t, err)
	require.Nil(t, next.Customer("a"))
	require.NotNil(t, s.Customer("a"))

	var gap *RevisionGapError
	_, err = s.Apply(&operatorv1.Change{Revision: 3})
	require.ErrorAs(t, err, &gap)
}

// Guards against a partly applied configuration: a reference to a missing object must reject the whole change.
func TestApplyRejectsDanglingReferences(t *testing.T) {
	_, err := Empty().Apply(&operatorv1.Change{Revision: 1, Upserts: []*operatorv1.Object{
		{Kind: &operatorv1.Object_Group{Group: &operatorv1.Group{Name: "g", Model: "m", Ranks: 1}}},
	}})
	var invalid *ValidationError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, Ref{TypeGroup, "g"}, invalid.Fields[0].Ref)
	require.Equal(t, "model", invalid.Fields[0].Field)
}

// Guards against a deadline that overflows when it is converted to a time.Duration.
func TestRuleDeadlineIsBounded(t *testing.T) {
	_, err := New(1, []*operatorv1.Object{{Kind: &operatorv1.Object_Rule{Rule: &operatorv1.Rule{
		Name: "r", Kind: operatorv1.WorkKind_WORK_KIND_SHORT, DeadlineMs: 1 << 60,
	}}}})
	var invalid *ValidationError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "deadline_ms", invalid.Fields[0].Field)
}
