package upstream

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines of exchanges, watchdogs and connection drains that outlive their request.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
