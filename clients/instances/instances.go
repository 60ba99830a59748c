// Package instances polls and caches the platform's instance list. The list may be outdated: it may contain instances
// that are gone and lack instances that are running. It therefore proves neither that an instance runs nor that it does
// not.
package instances

import "fmt"

// Path is the path of the list on the platform.
const Path = "/v1/instances"

// State is the state of an instance as reported by the platform.
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

// Instance is one entry of the list. A sidecar has the name of its backend server.
type Instance struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Program       string `json:"program"`
	State         State  `json:"state"`
}

// List is the instance list. Version increases with every change.
type List struct {
	Version   int64      `json:"version"`
	Instances []Instance `json:"instances"`
}

// UnavailableError reports that the list could not be read.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("instance list is unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// StatusError reports a response of the platform with a status other than 200 and 304.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("request for the instance list failed with status %d", e.Status)
}
