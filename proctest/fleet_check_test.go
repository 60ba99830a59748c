package proctest

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/standin/replicaserver"
)

// recovers checks that everything is served again, soon after the last failure, and that the group makes passes.
func (s *fleetSoak) recovers() {
	const recoverBound = 12 * time.Second
	end := time.Now().Add(recoverBound)
	h := client()
	for _, g := range s.f.Gateways {
		for path, events := range map[string]int{"/stream/x": 10, "/once/x": 0, "/read/x": 0} {
			served := 0
			for served < 3 && time.Now().Before(end.Add(contact)) {
				if a := s.send(h, g, path, CallerKey, events); a.status == http.StatusOK && a.whole {
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
	for _, r := range s.f.Runs() {
		runs[r.Attempt] = append(runs[r.Attempt], r)
	}
	for _, a := range s.all() {
		s.checkAttempt(a, runs[a.id])
	}
	group := s.f.Group()
	t.Logf("%v; %d requests; the group: pass %d, %d switches, stood for at most %d passes in a row", s.counts,
		len(s.all()), group.Pass, group.Switches, group.MaxConsecutiveHolds)
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
	for _, g := range s.f.Gateways {
		out = append(out, g.Proc)
	}
	for _, r := range s.f.Ranks {
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
	case once && a.notRun() && len(runs) > 0:
		s.problem("request %s got status %d and ran at %s", a.id, a.status, runs[0].Replica)
	case a.status == http.StatusOK && len(runs) == 0:
		s.problem("request %s got an answer and never ran", a.id)
	case len(runs) > 2:
		s.problem("request %s ran at %d replicas; two are allowed", a.id, len(runs))
	}
	if a.whole && a.status == http.StatusOK {
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
		s.checkDrained(a, r)
		s.checkLeft(a, r)
	}
	s.checkStop(a, runs)
}

// checkLeft checks that a gateway sends nothing to a replica later than allowed after it has passed on an answer by which that one
// leaves.
func (s *fleetSoak) checkLeft(a *attempt, r replicaserver.Run) {
	said, ok := s.saidLeaving(a.gateway, r.Replica, time.UnixMilli(r.At))
	if !ok || !s.calm(said, a.ended, a.gateway.Name) {
		return
	}
	s.counts["checked leaves"]++
	if late := a.began.Sub(said); late > drainBound {
		s.problem("request %s, sent %v after %s had passed on that %s leaves, reached it", a.id, late, a.gateway.Name, r.Replica)
	}
}

// saidLeaving returns when a gateway first passed on an answer by which a replica leaves, in the same start of the replica as a time.
func (s *fleetSoak) saidLeaving(g *Gateway, replica string, at time.Time) (time.Time, bool) {
	from, to, ok := s.spanOf(leaving, replica, at)
	if !ok {
		return time.Time{}, false
	}
	var first time.Time
	for _, a := range s.all() {
		said := a.gateway == g && a.header.Get("Server-Leaving") != "" && a.header.Get("X-Replica-Seal") == replica
		if said && a.ended.After(from) && (to.IsZero() || a.ended.Before(to)) && (first.IsZero() || a.ended.Before(first)) {
			first = a.ended
		}
	}
	return first, !first.IsZero()
}

// spanOf returns the failure of a kind that struck something at a time.
func (s *fleetSoak) spanOf(kind, what string, at time.Time) (from, to time.Time, ok bool) {
	s.findings.mu.Lock()
	defer s.findings.mu.Unlock()
	for _, f := range s.spans {
		if f.kind == kind && f.what == what && f.from.Before(at) && (f.to.IsZero() || f.to.After(at)) {
			return f.from, f.to, true
		}
	}
	return time.Time{}, time.Time{}, false
}

// checkDrained checks that a replica gets no request later than allowed after it has said that it leaves.
func (s *fleetSoak) checkDrained(a *attempt, r replicaserver.Run) {
	at, late := time.UnixMilli(r.At), time.Duration(r.DrainingMs)*time.Millisecond
	if late == 0 || !s.calm(at.Add(-late), at, "store", a.gateway.Name) {
		return
	}
	s.counts["checked drains"]++
	if late > drainBound+wayTime {
		s.problem("request %s reached %s %v after that had said it drains", a.id, r.Replica, late)
	}
}

// checkStop checks that a gateway which is stopped as planned ends what it has begun. Requests that began before it, and
// whose replica was well, are answered whole.
func (s *fleetSoak) checkStop(a *attempt, runs []replicaserver.Run) {
	for _, stop := range s.stopped {
		if stop.what != a.gateway.Name || !a.began.Before(stop.from) || !a.ended.After(stop.from) {
			continue
		}
		others := []string{"store"}
		for _, r := range runs {
			others = append(others, r.Replica)
		}
		if !s.calm(a.began, a.ended, others...) || (a.events > 0 && s.groupBroke(a.began, a.ended)) {
			continue
		}
		s.counts["checked stops"]++
		if a.status == 0 || !a.whole {
			s.problem("request %s to %s was cut %v after its begin: %s was stopped %v after it; meanwhile: %v", a.id, a.path,
				a.ended.Sub(a.began), stop.what, stop.from.Sub(a.began), s.during(a.began, a.ended))
		}
	}
}

// groupBroke says whether a model replica crashed between two times: all replicas of its group then break their streams off
// (seed 114: streams at replica 0 were cut when replica 3 crashed).
func (s *fleetSoak) groupBroke(from, to time.Time) bool {
	during := s.during(from, to)
	for i := range s.f.Ranks {
		if slices.Contains(during, crash+" "+replicaName(i)) {
			return true
		}
	}
	return false
}
