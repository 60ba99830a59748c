package store

import (
	"context"

	"golang.org/x/time/rate"

	"lavendermoor.example/clients/kv"
)

// BudgetError says that a call was not made because the process has used up its call budget.
type BudgetError struct{ Call string }

func (e *BudgetError) Error() string {
	return "call budget of the key-value service is used up: " + e.Call
}

// Limited returns the same store under a call budget. Calls beyond it fail with a *BudgetError.
func (s *Store) Limited(budget *rate.Limiter) *Store {
	return &Store{kv: &limited{Store: s.kv, budget: budget}, index: s.index, bounds: s.bounds, sleep: s.sleep}
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
