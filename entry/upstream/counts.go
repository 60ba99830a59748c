package upstream

import "sync/atomic"

// counters are the live counters of a Client.
type counters struct {
	crossed, late, gaps, silent, broken      atomic.Int64
	retried, resumed, continued, hedged      atomic.Int64
	budgetSpent, staleConnections, abandoned atomic.Int64
}

// Counts is a snapshot of the counters of a Client.
type Counts struct {
	// Crossed counts frames that carry the ID of another request. Late counts frames with a sequence number that has
	// already been received. Both are discarded.
	Crossed int64 `json:"crossed"`
	Late    int64 `json:"late"`
	// Gaps counts streams with missing frames. Silent counts exchanges whose connection received no byte for
	// SilenceTimeout (1 s by default). Broken counts other exchanges that ended early.
	Gaps   int64 `json:"gaps"`
	Silent int64 `json:"silent"`
	Broken int64 `json:"broken"`
	// Retried counts requests that were sent again. Resumed counts streams resumed at the same sidecar. Continued counts
	// streams continued at another replica. Hedged counts calls that were sent a second time while the first was
	// running.
	Retried   int64 `json:"retried"`
	Resumed   int64 `json:"resumed"`
	Continued int64 `json:"continued"`
	Hedged    int64 `json:"hedged"`
	// BudgetSpent counts retries and hedges denied by the retry budget.
	BudgetSpent int64 `json:"budget_spent"`
	// StaleConnections counts idle connections closed because another one to the same address was silent.
	StaleConnections int64 `json:"stale_connections"`
	// Abandoned counts requests whose caller disconnected or whose deadline passed.
	Abandoned int64 `json:"abandoned"`
}

func (c *counters) snapshot() Counts {
	return Counts{
		Crossed: c.crossed.Load(), Late: c.late.Load(), Gaps: c.gaps.Load(), Silent: c.silent.Load(),
		Broken: c.broken.Load(), Retried: c.retried.Load(), Resumed: c.resumed.Load(),
		Continued: c.continued.Load(), Hedged: c.hedged.Load(), BudgetSpent: c.budgetSpent.Load(),
		StaleConnections: c.staleConnections.Load(), Abandoned: c.abandoned.Load(),
	}
}
