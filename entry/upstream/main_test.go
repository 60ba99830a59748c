package upstream

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines of exchanges, watchdogs and drains that outlive their request.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
