package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/metric"

	"lavendermoor.example/telemetry/invariant"
)

// Instrument is a metric whose value is read when metrics are collected.
type Instrument struct {
	Name, Unit, Description string
	// Counter means that the value never decreases; otherwise it is a gauge.
	Counter bool
	// Value must be safe for concurrent use.
	Value func() int64
}

// RegisterInstruments adds instruments to a meter.
func RegisterInstruments(m metric.Meter, list []Instrument) error {
	for _, i := range list {
		callback := metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(i.Value())
			return nil
		})
		var err error
		if i.Counter {
			_, err = m.Int64ObservableCounter(i.Name, metric.WithUnit(i.Unit), metric.WithDescription(i.Description), callback)
		} else {
			_, err = m.Int64ObservableGauge(i.Name, metric.WithUnit(i.Unit), metric.WithDescription(i.Description), callback)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// NewCallCounter adds a counter of calls by name and result, and returns the function that counts a call.
func NewCallCounter(m metric.Meter, name, description string) (func(call string, err error), error) {
	counter, err := m.Int64Counter(name, metric.WithUnit("{call}"), metric.WithDescription(description))
	if err != nil {
		return nil, err
	}
	return func(call string, err error) {
		counter.Add(context.Background(), 1, metric.WithAttributes(CallAttributes(call, err)...))
	}, nil
}

// InvariantViolations returns the instrument that counts invariant violations.
func InvariantViolations() Instrument {
	return Instrument{
		Name: "lavendermoor.invariant.violations", Unit: "{violation}", Counter: true, Value: invariant.Count,
		Description: "Violations of the properties that must always hold; must stay at 0.",
	}
}
