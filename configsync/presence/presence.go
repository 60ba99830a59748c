// Package presence tracks the membership of processes of one kind. Each process keeps a key under a lease in the
// key-value service and reads the keys of the others at intervals.
package presence

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
)

const (
	// leaseTTL is the time after which the service removes the key of a failed process.
	leaseTTL      = 15 * time.Second
	renewInterval = 5 * time.Second
	// secondReadDelay is the time between the first two reads of the keys. It is short, so that processes that start
	// together list each other soon. readInterval is the time between later reads.
	secondReadDelay = 2 * time.Second
	readInterval    = 20 * time.Second
	// demandInterval is the time between two publications of the demand, each with a read of the keys. It is at least
	// demandIntervalPerMember for each member, so that the traffic of a process does not grow with their number.
	demandInterval          = 2 * time.Second
	demandIntervalPerMember = 50 * time.Millisecond
	// retryDelay is the time until the next attempt after a failed renewal, and the timeout of deregistration.
	retryDelay = time.Second
	// maxMembers bounds the number of keys in one read.
	maxMembers = 5000
)

// Member describes a process. It is the value of the process's key.
type Member struct {
	// Name identifies the process. An instance keeps it across restarts.
	Name string `json:"name"`
	// Address is the "IP:port" at which others reach the process.
	Address string `json:"address"`
	// Domain is the failure domain of the process.
	Domain string `json:"domain"`
	// Build names the code of the process's program, empty if the process does not tell.
	Build string `json:"build,omitempty"`
	// Demand is the demand of the process in requests a second, by service, nil if it publishes none.
	Demand map[string]float64 `json:"demand,omitempty"`
}

// Presence registers one process and lists the others. Its methods may be called from any goroutine.
type Presence struct {
	store  kv.Store
	prefix string
	self   Member
	log    *zap.Logger

	members atomic.Pointer[[]Member]
	lease   kv.LeaseID
	// era is the era of the service in which the lease was granted, readEra the era of the last read.
	era, readEra int64
	// revision is that of the entry of this process as last written, published the demand in it.
	revision  int64
	published map[string]float64
	// builds is the summary of the members' builds that was logged last.
	builds string

	// demand is the demand to be published, nil for none. demandBegins wakes Run.
	demand       atomic.Pointer[map[string]float64]
	demandBegins chan struct{}
}

// New returns the Presence of a process that is to be registered under a prefix, which ends with a slash. Run registers
// the process.
func New(store kv.Store, prefix string, self Member, log *zap.Logger) *Presence {
	return &Presence{store: store, prefix: prefix, self: self, log: log, demandBegins: make(chan struct{}, 1)}
}

// SetDemand sets the demand of this process in requests a second, by service. While it is not empty, it is published with
// the entry of this process, and the entries of the others are read more often. The caller must not change the map.
func (p *Presence) SetDemand(demand map[string]float64) {
	if len(demand) == 0 {
		p.demand.Store(nil)
		return
	}
	if p.demand.Swap(&demand) != nil {
		return
	}
	select {
	case p.demandBegins <- struct{}{}:
	default: // Run has been woken already.
	}
}

// currentDemand returns the demand to be published, nil for none.
func (p *Presence) currentDemand() map[string]float64 {
	if d := p.demand.Load(); d != nil {
		return *d
	}
	return nil
}

// intervals returns the time until the next renewal, and the time between two reads of the keys.
func (p *Presence) intervals() (renew, read time.Duration) {
	if p.currentDemand() == nil {
		return renewInterval, readInterval
	}
	demand := max(demandInterval, time.Duration(len(p.Members()))*demandIntervalPerMember)
	return min(renewInterval, demand), min(readInterval, demand)
}

// Members returns the processes listed at the last read, including this one, or nil before the first read. The caller
// must not change the slice.
func (p *Presence) Members() []Member {
	if m := p.members.Load(); m != nil {
		return *m
	}
	return nil
}

// Run keeps the process registered until the context ends, and then deregisters it.
func (p *Presence) Run(ctx context.Context) {
	reads, lastRead := 0, time.Time{}
	for ctx.Err() == nil {
		delay, readDelay := p.intervals()
		if reads == 1 {
			readDelay = secondReadDelay
		}
		if err := p.renew(ctx); err != nil {
			p.log.Info("registration of this process could not be renewed; retrying", zap.Error(err))
			delay = retryDelay
		} else if now := time.Now(); (now.Sub(lastRead) >= readDelay || p.serviceRestored()) && p.readMembers(ctx) {
			reads, lastRead = reads+1, now
			if reads == 1 {
				delay = secondReadDelay
			}
		}
		select {
		case <-time.After(delay):
		case <-p.demandBegins:
		case <-ctx.Done():
		}
	}
	p.deregister(context.WithoutCancel(ctx))
}

// serviceRestored reports whether the service was restored from a backup after the last read.
func (p *Presence) serviceRestored() bool { return kv.EraOf(p.store) != p.readEra }

// renew renews the lease, or obtains a new one and writes the key under it. It writes the key again if the demand has
// changed. It does not renew a lease of an earlier era. That lease may belong to another process by now, because a
// restored service reuses the lease IDs that were granted after its backup.
func (p *Presence) renew(ctx context.Context) error {
	if p.lease != 0 && p.era == kv.EraOf(p.store) {
		_, err := p.store.KeepAlive(ctx, p.lease)
		var expired *kv.LeaseExpiredError
		if !errors.As(err, &expired) && (err != nil || p.era == kv.EraOf(p.store)) {
			if err == nil && !maps.Equal(p.published, p.currentDemand()) {
				return p.updateEntry(ctx)
			}
			return err
		}
	}
	p.lease = 0
	era := kv.EraOf(p.store)
	lease, err := p.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if err := p.writeEntry(ctx, lease); err != nil {
		return err
	}
	latest := kv.EraOf(p.store)
	if latest != era && era != 0 { // The era is 0 before the first response.
		return merry.Wrap(&kv.EraError{Era: era, Latest: latest})
	}
	p.lease, p.era = lease, latest
	return nil
}

// writeEntry writes the key of this process under a lease. It overwrites the key of an earlier process of the same
// name.
func (p *Presence) writeEntry(ctx context.Context, lease kv.LeaseID) error {
	err := p.putEntry(ctx, kv.Absent, lease)
	var conflict *kv.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	old, err := p.store.Get(ctx, p.key())
	if err != nil {
		return err
	}
	return p.putEntry(ctx, old.ModRevision, lease)
}

// updateEntry writes the key of this process with the current demand.
func (p *Presence) updateEntry(ctx context.Context) error {
	err := p.putEntry(ctx, p.revision, p.lease)
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) { // The response to an earlier write was lost.
		return p.writeEntry(ctx, p.lease)
	}
	return err
}

// putEntry writes the key of this process if it has the expected revision.
func (p *Presence) putEntry(ctx context.Context, expected int64, lease kv.LeaseID) error {
	self := p.self
	self.Demand = p.currentDemand()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	revision, err := p.store.Put(ctx, p.key(), value, expected, lease)
	if err != nil {
		return err
	}
	p.revision, p.published = revision, self.Demand
	return nil
}

func (p *Presence) key() string { return p.prefix + p.self.Name }

// readMembers reads the keys of all processes and replaces the list of members. It returns false after an error.
func (p *Presence) readMembers(ctx context.Context) bool {
	entries, err := p.store.List(ctx, p.prefix, p.prefix, maxMembers)
	if err != nil {
		p.log.Info("list of processes could not be read; keeping the last one", zap.Error(err))
		return false
	}
	era := kv.EraOf(p.store)
	members := make([]Member, 0, len(entries))
	for _, e := range entries {
		m, err := decodeMember(e, p.prefix)
		if err != nil && e.Key == p.key() { // This process is there, whatever its entry says.
			m, err = p.self, nil
			m.Demand = p.published
		}
		if err != nil {
			p.log.Info("ignoring the invalid entry of a process", zap.String("key", e.Key), zap.Error(err))
			continue
		}
		members = append(members, m)
	}
	if era != p.readEra {
		members = union(members, p.Members()) // Members that the backup lacks write their keys again.
	}
	p.readEra = era
	if before := p.Members(); len(before) != len(members) {
		p.log.Info("number of processes changed", zap.Int("before", len(before)), zap.Int("now", len(members)))
	}
	if builds := buildSummary(members); builds != p.builds {
		p.log.Info("builds of the processes", zap.String("processes", builds))
		p.builds = builds
	}
	p.members.Store(&members)
	return true
}

// union returns the listed members and the earlier ones that are no longer listed.
func union(listed, before []Member) []Member {
	for _, m := range before {
		isListed := slices.ContainsFunc(listed, func(other Member) bool { return other.Name == m.Name })
		if !isListed {
			listed = append(listed, m)
		}
	}
	return listed
}

// deregister revokes the lease, so that the key does not remain until the lease expires.
func (p *Presence) deregister(ctx context.Context) {
	if p.lease == 0 || p.era != kv.EraOf(p.store) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, retryDelay)
	defer cancel()
	if err := p.store.Revoke(ctx, p.lease); err != nil {
		p.log.Info("lease of this process could not be revoked; it will expire", zap.Error(err))
	}
}
