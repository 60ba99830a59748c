package gatewayd

import (
	"context"
	"sync"
	"time"

	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/routing"
)

// presencePrefix is where gateways list themselves.
const presencePrefix = "gateways/"

const (
	// budgetPart is the part of the shared retry bounds that all gateways together use. A gateway that starts again does not
	// know what it has used, so that all of them may use their parts twice in one window.
	budgetPart = 0.45
	// unknownGateways is the number of gateways that one assumes which does not know the others.
	unknownGateways = 16
	// presenceTick is how often it is looked whether the number of gateways has changed.
	presenceTick = 100 * time.Millisecond
)

// sharedBounds are the bounds of the retry budgets of all services. Its methods may be called from any goroutine.
type sharedBounds struct {
	mu      sync.Mutex
	bounds  routing.RetryBudgetConfig
	budgets []*routing.RetryBudget
}

func (s *sharedBounds) newBudget() *routing.RetryBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := routing.NewRetryBudget(s.bounds)
	s.budgets = append(s.budgets, b)
	return b
}

func (s *sharedBounds) set(bounds routing.RetryBudgetConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bounds == s.bounds {
		return
	}
	s.bounds = bounds
	for _, b := range s.budgets {
		b.SetConfig(bounds)
	}
}

// retryBounds returns the bounds for repeated sends of one of some gateways, 0 if their number is not known.
func (g *gateway) retryBounds(gateways int) routing.RetryBudgetConfig {
	if gateways == 0 {
		gateways = unknownGateways
	}
	s := g.set.Load()
	return routing.RetryBudgetConfig{
		Ratio: budgetPart * s.RetryRatio, MinRetries: budgetPart * s.RetrySlack / float64(gateways),
		WindowSeconds: s.RetryWindowSeconds,
	}
}

// followPresence takes up changes of the number of gateways until the context ends.
func (g *gateway) followPresence(ctx context.Context) {
	for before := 0; ctx.Err() == nil; {
		n := len(g.present.Members())
		g.shared.set(g.retryBounds(n))
		if n > 0 && n != before {
			g.srv.SetCapacityShare(1 / float64(n))
			g.srv.RefreshGroups()
			before = n
		}
		process.Pause(ctx, presenceTick)
	}
}
