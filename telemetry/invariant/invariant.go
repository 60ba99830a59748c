// Package invariant checks at run time the properties that must always hold. A violation is always logged and
// counted; in tests it is fatal.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Property identifies a property of the design page.
type Property string

// The properties.
const (
	SingleMap          Property = "P1 one-map"
	CompleteResponse   Property = "P2 whole-answer"
	RefusalNotExecuted Property = "P3 true-refusal"
	AtMostOnce         Property = "P4 at-most-once"
	LeavingServer      Property = "P5 leaving"
	GracefulShutdown   Property = "P6 graceful"
	ConfigMonotonic    Property = "P7 config"
)

// ViolationError is a broken property.
type ViolationError struct {
	Property Property
	Detail   string
}

func (v *ViolationError) Error() string { return fmt.Sprintf("%s violated: %s", v.Property, v.Detail) }

var (
	count   atomic.Int64
	handler atomic.Pointer[func(*ViolationError)]
)

// OnViolation sets the function that receives violations, called from the goroutine that found one, and
// returns a function that restores the one before. The default does nothing.
func OnViolation(fn func(*ViolationError)) (restore func()) {
	previous := handler.Swap(&fn)
	return func() { handler.Store(previous) }
}

// Check reports a violation unless ok. The detail is formatted only then.
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
