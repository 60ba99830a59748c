// Package membership decides which backend servers may get requests. It combines the instance list, the reports of the
// servers about themselves, and the connection results of this process. Reports and connection results take precedence
// over the list.
package membership

import "time"

// Reason is the reason why a server gets no requests.
type Reason uint8

// The reasons. If several of them apply, the first in this order is reported.
const (
	// Usable means that there is no reason: the server may get requests.
	Usable Reason = iota
	// Draining means that the server has reported that it is draining; this is final for its incarnation.
	Draining
	// Leaving means that the instance list shows the server as leaving.
	Leaving
	// Partition means that this process reaches no server of the failure domain. The server itself may be healthy.
	Partition
	// Down means that this process failed to connect twice in a row, or received no byte in response to its requests
	// for DownAfterSilence.
	Down
)

var reasonNames = [...]string{"usable", "draining", "leaving", "partition", "down"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Status is the health status of one server.
type Status struct {
	Reason Reason
	// Incarnation is the highest incarnation that the server has reported, 0 if it has reported none.
	Incarnation int64
	// UsableSince is the time when the server became usable or restarted, from which it ramps up. It is zero if the
	// server has been usable since the start of this process.
	UsableSince time.Time
	// Slow is set if the server has reported a persistently slow rank within the last SlowReportTTL.
	Slow bool
	// Suspect is set if the last connection to the server failed or became silent.
	Suspect bool
}

// Usable reports whether the server may get new requests.
func (s Status) Usable() bool { return s.Reason == Usable }

// View is an immutable snapshot of all servers. Any goroutine may read it.
type View struct {
	// Version increases with every change that affects the choice of replica.
	Version uint64
	// ListAge is the age of the last list at the time of the view. It is negative if no list has been read.
	ListAge time.Duration
	// Entries is the number of live entry processes in the list, at least 1.
	Entries int

	servers map[string]Status
	// partitioned holds the failure domains that this process is cut off from.
	partitioned map[string]bool
}

// Status returns the status of a server. A server about which nothing has been observed is usable: its absence from the
// instance list does not prove that it has failed.
func (v *View) Status(server string) Status { return v.servers[server] }

// Partitioned reports whether this process is cut off from the failure domain.
func (v *View) Partitioned(domain string) bool { return v.partitioned[domain] }

// DownServers returns the servers that this process considers down. Servers of partitioned domains are excluded,
// because this process may be the only one that is cut off from them.
func (v *View) DownServers() []string {
	var out []string
	for name, s := range v.servers {
		if s.Reason == Down {
			out = append(out, name)
		}
	}
	return out
}

// UnusableReasons returns the reason for each server that gets no requests.
func (v *View) UnusableReasons() map[string]string {
	out := map[string]string{}
	for name, s := range v.servers {
		if !s.Usable() {
			out[name] = s.Reason.String()
		}
	}
	return out
}
