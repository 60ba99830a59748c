package proctest

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/replicaserver"
)

// checkRecovery checks that everything is served again, soon after the last failure, and that the group makes passes.
func (s *fleetSoak) checkRecovery() {
	const recoverBound = 12 * time.Second
	end := time.Now().Add(recoverBound)
	h := newCallerHTTPClient()
	for _, g := range s.fleet.Gateways {
		for path, events := range map[string]int{"/stream/x": 10, "/once/x": 0, "/read/x": 0} {
			served := 0
			for served < 3 && time.Now().Before(end.Add(recoveryGrace)) {
				if a := s.send(h, g, path, CallerKey, events); a.status == http.StatusOK && a.complete {
					served++
					continue
				}
				served = 0
				time.Sleep(100 * time.Millisecond)
			}
			if served < 3 {
				s.problem("%s does not serve %s %v after the last failure", g.Name, path, recoverBound)
			}
		}
	}
}

// check compares what callers were told with what ran.
func (s *fleetSoak) check() {
	t := s.t
	runs := map[string][]replicaserver.Run{}
	for _, r := range s.fleet.Runs() {
		runs[r.Attempt] = append(runs[r.Attempt], r)
	}
	for _, a := range s.recorded() {
		s.checkAttempt(a, runs[a.id])
	}
	group := s.fleet.GroupCounts()
	t.Logf("%v; %d requests; the group: pass %d, %d switches, stood for at most %d passes in a row", s.counts,
		len(s.recorded()), group.Pass, group.Switches, group.MaxConsecutiveHolds)
	for _, v := range group.Violations {
		s.problem("%s", v)
	}
	for _, p := range s.processes() {
		for _, word := range []string{"panic:", "DATA RACE", "fatal error"} {
			if strings.Contains(p.Output(), word) {
				s.problem("output of %s has %q", p.Name, word)
			}
		}
	}
	require.Empty(t, s.problems)
	require.Positive(t, s.counts["whole"])
}

func (s *fleetSoak) processes() []*Proc {
	var out []*Proc
	for _, g := range s.fleet.Gateways {
		out = append(out, g.Proc)
	}
	for _, r := range s.fleet.RankSidecars {
		out = append(out, r.Proc)
	}
	return out
}

func (s *fleetSoak) checkAttempt(a *attempt, runs []replicaserver.Run) {
	if p := a.problem(); p != "" {
		s.problem("request %s to %s at %s: %s", a.id, a.path, a.gateway.Name, p)
	}
	once := a.path == "/once/x"
	switch {
	case once && len(runs) > 1:
		s.problem("request %s, which must run once, ran %d times", a.id, len(runs))
	case once && a.promisesNotExecuted() && len(runs) > 0:
		s.problem("request %s got status %d and ran at %s", a.id, a.status, runs[0].Replica)
	case a.status == http.StatusOK && len(runs) == 0:
		s.problem("request %s got an answer and never ran", a.id)
	case len(runs) > 2:
		s.problem("request %s ran at %d replicas; two are allowed", a.id, len(runs))
	}
	if a.complete && a.status == http.StatusOK {
		s.counts["whole"]++
	}
	service := replicaserver.PlainService
	if a.path == "/stream/x" {
		service = replicaserver.ModelService
	}
	for _, r := range runs {
		if r.Service != service || r.Customer != customerName || r.KeyForwarded {
			s.problem("request %s to %s ran as %+v", a.id, a.path, r)
		}
		s.checkDraining(a, r)
		s.checkLeaving(a, r)
	}
	s.checkGracefulStop(a, runs)
}

// checkLeaving checks that a gateway sends nothing to a replica later than allowed after it has passed on an answer by which that one
// leaves.
func (s *fleetSoak) checkLeaving(a *attempt, r replicaserver.Run) {
	leftAt, ok := s.firstLeavingResponse(a.gateway, r.Replica, time.UnixMilli(r.At))
	if !ok || !s.faultFree(leftAt, a.endedAt, a.gateway.Name) {
		return
	}
	s.counts["checked leaves"]++
	if late := a.startedAt.Sub(leftAt); late > drainBound {
		s.problem("request %s, sent %v after %s had passed on that %s leaves, reached it", a.id, late, a.gateway.Name, r.Replica)
	}
}

// firstLeavingResponse returns when a gateway first passed on an answer by which a replica leaves, in the same start of the replica as a time.
func (s *fleetSoak) firstLeavingResponse(g *Gateway, replica string, at time.Time) (time.Time, bool) {
	from, to, ok := s.faultAt(kindReplicaLeaves, replica, at)
	if !ok {
		return time.Time{}, false
	}
	var first time.Time
	for _, a := range s.recorded() {
		announces := a.gateway == g && a.header.Get("Server-Leaving") != "" && a.header.Get("X-Replica-Seal") == replica
		if announces && a.endedAt.After(from) && (to.IsZero() || a.endedAt.Before(to)) && (first.IsZero() || a.endedAt.Before(first)) {
			first = a.endedAt
		}
	}
	return first, !first.IsZero()
}

// faultAt returns the failure of a kind that struck something at a time.
func (s *fleetSoak) faultAt(kind, target string, at time.Time) (from, to time.Time, ok bool) {
	s.findings.mu.Lock()
	defer s.findings.mu.Unlock()
	for _, f := range s.injected {
		if f.kind == kind && f.target == target && f.from.Before(at) && (f.to.IsZero() || f.to.After(at)) {
			return f.from, f.to, true
		}
	}
	return time.Time{}, time.Time{}, false
}

// checkDraining checks that a replica gets no request later than allowed after it has said that it leaves.
func (s *fleetSoak) checkDraining(a *attempt, r replicaserver.Run) {
	at, late := time.UnixMilli(r.At), time.Duration(r.DrainingMs)*time.Millisecond
	if late == 0 || !s.faultFree(at.Add(-late), at, "store", a.gateway.Name) {
		return
	}
	s.counts["checked drains"]++
	if late > drainBound+transitTime {
		s.problem("request %s reached %s %v after that had said it drains", a.id, r.Replica, late)
	}
}

// checkGracefulStop checks that a gateway which is stopped as planned ends what it has begun. Requests that began before it, and
// whose replica was well, are answered whole.
func (s *fleetSoak) checkGracefulStop(a *attempt, runs []replicaserver.Run) {
	for _, stop := range s.gracefulStops {
		if stop.target != a.gateway.Name || !a.startedAt.Before(stop.from) || !a.endedAt.After(stop.from) {
			continue
		}
		others := []string{"store"}
		for _, r := range runs {
			others = append(others, r.Replica)
		}
		if !s.faultFree(a.startedAt, a.endedAt, others...) || (a.events > 0 && s.groupCrashed(a.startedAt, a.endedAt)) {
			continue
		}
		s.counts["checked stops"]++
		if a.status == 0 || !a.complete {
			s.problem("request %s to %s was cut %v after its begin: %s was stopped %v after it; meanwhile: %v", a.id, a.path,
				a.endedAt.Sub(a.startedAt), stop.target, stop.from.Sub(a.startedAt), s.faultsDuring(a.startedAt, a.endedAt))
		}
	}
}

// groupCrashed says whether a model replica crashed between two times: all replicas of its group then break their streams off
// (seed 114: streams at replica 0 were cut when replica 3 crashed).
func (s *fleetSoak) groupCrashed(from, to time.Time) bool {
	during := s.faultsDuring(from, to)
	for i := range s.fleet.RankSidecars {
		if slices.Contains(during, kindReplicaCrashes+" "+replicaName(i)) {
			return true
		}
	}
	return false
}
