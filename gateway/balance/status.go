package balance

import "time"

// status is a snapshot of the properties of a backend on which a choice depends.
type status struct {
	// available is false for servers that are leaving, evacuated or suspended, while a probe is in progress after a
	// suspension, and when this gateway has used its share of a bound on the requests.
	available bool
	// refusing servers refuse every request.
	refusing bool
	// group is empty while unknown. groupServing reports whether the group accepts new requests.
	group        string
	groupServing bool
	// lastResort is set for servers that get requests only if there is no other server: those that are missing,
	// ejected, silent or in a backoff.
	lastResort bool
	slots      int
	inFlight   int
	tokens     int
	// unread is the time to read the prompts that have not been read, position the place in the order of the servers.
	unread   time.Duration
	position float64
	// pace is at least 1, and higher for slow and for cold servers.
	pace     float64
	failures float64
	local    bool
}

func (b *Backend) status(now time.Time, domain string) status {
	b.mu.Lock()
	defer b.mu.Unlock()
	backingOff := now.Before(b.backoffUntil)
	group, serving := "", true
	if b.group != nil {
		group, serving = b.group.Name, b.group.Serving(now)
	}
	return status{
		available:    b.isUsable() && !b.suspension.blocks(now) && !b.isShareUsed(b.rate.unsent, now),
		refusing:     backingOff && b.refusals >= refusingAfter,
		group:        group,
		groupServing: serving,
		lastResort:   b.missing || backingOff || now.Before(b.ejectedUntil) || b.isSilent(now, silentAfter),
		slots:        b.server.Slots,
		inFlight:     b.inFlight,
		tokens:       b.tokens,
		unread:       b.left.Reading,
		position:     b.position,
		pace:         max(b.pace, 1) * b.coldWeight(now),
		failures:     b.failures,
		local:        b.server.Domain == domain,
	}
}

// Dump is the state dump of a backend.
type Dump struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	InFlight int    `json:"in_flight"`
	Tokens   int    `json:"tokens"`
	// WorkMs is the engine time of the work that is left.
	WorkMs      float64 `json:"work_ms"`
	Failures    float64 `json:"failures"`
	LatencyMs   float64 `json:"latency_ms"`
	Pace        float64 `json:"pace"`
	Draining    bool    `json:"draining"`
	Ejected     bool    `json:"ejected"`
	Group       string  `json:"group,omitempty"`
	Refusals    int     `json:"refusals"`
	Leaving     bool    `json:"leaving"`
	SuspendedMs int64   `json:"held_ms"`
	Evacuated   bool    `json:"evacuated,omitempty"`
	ColdMs      int64   `json:"cold_ms,omitempty"`
	// LimitPerSecond is the rate limit that the server names, nil without one. LimitShare is how many requests this
	// gateway may send in a window, LimitSent how many it has sent in the current one.
	LimitPerSecond *float64 `json:"limit_per_s,omitempty"`
	LimitShare     int      `json:"limit_share,omitempty"`
	LimitSent      int      `json:"limit_sent,omitempty"`
	Idle           int      `json:"idle_connections"`
}

// Dump returns the state dump.
func (b *Backend) Dump(now time.Time) Dump {
	b.mu.Lock()
	defer b.mu.Unlock()
	group := ""
	if b.group != nil {
		group = b.group.Name
	}
	d := Dump{
		ID:          b.server.ID,
		Service:     b.server.Service,
		Address:     b.server.Address,
		Group:       group,
		InFlight:    b.inFlight,
		Tokens:      b.tokens,
		WorkMs:      float64(b.left.Total()) / float64(time.Millisecond),
		Failures:    b.failures,
		LatencyMs:   float64(b.latency) / float64(time.Millisecond),
		Pace:        b.pace,
		Draining:    b.server.Draining,
		Ejected:     now.Before(b.ejectedUntil),
		Refusals:    b.refusals,
		Leaving:     b.leaving,
		SuspendedMs: max(b.suspension.until.Sub(now), 0).Milliseconds(),
		Evacuated:   b.isEvacuated(),
		ColdMs:      b.coldFor(now).Milliseconds(),
		Idle:        b.Pool.Idle(),
	}
	if b.rate.limit.named {
		perSecond, share := b.rate.limit.perSecond, b.limitShare(now)
		d.LimitPerSecond, d.LimitShare, d.LimitSent = &perSecond, share.share, b.rate.sends.count(share.window, now)
	}
	return d
}
