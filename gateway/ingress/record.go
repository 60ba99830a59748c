package ingress

import (
	"context"
	"fmt"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"lavendermoor.example/gateway/catalog"
)

// Metrics holds the metric instruments for requests.
type Metrics struct {
	requests   metric.Int64Counter
	attempts   metric.Int64Counter
	duration   metric.Float64Histogram
	firstEvent metric.Float64Histogram
	longestGap metric.Float64Histogram
	queueTime  metric.Float64Histogram
	// admitted and refused count streams by priority.
	admitted, refused metric.Int64Counter
	// estimateError is the error of the expected length of a stream relative to the actual one.
	estimateError metric.Float64Histogram
}

// NewMetrics creates the instruments on a meter.
func NewMetrics(m metric.Meter) (*Metrics, error) {
	var out Metrics
	var err error
	out.requests, err = m.Int64Counter("lavendermoor.gateway.requests", metric.WithUnit("{request}"),
		metric.WithDescription("Requests by kind and result: ok, server_error or the reason of the gateway's own answer."))
	if err != nil {
		return nil, err
	}
	out.attempts, err = m.Int64Counter("lavendermoor.gateway.sends", metric.WithUnit("{send}"),
		metric.WithDescription("Sends to backend servers by outcome."))
	if err != nil {
		return nil, err
	}
	out.admitted, err = m.Int64Counter("lavendermoor.gateway.admitted", metric.WithUnit("{stream}"),
		metric.WithDescription("Streams that got a place at a group, by priority."))
	if err != nil {
		return nil, err
	}
	out.refused, err = m.Int64Counter("lavendermoor.gateway.refused", metric.WithUnit("{stream}"),
		metric.WithDescription("Streams that were refused for lack of a place at a group, by priority."))
	if err != nil {
		return nil, err
	}
	for _, h := range []struct {
		instrument        *metric.Float64Histogram
		name, description string
	}{
		{&out.duration, "lavendermoor.gateway.duration", "Time from a request's arrival to the end of its answer, by kind."},
		{&out.firstEvent, "lavendermoor.gateway.first_event", "Time from a stream's arrival to its first event."},
		{&out.longestGap, "lavendermoor.gateway.longest_pause", "Longest pause between two events of a stream."},
		{&out.queueTime, "lavendermoor.gateway.queued", "Time that a stream waited for a place at its group."},
	} {
		*h.instrument, err = m.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.description))
		if err != nil {
			return nil, err
		}
	}
	out.estimateError, err = m.Float64Histogram("lavendermoor.gateway.estimate_error", metric.WithUnit("{ratio}"),
		metric.WithDescription("Error of the expected length of a complete stream relative to the actual one, by hint."),
		metric.WithExplicitBucketBoundaries(estimateErrorBounds...))
	return &out, err
}

// record updates the metrics for a request that has ended, and logs it.
func (s *Server) record(c *call) {
	elapsed := time.Since(c.arrived)
	kind, service := "none", ""
	if c.route != nil {
		kind, service = c.route.Kind.String(), c.service
	}
	s.opts.Metrics.record(c, kind, elapsed)
	fields := []zap.Field{
		zap.String("request", c.meta.ID), zap.String("kind", kind), zap.String("service", service),
		zap.Int("status", c.status), zap.String("result", c.result()), zap.Duration("took", elapsed),
		zap.Duration("deadline", c.meta.Timeout), zap.String("sends", c.describeAttempts()),
		zap.Int64("config_version", c.configVersion()), zap.Duration("config_age", s.opts.ConfigAge()),
		zap.String("content", c.contentID()),
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.Int("priority", c.priority()))
		if c.route.Kind == catalog.Stream {
			limit, inFlight, waiting := s.queue(c.service).Totals()
			fields = append(fields,
				zap.Duration("queued", c.queueTime), zap.Duration("first", c.firstEventLatency),
				zap.Duration("pause", c.longestGap),
				zap.Int("events", c.eventCount), zap.String("prompt", promptText(c.meta.SharedParts)),
				zap.String("group", c.group()), zap.Int("limit", limit),
				zap.Int("in_flight", inFlight), zap.Int("waiting", waiting))
			fields = append(fields, c.work.logFields(c.eventCount, c.completed)...)
		}
	}
	if d := s.drain.Load(); d != nil {
		fields = append(fields, zap.Duration("stopping_for", time.Since(d.begun)))
	}
	if c.failure != nil {
		fields = append(fields, zap.String("detail", c.failure.Detail),
			zap.Duration("retry_after", c.failure.RetryAfter))
	}
	s.opts.RequestLog.Info("request", fields...)
}

// group returns the name of the group for which the request has a permit, empty if it has none.
func (c *call) group() string {
	if c.permit == nil {
		return ""
	}
	return c.permit.Group()
}

func (c *call) configVersion() int64 {
	if c.catalog == nil {
		return 0
	}
	return c.catalog.Version
}

// result returns the result of the request for logs and metrics.
func (c *call) result() string {
	switch {
	case c.failure != nil:
		return c.failure.Reason
	case c.status >= 500:
		return "server_error"
	case !c.completed:
		return reasonDisconnected
	}
	return "ok"
}

// describeAttempts lists the attempts of the request with their servers and outcomes.
func (c *call) describeAttempts() string {
	var b strings.Builder
	for i, a := range c.attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(a.server + " " + a.outcome.String())
		if a.detail != "" {
			b.WriteString(" (" + a.detail + ")")
		}
	}
	return b.String()
}

func (m *Metrics) record(c *call, kind string, elapsed time.Duration) {
	if m == nil {
		return
	}
	ctx := context.Background()
	byKind := metric.WithAttributes(attribute.String("kind", kind))
	m.requests.Add(ctx, 1, byKind, metric.WithAttributes(attribute.String("result", c.result())))
	m.duration.Record(ctx, elapsed.Seconds(), byKind)
	for _, a := range c.attempts {
		m.attempts.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", a.outcome.String())))
	}
	if c.route == nil || c.route.Kind != catalog.Stream {
		return
	}
	byPriority := metric.WithAttributes(attribute.Int("priority", c.priority()))
	switch c.admission {
	case admitted:
		m.admitted.Add(ctx, 1, byPriority)
	case refused:
		m.refused.Add(ctx, 1, byPriority)
	}
	m.queueTime.Record(ctx, c.queueTime.Seconds())
	m.recordEstimate(ctx, c)
	if c.eventCount > 0 {
		m.firstEvent.Record(ctx, c.firstEventLatency.Seconds())
		m.longestGap.Record(ctx, c.longestGap.Seconds())
	}
}

// maxLoggedParts bounds the parts of a prompt in a log line, as the volume of the log is limited.
const maxLoggedParts = 128

// promptText returns the IDs of the parts of a prompt for a log line. It ends with the number of those that are left out.
func promptText(parts []string) string {
	text := strings.Join(parts[:min(len(parts), maxLoggedParts)], ",")
	if more := len(parts) - maxLoggedParts; more > 0 {
		text += fmt.Sprintf(",and %d more", more)
	}
	return text
}
