package proctest

import (
	"math/rand/v2"
	"net/http"
	"time"

	"lavendermoor.example/clients/httpstatus"
	"lavendermoor.example/standin/replicaserver"
)

// kindInvalidStatus is the kind of fault in which a replica executes requests and responds with a status that HTTP does not
// have.
const kindInvalidStatus = "replica sends an invalid status"

// sendInvalidStatuses makes random replicas send invalid statuses.
func (s *fleetSoak) sendInvalidStatuses(rng *rand.Rand) {
	lines := []string{"000 Zero", "099 Low", "101 Switching Protocols", "600 High", "999 Highest"}
	s.repeatInHalfOfTheSeeds(rng, func(rng *rand.Rand) {
		faults := replicaserver.Faults{StatusLine: lines[rng.IntN(len(lines))]}
		s.failReplica(rng, kindInvalidStatus, len(s.fleet.ReplicaLinks), faults, time.Second)
	})
}

// checkStatus checks that a caller gets no status that HTTP does not have, and that a request which must not be repeated
// does not wait until its deadline after such a status.
func (s *fleetSoak) checkStatus(a *attempt, runs []replicaserver.Run) {
	if err := httpstatus.CheckFinal(a.status); a.status != 0 && err != nil {
		s.problem("request %s at %s: %v", a.id, a.gateway.Name, err)
	}
	if a.path != "/once/x" || len(runs) != 1 {
		return
	}
	at := time.UnixMilli(runs[0].At)
	if _, _, ok := s.faultAt(kindInvalidStatus, runs[0].Replica, at); !ok {
		return
	}
	s.counts["checked invalid statuses"]++
	if a.status == http.StatusGatewayTimeout && s.faultFree(at, a.endedAt, a.gateway.Name) {
		s.problem("request %s at %s waited for an answer after an invalid status of %s", a.id, a.gateway.Name, runs[0].Replica)
	}
}
