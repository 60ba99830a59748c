package feed

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// Register adds the metrics lavendermoor.config.revision, .refused, .age and .over_budget of the process to a meter.
func (n *Node) Register(meter metric.Meter) error {
	_, err := meter.Int64ObservableGauge("lavendermoor.config.revision",
		metric.WithDescription("Configuration revision in force, 0 for none."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(n.revision())
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Int64ObservableGauge("lavendermoor.config.refused",
		metric.WithDescription("1 while the newest known revision is refused because it does not validate."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			if n.Refused() != "" {
				o.Observe(1)
			} else {
				o.Observe(0)
			}
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Int64ObservableCounter("lavendermoor.config.over_budget",
		metric.WithDescription("Times at which the call budget stopped this process from asking the key-value service."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(n.overBudget.Load())
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableGauge("lavendermoor.config.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the revision in force was known to be the latest."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(n.Age().Seconds())
			return nil
		}))
	return err
}
