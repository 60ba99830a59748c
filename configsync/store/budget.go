package store

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/time/rate"

	"lavendermoor.example/platform/kv"
)

// BudgetError says that a call was not made because the process has used up its call budget.
type BudgetError struct{ Call string }

func (e *BudgetError) Error() string {
	return "call budget of the key-value service is used up: " + e.Call
}

// Limited returns the same store under a call budget. Calls beyond it fail with a *BudgetError.
func (s *Store) Limited(budget *rate.Limiter) *Store {
	return &Store{kv: &limited{Store: s.kv, budget: budget}, index: s.index}
}

// limited is the read part of a key-value service under a call budget.
type limited struct {
	kv.Store
	budget *rate.Limiter
}

func (l *limited) spend(call string) error {
	if l.budget.Allow() {
		return nil
	}
	return &BudgetError{Call: call}
}

// Get implements kv.Store.
func (l *limited) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := l.spend("get"); err != nil {
		return kv.Entry{}, err
	}
	return l.Store.Get(ctx, key)
}

// List implements kv.Store.
func (l *limited) List(ctx context.Context, prefix, from string, limit int) ([]kv.Entry, error) {
	if err := l.spend("list"); err != nil {
		return nil, err
	}
	return l.Store.List(ctx, prefix, from, limit)
}

// Watch implements kv.Store.
func (l *limited) Watch(ctx context.Context, prefix string, after int64, fn func(kv.Event)) error {
	if err := l.spend("watch"); err != nil {
		return err
	}
	return l.Store.Watch(ctx, prefix, after, fn)
}

// Counted returns a key-value service whose calls are counted by the metric lavendermoor_kv_calls, with the name
// of the call and whether it failed.
func Counted(service kv.Store, meter metric.Meter) (kv.Store, error) {
	calls, err := meter.Int64Counter("lavendermoor_kv_calls",
		metric.WithDescription("Calls of this process to the key-value service."))
	if err != nil {
		return nil, err
	}
	return &counted{Store: service, calls: calls}, nil
}

type counted struct {
	kv.Store
	calls metric.Int64Counter
}

func (c *counted) count(ctx context.Context, call string, err error) {
	c.calls.Add(ctx, 1, metric.WithAttributes(attribute.String("call", call), attribute.Bool("failed", err != nil)))
}

// Get implements kv.Store.
func (c *counted) Get(ctx context.Context, key string) (kv.Entry, error) {
	e, err := c.Store.Get(ctx, key)
	c.count(ctx, "get", err)
	return e, err
}

// List implements kv.Store.
func (c *counted) List(ctx context.Context, prefix, from string, limit int) ([]kv.Entry, error) {
	e, err := c.Store.List(ctx, prefix, from, limit)
	c.count(ctx, "list", err)
	return e, err
}

// Put implements kv.Store.
func (c *counted) Put(ctx context.Context, key string, value []byte, expected int64, lease kv.LeaseID) (int64, error) {
	mod, err := c.Store.Put(ctx, key, value, expected, lease)
	c.count(ctx, "put", err)
	return mod, err
}

// Delete implements kv.Store.
func (c *counted) Delete(ctx context.Context, key string, expected int64) error {
	err := c.Store.Delete(ctx, key, expected)
	c.count(ctx, "delete", err)
	return err
}

// Watch implements kv.Store. It is counted when it starts, because it may last for days.
func (c *counted) Watch(ctx context.Context, prefix string, after int64, fn func(kv.Event)) error {
	c.count(ctx, "watch", nil)
	return c.Store.Watch(ctx, prefix, after, fn)
}

// Grant implements kv.Store.
func (c *counted) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	id, err := c.Store.Grant(ctx, ttl)
	c.count(ctx, "grant", err)
	return id, err
}

// KeepAlive implements kv.Store.
func (c *counted) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	ttl, err := c.Store.KeepAlive(ctx, id)
	c.count(ctx, "keepalive", err)
	return ttl, err
}

// Revoke implements kv.Store.
func (c *counted) Revoke(ctx context.Context, id kv.LeaseID) error {
	err := c.Store.Revoke(ctx, id)
	c.count(ctx, "revoke", err)
	return err
}
