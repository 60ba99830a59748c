package ingress

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/gateway/limit"
)

// Guards against callers that return so early that their retry counts as a first attempt, which may be refused again,
// and against callers that return too late for a whole stream.
func TestRetryAfterOfCompetingStreams(t *testing.T) {
	g := newGateway(t)
	refusal := &limit.RefusedError{ByPriority: true, EstimatedWait: 10 * time.Millisecond}
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(time.Now())
		for _, timeout := range []time.Duration{8 * time.Second, 7 * time.Second, 3 * time.Second} {
			c := &call{server: g.Server, route: &catalog.Route{Name: "r"}, deadline: time.Now().Add(timeout)}
			c.meta.HasTimeout, c.meta.Timeout = true, timeout
			for _, random := range []float64{0, 0.5, 0.999} {
				g.opts.Random = func() float64 { return random }
				after := c.admissionFailure(q, refusal).RetryAfter
				require.LessOrEqual(t, after, timeout/3, "callers do not wait longer")
				left := timeout - after
				require.GreaterOrEqual(t, left, time.Duration(durationMargin*float64(q.StreamDuration())))
				retry := &call{server: g.Server, route: c.route}
				retry.meta.HasTimeout, retry.meta.Timeout = true, left
				require.Positive(t, retry.elapsedBefore())
			}
		}
	})
}

// countingMeter counts what is added to its counters, by name and attributes.
type countingMeter struct {
	noop.Meter

	mu     sync.Mutex
	counts map[string]map[attribute.Set]int64
}

type countingCounter struct {
	noop.Int64Counter

	meter *countingMeter
	name  string
}

func (m *countingMeter) Int64Counter(name string, _ ...metric.Int64CounterOption) (metric.Int64Counter, error) {
	m.counts[name] = map[attribute.Set]int64{}
	return &countingCounter{meter: m, name: name}, nil
}

func (c *countingCounter) Add(_ context.Context, n int64, opts ...metric.AddOption) {
	c.meter.mu.Lock()
	defer c.meter.mu.Unlock()
	c.meter.counts[c.name][metric.NewAddConfig(opts).Attributes()] += n
}

func (m *countingMeter) count(name string, priority int) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[name][attribute.NewSet(attribute.Int("priority", priority))]
}

// Guards against metrics that count a request under the priority of its route although its customer has another one,
// and against streams that are counted as admitted when they were refused.
func TestAdmissionIsCountedByPriority(t *testing.T) {
	meter := &countingMeter{counts: map[string]map[attribute.Set]int64{}}
	metrics, err := NewMetrics(meter)
	require.NoError(t, err)
	a := newTestBackend(t, "a", respond(eventStream(1, 3)+lastChunk))
	g := newGateway(t, a)
	g.opts.Metrics = metrics
	urgent := 0
	g.doc.Routes[2].Priority = 3
	g.doc.Customers = []catalog.Customer{{Name: "urgent", Priority: &urgent}}
	g.doc.Keys = map[catalog.KeyHash]int{catalog.HashKey("u"): 0}
	g.setGroups(map[*testBackend]string{a: "g"})
	for range 2 {
		resp, _, err := g.get(t, "/stream/x", "T-Key", "u")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	_, _, err = g.get(t, "/stream/x")
	require.NoError(t, err)
	g.queue("s").SetGroups([]limit.GroupState{{Name: "g", NotServing: true}})
	resp, _, err := g.get(t, "/stream/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	_, _, err = g.get(t, "/once/x")
	require.NoError(t, err)
	// A request is counted after its response.
	require.Eventually(t, func() bool { return g.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 2, meter.count("lavendermoor.gateway.admitted", 0))
	require.EqualValues(t, 1, meter.count("lavendermoor.gateway.admitted", 3))
	require.EqualValues(t, 1, meter.count("lavendermoor.gateway.refused", 3))
	require.Zero(t, meter.count("lavendermoor.gateway.refused", 0))
}
