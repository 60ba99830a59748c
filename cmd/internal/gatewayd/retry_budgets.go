package gatewayd

import (
	"context"
	"math"
	"sync"
	"time"

	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/configsync/presence"
	"lavendermoor.example/routing"
)

// presencePrefix is the key prefix under which gateways register themselves.
const presencePrefix = "gateways/"

const (
	// usedBudgetFraction is the fraction of the shared retry budget that all gateways together use. A restart loses the
	// count of retries, so that all gateways may use their shares twice in one window.
	usedBudgetFraction = 0.45
	// assumedGateways is the number of gateways assumed while the actual number is unknown.
	assumedGateways = 16
	// presencePollInterval is the interval between checks for a changed number of gateways.
	presencePollInterval = 100 * time.Millisecond
)

// retryBudgets holds the retry budgets of all services and their common configuration. It is safe for concurrent use.
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

// retryBudgetConfig returns the configuration of one gateway's retry budgets. The number of gateways is 0 if unknown. The
// window is rounded up to whole seconds: a shorter one allows MinRetries twice in an interval of the settings' length.
func (g *gateway) retryBudgetConfig(gateways int) routing.RetryBudgetConfig {
	if gateways == 0 {
		gateways = assumedGateways
	}
	s := g.settings.Load()
	return routing.RetryBudgetConfig{
		Ratio: usedBudgetFraction * s.RetryRatio, MinRetries: usedBudgetFraction * s.RetrySlack / float64(gateways),
		WindowSeconds: int(math.Ceil(s.RetryWindowSeconds)),
	}
}

func memberNames(members []presence.Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	return names
}

// demandByService returns the demand that the members have published, by service and name.
func demandByService(members []presence.Member) map[string]map[string]float64 {
	out := map[string]map[string]float64{}
	for _, m := range members {
		for service, rate := range m.Demand {
			if out[service] == nil {
				out[service] = map[string]float64{}
			}
			out[service][m.Name] = rate
		}
	}
	return out
}

// followPresence applies changes of the gateways that are listed until the context ends.
func (g *gateway) followPresence(ctx context.Context) {
	for last := 0; ctx.Err() == nil; {
		members := g.presence.Members()
		g.peers.SetAddresses(g.peerAddresses())
		self, n := g.settings.Load().Name, len(members)
		g.fleet.SetDemand(demandByService(members))
		g.fleet.SetGateways(self, memberNames(members), time.Now())
		g.presence.SetDemand(g.fleet.LimitedDemand(time.Now()))
		if start, known := orderStart(members, self); known {
			g.fleet.SetOrderStart(start)
		}
		g.retryBudgets.setConfig(g.retryBudgetConfig(n))
		if n > 0 && n != last {
			g.srv.SetCapacityShare(1 / float64(n))
			g.srv.RefreshGroups()
			last = n
		}
		process.Sleep(ctx, presencePollInterval)
	}
}
