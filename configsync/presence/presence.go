// Package presence tracks the membership of processes of one kind. Each process keeps a key under a lease in the
// key-value service and reads the keys of the others at intervals.
package presence

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
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
}

// New returns the Presence of a process that is to be registered under a prefix, which ends with a slash. Run registers
// the process.
func New(store kv.Store, prefix string, self Member, log *zap.Logger) *Presence {
	return &Presence{store: store, prefix: prefix, self: self, log: log}
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
	reads, nextRead := 0, time.Time{}
	for ctx.Err() == nil {
		delay := renewInterval
		if err := p.renew(ctx); err != nil {
			p.log.Info("registration of this process could not be renewed; retrying", zap.Error(err))
			delay = retryDelay
		} else if now := time.Now(); (!now.Before(nextRead) || p.serviceRestored()) && p.readMembers(ctx) {
			reads++
			nextRead = now.Add(readInterval)
			if reads == 1 {
				delay, nextRead = secondReadDelay, now.Add(secondReadDelay)
			}
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	p.deregister(context.WithoutCancel(ctx))
}

// serviceRestored reports whether the service was restored from a backup after the last read.
func (p *Presence) serviceRestored() bool { return kv.EraOf(p.store) != p.readEra }

// renew renews the lease, or obtains a new one and writes the key under it. It does not renew a lease of an earlier
// era. That lease may belong to another process by now, because a restored service reuses the lease IDs that were
// granted after its backup.
func (p *Presence) renew(ctx context.Context) error {
	if p.lease != 0 && p.era == kv.EraOf(p.store) {
		_, err := p.store.KeepAlive(ctx, p.lease)
		var expired *kv.LeaseExpiredError
		if !errors.As(err, &expired) && (err != nil || p.era == kv.EraOf(p.store)) {
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
	value, err := json.Marshal(p.self)
	if err != nil {
		return err
	}
	key := p.prefix + p.self.Name
	_, err = p.store.Put(ctx, key, value, 0, lease)
	var conflict *kv.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	old, err := p.store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = p.store.Put(ctx, key, value, old.ModRevision, lease)
	return err
}

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
		var m Member
		if err := json.Unmarshal(e.Value, &m); err != nil || !strings.HasSuffix(e.Key, "/"+m.Name) {
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
