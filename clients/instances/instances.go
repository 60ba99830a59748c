// Package instances reads the platform's instance list. The list lags behind reality in both directions, so its
// entries are evidence and never proof.
package instances

import "fmt"

// Path is where the platform serves the list.
const Path = "/v1/instances"

// State is what the platform says of an instance.
type State string

// The states of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Programs that appear in the list.
const (
	ProgramEntry = "entry"
	ProgramSide  = "side"
)

// Instance is one entry of the list. The name of a side process is that of its backend server.
type Instance struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Program       string `json:"program"`
	State         State  `json:"state"`
}

// List is one answer of the platform. The version increases with every change of the list.
type List struct {
	Version   int64      `json:"version"`
	Instances []Instance `json:"instances"`
}

// UnavailableError says that the list could not be read.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("instance list is unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// StatusError is an answer of the platform with another status than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("instance list answered with status %d", e.Status)
}
