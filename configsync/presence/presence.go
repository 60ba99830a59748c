// Package presence lets the processes of one kind know each other: each keeps a key under a lease in the key-value service and
// reads those of the others now and then.
package presence

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/clients/kv"
)

const (
	// leaseTime is how long a process that has gone is still counted.
	leaseTime  = 15 * time.Second
	renewEvery = 5 * time.Second
	// settleTime is when the others are read for the second time, so that those which started together are all listed;
	// readEvery is how often they are read then.
	settleTime = 2 * time.Second
	readEvery  = 20 * time.Second
	retryPause = time.Second
	// maxMembers bounds the processes read.
	maxMembers = 5000
)

// Member is what a process says of itself.
type Member struct {
	// Name identifies the process; an instance keeps it over restarts.
	Name string `json:"name"`
	// Address is the process's address for others, IP and port.
	Address string `json:"address"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
}

// Presence is the presence of one process. Its methods may be called from any goroutine.
type Presence struct {
	store  kv.Store
	prefix string
	self   Member
	log    *zap.Logger

	members atomic.Pointer[[]Member]
	lease   kv.LeaseID
}

// New returns the presence of a process below a prefix that ends with a slash. It is not listed before Run.
func New(store kv.Store, prefix string, self Member, log *zap.Logger) *Presence {
	return &Presence{store: store, prefix: prefix, self: self, log: log}
}

// Members returns the processes that were listed at the last read, this one included, and nil before the first read. The caller
// must not change the slice.
func (p *Presence) Members() []Member {
	if m := p.members.Load(); m != nil {
		return *m
	}
	return nil
}

// Run keeps the process listed until the context ends, and then takes it off the list.
func (p *Presence) Run(ctx context.Context) {
	reads, next := 0, time.Time{}
	for ctx.Err() == nil {
		pause := renewEvery
		if err := p.keep(ctx); err != nil {
			p.log.Info("presence not renewed", zap.Error(err))
			pause = retryPause
		} else if now := time.Now(); !now.Before(next) && p.read(ctx) {
			reads++
			next = now.Add(readEvery)
			if reads == 1 {
				pause, next = settleTime, now.Add(settleTime)
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	p.leave(context.WithoutCancel(ctx))
}

// keep renews the lease, or takes a new one and writes the key under it.
func (p *Presence) keep(ctx context.Context) error {
	if p.lease != 0 {
		_, err := p.store.KeepAlive(ctx, p.lease)
		var expired *kv.LeaseExpiredError
		if !errors.As(err, &expired) {
			return err
		}
		p.lease = 0
	}
	lease, err := p.store.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	if err := p.write(ctx, lease); err != nil {
		return err
	}
	p.lease = lease
	return nil
}

// write writes the key, over that of an earlier process of the same name.
func (p *Presence) write(ctx context.Context, lease kv.LeaseID) error {
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

func (p *Presence) read(ctx context.Context) bool {
	entries, err := p.store.List(ctx, p.prefix, p.prefix, maxMembers)
	if err != nil {
		p.log.Info("other processes not read", zap.Error(err))
		return false
	}
	members := make([]Member, 0, len(entries))
	for _, e := range entries {
		var m Member
		if err := json.Unmarshal(e.Value, &m); err != nil || !strings.HasSuffix(e.Key, "/"+m.Name) {
			p.log.Info("entry of a process left out", zap.String("key", e.Key), zap.Error(err))
			continue
		}
		members = append(members, m)
	}
	if before := p.Members(); len(before) != len(members) {
		p.log.Info("number of processes changed", zap.Int("before", len(before)), zap.Int("now", len(members)))
	}
	p.members.Store(&members)
	return true
}

// leave takes the process off the list, so that the others need not wait for the end of its lease.
func (p *Presence) leave(ctx context.Context) {
	if p.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, retryPause)
	defer cancel()
	if err := p.store.Revoke(ctx, p.lease); err != nil {
		p.log.Info("presence not ended; its lease runs out", zap.Error(err))
	}
}
