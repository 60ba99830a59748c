package replicaserver

import (
	"encoding/json"
	"net/http"
	"time"
)

// recordReports stores the current reports. Other instances get them after reportLag.
func (g *Group) recordReports(now time.Time) {
	for i, r := range g.ranks {
		r.reports = append(r.reports, timedReport{at: now, body: g.report(i, now)})
		for len(r.reports) > 1 && now.Sub(r.reports[1].at) > reportLag {
			r.reports = r.reports[1:]
		}
	}
}

// report returns the current report of a rank. The caller holds the lock.
func (g *Group) report(i int, now time.Time) json.RawMessage {
	r := g.ranks[i]
	state := "open"
	if !g.serving {
		state = "broken"
	}
	out := map[string]any{
		"Running": r.running, "Waiting": 0, "size": len(g.ranks), "pace": max(r.faults.Pace, 1), "step": g.pass,
		"group":   map[string]any{"Name": "g", "epoch": g.epoch, "rank": i, "State": state},
		"Mapping": r.version, "Armed": r.armed, "held": r.heldPass, "born": r.startedAt.UnixMilli(),
	}
	if r.preparedVersion != 0 && !now.Before(r.preparedAt) {
		out["Prepared"] = r.preparedVersion
	}
	raw, err := json.Marshal(out)
	if err != nil {
		panic(err) // Cannot happen: the report holds only numbers and names.
	}
	return raw
}

func (g *Group) serveReport(w http.ResponseWriter, i int, sameInstance bool) {
	g.mu.Lock()
	reports := g.ranks[i].reports
	current := g.report(i, time.Now())
	g.mu.Unlock()
	if sameInstance || len(reports) == 0 {
		_, _ = w.Write(current)
		return
	}
	_, _ = w.Write(reports[0].body)
}

func (g *Group) serveExpertCounts(w http.ResponseWriter, i int, withMapping bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[i]
	out := map[string]any{"step": g.pass, "epoch": g.epoch, "ExpertCounts": r.expertCounts}
	if withMapping {
		out["Mapping"] = map[string]any{"Version": r.version, "Experts": r.experts}
	}
	_ = json.NewEncoder(w).Encode(out) // Encode fails only if the client has disconnected.
}

type order struct {
	Operation  string
	Epoch      int64 `json:"epoch"`
	Version    int64
	Mapping    [][][]int
	Step       int64 `json:"step"`
	FenceToken int64
}

// serveOrder executes an order. With the fault DelayOrders, it closes the connection and executes the order later.
func (g *Group) serveOrder(w http.ResponseWriter, r *http.Request, i int) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	delayed := g.ranks[i].faults.DelayOrders > 0
	if delayed {
		g.ranks[i].faults.DelayOrders--
	}
	g.mu.Unlock()
	if delayed {
		const delay = 500 * time.Millisecond
		time.AfterFunc(delay, func() { g.execute(i, o) })
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
	w.WriteHeader(g.execute(i, o))
}

// execute executes an order and returns the response status.
func (g *Group) execute(i int, o order) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[i]
	if o.FenceToken < r.fencingToken {
		return http.StatusPreconditionFailed
	}
	if o.Epoch != g.epoch || !g.serving {
		return http.StatusConflict
	}
	r.fencingToken = o.FenceToken
	accepted := false
	switch o.Operation {
	case "prepare":
		accepted = r.prepare(i, o, time.Now())
	case "arm":
		accepted = r.arm(o, g.pass, time.Now())
	case "disarm":
		accepted = r.disarm(o)
	case "Hold":
		accepted = r.hold(o, g.pass)
	case "go":
		accepted = r.release(o)
	default:
		return http.StatusBadRequest
	}
	if !accepted {
		return http.StatusConflict
	}
	return http.StatusAccepted
}

// arm makes the rank switch to the prepared map at the start of a future pass.
func (r *rank) arm(o order, pass int64, now time.Time) bool {
	if r.preparedVersion != o.Version || now.Before(r.preparedAt) || o.Step <= pass {
		return false
	}
	r.armed = &armedSwitch{Version: o.Version, Step: o.Step}
	return true
}

// hold prevents the start of a future pass until release.
func (r *rank) hold(o order, pass int64) bool {
	if o.Step <= pass || (r.heldPass != nil && *r.heldPass != o.Step) {
		return false
	}
	r.heldPass = &o.Step
	return true
}

// release ends the hold of a pass. It has no effect on the hold of another pass.
func (r *rank) release(o order) bool {
	if r.heldPass != nil && *r.heldPass == o.Step {
		r.heldPass = nil
	}
	return true
}

// prepare starts loading rank i's part of a map, which takes expertTransferTime.
func (r *rank) prepare(i int, o order, now time.Time) bool {
	if r.armed != nil || o.Version <= r.highestVersion || len(o.Mapping) != Layers {
		return false
	}
	r.highestVersion, r.preparedVersion, r.preparedAt = o.Version, o.Version, now.Add(expertTransferTime)
	r.nextExperts = make([][]int, Layers)
	for l := range r.nextExperts {
		r.nextExperts[l] = o.Mapping[l][i]
	}
	return true
}

// disarm cancels the switch to a map. It is refused if the rank already uses that map.
func (r *rank) disarm(o order) bool {
	if r.version == o.Version {
		return false
	}
	if r.armed != nil && r.armed.Version == o.Version {
		r.armed = nil
	}
	return true
}
