package admission

import (
	"fmt"

	"lavendermoor.example/api/callerapi"
)

// RefusedError says that a request was refused before it ran. It will not run.
type RefusedError struct {
	ID string
	Decision
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request %s refused: %s, predicted wait %s, retry after %s",
		e.ID, e.Reason, e.PredictedWait, e.RetryAfter)
}

var refusalTypes = map[Reason]callerapi.ErrorType{
	Draining: callerapi.Draining,
	Expired:  callerapi.DeadlineExceeded,
}

// Caller returns the error as the caller sees it. It says that the request was not executed.
func (e *RefusedError) Caller() *callerapi.Error {
	t, ok := refusalTypes[e.Reason]
	if !ok {
		t = callerapi.Overloaded
	}
	return callerapi.NotRun(t, "%v", e).WithRetryAfter(e.RetryAfter)
}

// CanceledError says that the caller went away before the request ran. It will not run.
type CanceledError struct {
	ID string
	// Cause is the error of the caller's context.
	Cause error
}

func (e *CanceledError) Error() string {
	return fmt.Sprintf("request %s left the queue: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *CanceledError) Unwrap() error { return e.Cause }

// Caller returns the error as the caller sees it. It says that the request was not executed.
func (e *CanceledError) Caller() *callerapi.Error {
	return callerapi.NotRun(callerapi.DeadlineExceeded, "%v", e).WithRetryAfter(minRetryAfter)
}
