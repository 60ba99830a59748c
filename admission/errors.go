package admission

import (
	"fmt"

	"lavendermoor.example/api/callerapi"
)

// RefusedError reports that a request was refused before it ran and will not run.
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

// Caller returns the error in the form sent to the caller. It states that the request was not executed.
func (e *RefusedError) Caller() *callerapi.Error {
	t, ok := refusalTypes[e.Reason]
	if !ok {
		t = callerapi.Overloaded
	}
	return callerapi.NotExecuted(t, "%v", e).WithRetryAfter(e.RetryAfter)
}

// CanceledError reports that the caller's context ended before the request ran. The request will not run.
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

// Caller returns the error in the form sent to the caller. It states that the request was not executed.
func (e *CanceledError) Caller() *callerapi.Error {
	return callerapi.NotExecuted(callerapi.DeadlineExceeded, "%v", e).WithRetryAfter(minRetryAfter)
}
