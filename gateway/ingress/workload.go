package ingress

import (
	"context"
	"math"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/workload"
)

// serviceWork holds what is known of the work of a service's requests.
type serviceWork struct {
	engine    *catalog.Engine
	model     workload.Model
	estimator *workload.Estimator
}

// workOf returns what is known of the work of a service's requests. engine is that of the service.
func (s *Server) workOf(service string, engine *catalog.Engine) serviceWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.work[service]
	if known && w.engine == engine {
		return w
	}
	w.engine, w.model = engine, workload.NewModel(engine)
	if known {
		w.estimator.SetModel(w.model)
	} else {
		w.estimator = workload.NewEstimator(w.model)
	}
	s.work[service] = w
	return w
}

// callWork is the expected work of a request to a service with engines.
type callWork struct {
	serviceWork
	request  workload.Request
	estimate workload.Estimate
}

// estimateWork returns the expected work of the request, nil if its service has no engines.
func (c *call) estimateWork() *callWork {
	service := c.catalog.Service(c.service)
	if service == nil || service.Engine == nil {
		return nil
	}
	w := &callWork{serviceWork: c.server.workOf(c.service, service.Engine)}
	w.request = workload.Request{
		Route: c.route.Name, PromptTokens: c.meta.PromptTokens, MaxTokens: c.meta.MaxTokens, Hint: c.meta.LengthHint,
	}
	if c.customer != nil {
		w.request.Customer = c.customer.Name
	}
	w.estimate = w.estimator.Estimate(w.request)
	return w
}

// pickWork returns the work by which a server is chosen, nil if the request has no estimate.
func (w *callWork) pickWork() *balance.PickWork {
	if w == nil {
		return nil
	}
	return &balance.PickWork{Amount: w.estimate.Amount, Usual: w.model.Usual()}
}

// beginWork adds the work of the request to the server of an attempt. end subtracts what is left of it then.
func (a *attempt) beginWork(w *callWork, eventsBefore int) (end func()) {
	if w == nil {
		return func() {}
	}
	p := workload.NewProgress(w.model, w.request, w.estimate, eventsBefore)
	a.progress = &p
	a.backend.AddWork(p.Remaining())
	return func() { a.backend.FinishWork(p.Remaining()) }
}

// observeActivity records an event of the server with the work that it shows to be done.
func (a *attempt) observeActivity(now time.Time) {
	if a.progress == nil {
		a.backend.ObserveActivity(now)
		return
	}
	a.backend.ObserveEvent(a.progress.Event(), now)
}

// observeLength records the length of a complete stream. That of a stream which its caller resumed is unknown.
func (c *call) observeLength() {
	if c.work == nil || c.meta.LastEventID != "" || c.eventCount == 0 {
		return
	}
	c.work.estimator.Observe(c.work.request, c.work.output(c.eventCount))
}

func (w *callWork) output(events int) float64 { return float64(events) * w.model.TokensPerEvent() }

// logFields returns the log fields with the estimate, and with the actual length if the stream is complete.
func (w *callWork) logFields(events int, complete bool) []zap.Field {
	if w == nil {
		return nil
	}
	fields := []zap.Field{
		zap.Int("prompt_tokens", w.request.PromptTokens), zap.Int("length_hint", w.request.Hint),
		zap.Int("expected_tokens", int(math.Round(w.estimate.Output))), zap.Duration("expected_work", w.estimate.Total()),
	}
	if complete {
		fields = append(fields, zap.Int("tokens", int(w.output(events))))
	}
	return fields
}

// recordEstimate records the error of the estimate of a complete stream.
func (m *Metrics) recordEstimate(ctx context.Context, c *call) {
	if c.work == nil || !c.completed || c.meta.LastEventID != "" || c.eventCount == 0 {
		return
	}
	hinted := "no"
	if c.work.estimate.Hinted {
		hinted = "yes"
	}
	actual := c.work.output(c.eventCount)
	m.estimateError.Record(ctx, math.Abs(c.work.estimate.Output-actual)/actual,
		metric.WithAttributes(attribute.String("hint", hinted)))
}

// estimateErrorBounds are the bounds of the histogram of errors.
var estimateErrorBounds = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 3, 5, 10}
