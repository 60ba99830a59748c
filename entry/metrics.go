package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"lavendermoor.example/api/callerapi"
)

// Metrics holds the instruments for an entry's requests. A nil *Metrics records nothing.
type Metrics struct {
	requests   metric.Int64Counter
	duration   metric.Float64Histogram
	firstToken metric.Float64Histogram
}

// NewMetrics creates the instruments on a meter.
func NewMetrics(m metric.Meter) (*Metrics, error) {
	var out Metrics
	var err error
	out.requests, err = m.Int64Counter("lavendermoor.entry.requests", metric.WithUnit("{request}"),
		metric.WithDescription("Requests by kind and result: ok or the error type."))
	if err != nil {
		return nil, err
	}
	out.duration, err = m.Float64Histogram("lavendermoor.entry.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to the end of its answer, by kind."))
	if err != nil {
		return nil, err
	}
	out.firstToken, err = m.Float64Histogram("lavendermoor.entry.first_token", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to the first event of its stream."))
	if err != nil {
		return nil, err
	}
	return &out, nil
}

// resultOK is the result label of a successful request.
const resultOK = "ok"

func (m *Metrics) recordRequest(kind string, e *callerapi.Error, took time.Duration) {
	if m == nil {
		return
	}
	result := resultOK
	if e != nil {
		result = string(e.Type)
	}
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("result", result)))
	m.duration.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

func (m *Metrics) recordFirstToken(took time.Duration) {
	if m != nil {
		m.firstToken.Record(context.Background(), took.Seconds())
	}
}
