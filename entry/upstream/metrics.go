package upstream

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Register adds the client's counters to a meter.
func (c *Client) Register(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("lavendermoor.upstream.events",
		metric.WithDescription("Faults seen and repeats made in exchanges with side processes, by event."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, e := range c.Counts().events() {
				o.Observe(e.count, metric.WithAttributes(attribute.String("event", e.name)))
			}
			return nil
		}))
	return err
}

type eventCount struct {
	name  string
	count int64
}

func (c Counts) events() []eventCount {
	return []eventCount{
		{"crossed", c.Crossed},
		{"late", c.Late},
		{"gap", c.Gaps},
		{"silent", c.Silent},
		{"broken", c.Broken},
		{"retried", c.Retried},
		{"resumed", c.Resumed},
		{"continued", c.Continued},
		{"hedged", c.Hedged},
		{"budget_spent", c.BudgetSpent},
		{"stale_connection", c.StaleConnections},
		{"abandoned", c.Abandoned},
	}
}
