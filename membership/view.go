// Package membership decides which servers may get work. It combines the instance list, what servers report of
// themselves, and the connection results of this process. Self reports and connection results outrank the list.
package membership

import "time"

// Reason says why a server gets no work.
type Reason uint8

// The reasons, in order of precedence.
const (
	Usable Reason = iota
	// Draining: the server said so itself; final for its incarnation.
	Draining
	// Leaving: the instance list says so.
	Leaving
	// Partition: this process reaches no server of the failure domain. It says nothing about the server.
	Partition
	// Down: this process failed to connect twice in a row, or saw no byte of work for SilenceIsDown.
	Down
)

var reasonNames = [...]string{"usable", "draining", "leaving", "partition", "down"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Status is what is known of one server.
type Status struct {
	Reason Reason
	// Incarnation is the highest one that the server has reported, 0 when it has reported none.
	Incarnation int64
	// UsableSince is when the server became usable; zero when it was usable from the start of this process.
	UsableSince time.Time
	// Slow says that the server has reported a rank that stays slow, within the last SlowFor.
	Slow bool
	// Suspect says that the last connection to the server failed or went silent.
	Suspect bool
}

// Usable says whether the server may get new work.
func (s Status) Usable() bool { return s.Reason == Usable }

// View is an immutable picture of all servers. Any goroutine may read it.
type View struct {
	// Version increases with every change that matters to the choice of replica.
	Version uint64
	// ListAge is the time since the list was last read, at the time of the view; negative when it never was.
	ListAge time.Duration
	// Entries is the number of live entries in the list, at least 1.
	Entries int

	servers map[string]Status
	// partitioned holds the failure domains that this process does not reach.
	partitioned map[string]bool
}

// Status returns the status of a server. A server without evidence is usable: an absent entry in the list is no
// proof of death.
func (v *View) Status(server string) Status { return v.servers[server] }

// Partitioned says whether this process reaches no server of the failure domain.
func (v *View) Partitioned(domain string) bool { return v.partitioned[domain] }

// DownServers returns the servers that this process holds to be down. Servers behind a partition are left out,
// because only this process may be cut off.
func (v *View) DownServers() []string {
	var out []string
	for name, s := range v.servers {
		if s.Reason == Down {
			out = append(out, name)
		}
	}
	return out
}

// UnusableReasons returns the reasons of the servers that get no work.
func (v *View) UnusableReasons() map[string]string {
	out := map[string]string{}
	for name, s := range v.servers {
		if !s.Usable() {
			out[name] = s.Reason.String()
		}
	}
	return out
}
