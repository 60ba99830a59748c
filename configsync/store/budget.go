package store

import (
	"context"

	"golang.org/x/time/rate"

	"lavendermoor.example/clients/kv"
)

// BudgetError reports that a call was not made because the call budget of the process is exhausted.
type BudgetError struct{ Call string }

func (e *BudgetError) Error() string {
	return "call budget for the key-value service is exhausted; skipped call: " + e.Call
}

// WithBudget returns a Store for the same service with a call budget for reads. Calls beyond the budget fail with a
// *BudgetError. Both stores share the index of operations.
func (s *Store) WithBudget(budget *rate.Limiter) *Store {
	return &Store{kv: &budgetedStore{Store: s.kv, budget: budget}, index: s.index, limits: s.limits, sleep: s.sleep}
}

// budgetedStore applies a call budget to the reads of a key-value service.
type budgetedStore struct {
	kv.Store
	budget *rate.Limiter
}

func (b *budgetedStore) allow(call string) error {
	if b.budget.Allow() {
		return nil
	}
	return &BudgetError{Call: call}
}

// Get implements kv.Store.
func (b *budgetedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := b.allow("get"); err != nil {
		return kv.Entry{}, err
	}
	return b.Store.Get(ctx, key)
}

// List implements kv.Store.
func (b *budgetedStore) List(ctx context.Context, prefix, from string, limit int) ([]kv.Entry, error) {
	if err := b.allow("list"); err != nil {
		return nil, err
	}
	return b.Store.List(ctx, prefix, from, limit)
}

// Watch implements kv.Store.
func (b *budgetedStore) Watch(ctx context.Context, prefix string, after int64, fn func(kv.Event)) error {
	if err := b.allow("watch"); err != nil {
		return err
	}
	return b.Store.Watch(ctx, prefix, after, fn)
}
