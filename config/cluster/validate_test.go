package cluster

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
)

// Guards against NaN or infinity as a quota or value: they pass a comparison with 0 and break later comparisons.
func TestAmountsMustBeFinite(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		_, err := New(1, []*operatorv1.Object{
			{Kind: &operatorv1.Object_Customer{Customer: &operatorv1.Customer{
				Name: "c", Weight: 1, RequestsPerSecond: x, TokensPerSecond: x,
			}}},
			{Kind: &operatorv1.Object_Rule{Rule: &operatorv1.Rule{
				Name: "r", Kind: operatorv1.WorkKind_WORK_KIND_SHORT, Value: x,
			}}},
		})
		var invalid *ValidationError
		require.ErrorAs(t, err, &invalid)
		require.Len(t, invalid.Fields, 3)
	}
}
