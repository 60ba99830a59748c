package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lavendermoor.example/clients/instances"
)

const (
	// tickInterval bounds the delay of time-based rules.
	tickInterval = 100 * time.Millisecond
	// ProbeTimeout bounds the duration of a probe.
	ProbeTimeout = time.Second
	// maxProbes bounds the probes in flight, so that the loss of a rack does not cause a burst of connections.
	maxProbes   = 16
	eventBuffer = 1024
)

// Prober fetches a server's report over a new connection. It must return when the context ends.
type Prober func(ctx context.Context, server string) (Report, error)

// Tracker runs a State in one goroutine and publishes its views. All methods except Run may be called from any
// goroutine and never wait for I/O.
type Tracker struct {
	state  *State
	probe  Prober
	notify func(*View)
	view   atomic.Pointer[View]
	events chan func(time.Time)
	start  time.Time
	// successTimes maps each failure domain to the time of its last success, in nanoseconds since start. Request
	// goroutines write it directly, so that a success needs no event to Run. Times are monotonic: after a backward step
	// of the wall clock, the last success would be later than all following failures and hide a partition.
	successTimes sync.Map
	// slowReportTimes maps each server to the time when a report of a slow rank was last sent to Run, in nanoseconds
	// since start.
	slowReportTimes sync.Map
	droppedEvents   atomic.Int64
	done            chan struct{}
}

// NewTracker returns a tracker. If notify is not nil, the goroutine of Run calls it with every view whose version has
// changed.
func NewTracker(seed uint64, probe Prober, notify func(*View)) *Tracker {
	now := time.Now()
	t := &Tracker{
		state: NewState(now, seed), probe: probe, notify: notify, start: now,
		events: make(chan func(time.Time), eventBuffer), done: make(chan struct{}),
	}
	t.view.Store(t.state.View(now))
	return t
}

// View returns the latest view.
func (t *Tracker) View() *View { return t.view.Load() }

// DroppedEvents returns the number of events that were dropped because the queue to Run was full. No retry is needed:
// the next observation of the same kind has the same effect.
func (t *Tracker) DroppedEvents() int64 { return t.droppedEvents.Load() }

// SetServers sets the servers of the active configuration. It blocks until the event is queued, Run has returned, or
// ctx ends.
func (t *Tracker) SetServers(ctx context.Context, servers []Server) {
	t.post(ctx, func(now time.Time) { t.state.SetServers(now, servers) })
}

// ApplyList applies a response of the instance list. It blocks like SetServers.
func (t *Tracker) ApplyList(ctx context.Context, l instances.List) {
	t.post(ctx, func(now time.Time) { t.state.ApplyList(now, l) })
}

func (t *Tracker) post(ctx context.Context, fn func(time.Time)) {
	select {
	case t.events <- fn:
	case <-t.done:
	case <-ctx.Done():
	}
}

// tryPost drops the event if the queue is full, because request goroutines must not wait.
func (t *Tracker) tryPost(fn func(time.Time)) {
	select {
	case t.events <- fn:
	default:
		t.droppedEvents.Add(1)
	}
}

// ObserveReport records a server's report that came with a response. A report without new information costs one lookup.
func (t *Tracker) ObserveReport(rep Report) {
	s := t.View().Status(rep.Server)
	newIncarnation := rep.Incarnation > s.Incarnation
	startsDraining := rep.Draining && s.Reason != Draining
	contradictsList := s.Reason == Leaving && !rep.Draining
	if newIncarnation || startsDraining || contradictsList || rep.Slow != s.Slow || t.slowReportIsDue(rep) {
		t.tryPost(func(now time.Time) { t.state.ObserveReport(now, rep) })
	}
}

// slowReportIsDue reports whether a repeated report of a slow rank must be sent to Run. Without it, a group that stays
// slow would briefly count as normal each time SlowReportTTL has passed.
func (t *Tracker) slowReportIsDue(rep Report) bool {
	if !rep.Slow {
		return false
	}
	now := int64(time.Since(t.start))
	last, ok := t.slowReportTimes.Load(rep.Server)
	if ok && now-last.(int64) < int64(SlowReportTTL/3) {
		return false
	}
	t.slowReportTimes.Store(rep.Server, now)
	return true
}

// ObserveSuccess records a successful exchange with a server of the failure domain.
func (t *Tracker) ObserveSuccess(server, domain string) {
	now := int64(time.Since(t.start))
	if cell, ok := t.successTimes.Load(domain); ok {
		cell.(*atomic.Int64).Store(now)
	} else {
		cell, _ := t.successTimes.LoadOrStore(domain, new(atomic.Int64))
		cell.(*atomic.Int64).Store(now)
	}
	if s := t.View().Status(server); s.Suspect || s.Reason == Down || s.Reason == Partition {
		t.tryPost(func(now time.Time) { t.state.ObserveSuccess(now, server) })
	}
}

// ObserveFailure records a failed connection to a server.
func (t *Tracker) ObserveFailure(server string) {
	t.tryPost(func(now time.Time) { t.state.ObserveFailure(now, server) })
}

// ObserveSilence records that a connection with a request in flight has received no byte for SilenceTimeout.
func (t *Tracker) ObserveSilence(server string) {
	t.tryPost(func(now time.Time) { t.state.ObserveSilence(now, server) })
}

// Run processes events, ticks and probes until ctx ends, then waits for the probes in flight.
func (t *Tracker) Run(ctx context.Context) {
	defer close(t.done)
	var probes sync.WaitGroup
	defer probes.Wait()
	probeSemaphore := make(chan struct{}, maxProbes)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-t.events:
			t.apply(fn)
			t.publish(false)
		case <-tick.C:
			now := time.Now()
			t.mergeSuccessTimes()
			for _, server := range t.state.Tick(now) {
				probes.Go(func() { t.runProbe(ctx, probeSemaphore, server) })
			}
			t.publish(true)
		}
	}
}

// apply processes an event and all events in the queue, so that a burst publishes only one view.
func (t *Tracker) apply(fn func(time.Time)) {
	t.mergeSuccessTimes()
	fn(time.Now())
	for {
		select {
		case fn = <-t.events:
			fn(time.Now())
		default:
			return
		}
	}
}

func (t *Tracker) mergeSuccessTimes() {
	t.successTimes.Range(func(name, cell any) bool {
		if i, ok := t.state.domainIndex[name.(string)]; ok {
			d := &t.state.domains[i]
			if at := t.start.Add(time.Duration(cell.(*atomic.Int64).Load())); at.After(d.lastSuccess) {
				d.lastSuccess = at
			}
		}
		return true
	})
}

func (t *Tracker) runProbe(ctx context.Context, semaphore chan struct{}, server string) {
	select {
	case semaphore <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-semaphore }()
	probeCtx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	rep, err := t.probe(probeCtx, server)
	rep.Server = server
	t.post(ctx, func(now time.Time) {
		if err != nil {
			t.state.ProbeFailed(now, server)
			return
		}
		t.state.ProbeSucceeded(now, rep)
	})
}

// publish replaces the view immediately if the version has changed. Other changes are published only at a tick, because
// a view copies the status of every server.
func (t *Tracker) publish(atTick bool) {
	before := t.view.Load()
	pending := atTick && t.state.dirty
	if before.Version == t.state.version && !pending {
		return
	}
	v := t.state.View(time.Now())
	t.view.Store(v)
	if v.Version != before.Version && t.notify != nil {
		t.notify(v)
	}
}
