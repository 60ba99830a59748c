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
	// usedBudgetFraction is the part of the shared retry bounds that all gateways together use. A gateway that starts again does not
	// know what it has used, so that all of them may use their parts twice in one window.
	usedBudgetFraction = 0.45
	// assumedGateways is the number of gateways that one assumes which does not know the others.
	assumedGateways = 16
	// presencePollInterval is how often it is looked whether the number of gateways has changed.
	presencePollInterval = 100 * time.Millisecond
)

// retryBudgets are the bounds of the retry budgets of all services. Its methods may be called from any goroutine.
type retryBudgets struct {
	mu      sync.Mutex
	config  routing.RetryBudgetConfig
	budgets []*routing.RetryBudget
}

func (r *retryBudgets) newBudget() *routing.RetryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := routing.NewRetryBudget(r.config)
	r.budgets = append(r.budgets, b)
	return b
}

func (r *retryBudgets) setConfig(config routing.RetryBudgetConfig) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if config == r.config {
		return
	}
	r.config = config
	for _, b := range r.budgets {
		b.SetConfig(config)
	}
}

// retryBudgetConfig returns the bounds for repeated sends of one of some gateways, 0 if their number is not known.
func (g *gateway) retryBudgetConfig(gateways int) routing.RetryBudgetConfig {
	if gateways == 0 {
		gateways = assumedGateways
	}
	s := g.settings.Load()
	return routing.RetryBudgetConfig{
		Ratio: usedBudgetFraction * s.RetryRatio, MinRetries: usedBudgetFraction * s.RetrySlack / float64(gateways),
		WindowSeconds: s.RetryWindowSeconds,
	}
}

// followPresence takes up changes of the number of gateways until the context ends.
func (g *gateway) followPresence(ctx context.Context) {
	for last := 0; ctx.Err() == nil; {
		n := len(g.presence.Members())
		g.retryBudgets.setConfig(g.retryBudgetConfig(n))
		if n > 0 && n != last {
			g.srv.SetCapacityShare(1 / float64(n))
			g.srv.RefreshGroups()
			last = n
		}
		process.Sleep(ctx, presencePollInterval)
	}
}
