// Package invariant checks invariants at run time. Violations are counted and passed to a handler. Processes log them,
// and tests fail on them.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Property identifies an invariant by its number and name in docs/design.md.
type Property string

// The invariants.
const (
	SingleMap          Property = "P1 one-map"
	CompleteResponse   Property = "P2 whole-answer"
	RefusalNotExecuted Property = "P3 true-refusal"
	AtMostOnce         Property = "P4 at-most-once"
	LeavingServer      Property = "P5 leaving"
	GracefulShutdown   Property = "P6 graceful"
	ConfigMonotonic    Property = "P7 config"
)

// ViolationError is a violation of an invariant.
type ViolationError struct {
	Property Property
	Detail   string
}

func (v *ViolationError) Error() string { return fmt.Sprintf("%s violated: %s", v.Property, v.Detail) }

var (
	count   atomic.Int64
	handler atomic.Pointer[func(*ViolationError)]
)

// OnViolation sets the handler of violations, which is called from the goroutine that detects one, and returns a
// function that restores the previous handler. The default handler does nothing.
func OnViolation(fn func(*ViolationError)) (restore func()) {
	previous := handler.Swap(&fn)
	return func() { handler.Store(previous) }
}

// Check reports a violation unless ok is true. The detail is formatted only for a violation.
func Check(ok bool, p Property, format string, args ...any) {
	if ok {
		return
	}
	count.Add(1)
	if fn := handler.Load(); fn != nil {
		(*fn)(&ViolationError{Property: p, Detail: fmt.Sprintf(format, args...)})
	}
}

// Count returns the number of violations since the process started.
func Count() int64 { return count.Load() }
