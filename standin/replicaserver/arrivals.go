package replicaserver

import (
	"slices"
	"time"
)

// LimitHeader is the header in which a replica names the rate of requests that it accepts from all gateways together.
const LimitHeader = "Server-Limit"

// Arrival is one request that reached the replica for which it was meant, whether the replica executed it or not. The
// attempt tells the caller through which gateway it came.
type Arrival struct {
	Attempt string `json:"attempt"`
	Replica string `json:"replica"`
	// Limit is the text of LimitHeader in the response.
	Limit string `json:"limit"`
	// At is the Unix time of the arrival in milliseconds.
	At int64 `json:"at"`
}

// Arrivals returns all arrivals so far.
func (l *RunLog) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.arrivals)
}

func (l *RunLog) addArrival(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

func (r *Replica) recordArrival(attempt, limit string, now time.Time) {
	r.log.addArrival(Arrival{Attempt: attempt, Replica: r.id, Limit: limit, At: now.UnixMilli()})
}
