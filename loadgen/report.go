package loadgen

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range, in nanoseconds, and precision of the histograms.
const (
	minRecordedNanos  = int64(time.Microsecond)
	maxRecordedNanos  = int64(10 * time.Minute)
	significantDigits = 3
)

// Quantiles are the quantiles of a histogram in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(v int64) float64 { return float64(v) / float64(time.Millisecond) }
	return Quantiles{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// Row summarizes one class in one phase.
type Row struct {
	Phase string `json:"phase"`
	Class string `json:"class"`
	Sent  int    `json:"sent"`
	// InTime counts complete and correct responses within the deadline, Late those after it.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Wrong counts complete responses with unexpected content.
	Wrong int `json:"wrong"`
	// Errors counts failed requests by Result.Error.
	Errors map[string]int `json:"errors,omitempty"`
	// RefusalsWithoutRetryAfter counts refusals without a Retry-After header.
	RefusalsWithoutRetryAfter int `json:"refusals_without_retry_after"`
	// Total covers complete responses. Refusal covers refusals, that is, errors of requests that were not executed.
	Total      Quantiles `json:"total"`
	FirstToken Quantiles `json:"first_token"`
	Gap        Quantiles `json:"gap"`
	Refusal    Quantiles `json:"refusal"`
	// Offered is the value of all requests, Goodput that of the requests in time.
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`
}

type rowBuilder struct {
	row                         Row
	total, first, gaps, refusal *hdrhistogram.Histogram
}

func newRowBuilder(phase, class string) *rowBuilder {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minRecordedNanos, maxRecordedNanos, significantDigits)
	}
	return &rowBuilder{
		row:   Row{Phase: phase, Class: class, Errors: map[string]int{}},
		total: newHistogram(), first: newHistogram(), gaps: newHistogram(), refusal: newHistogram(),
	}
}

func (b *rowBuilder) add(r *Result) {
	b.row.Sent++
	b.row.Offered += r.Arrival.Class.Value
	switch {
	case r.InTime():
		b.row.InTime++
		b.row.Goodput += r.Arrival.Class.Value
	case r.Wrong:
		b.row.Wrong++
	case r.Complete:
		b.row.Late++
	default:
		b.row.Errors[r.Error]++
	}
	if r.Complete {
		record(b.total, r.Total)
	}
	if r.FirstToken > 0 {
		record(b.first, r.FirstToken)
	}
	for _, g := range r.Gaps {
		record(b.gaps, g)
	}
	if r.Executed == "no" {
		record(b.refusal, r.Total)
		if !r.RetryAfter {
			b.row.RefusalsWithoutRetryAfter++
		}
	}
}

// record adds a duration to a histogram, clamped to its range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), minRecordedNanos), maxRecordedNanos)) // The value is within the range.
}

func (b *rowBuilder) build() Row {
	b.row.Total, b.row.FirstToken = quantiles(b.total), quantiles(b.first)
	b.row.Gap, b.row.Refusal = quantiles(b.gaps), quantiles(b.refusal)
	return b.row
}

// Report is the result of a run.
type Report struct {
	Mix  string `json:"mix"`
	Seed uint64 `json:"seed"`
	Rows []Row  `json:"rows"`
	// Seconds is indexed by the second of the scheduled arrival.
	Seconds []Second `json:"seconds"`
}

// Second holds the value of the requests that arrive in one second, and their goodput.
type Second struct {
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`
}

// NewReport summarizes the results of a run.
func NewReport(m *Mix, seed uint64, results []*Result) *Report {
	rows := map[[2]string]*rowBuilder{}
	rep := &Report{Mix: m.Name, Seed: seed}
	for _, r := range results {
		if r == nil {
			continue
		}
		key := [2]string{r.Arrival.Phase, r.Arrival.Class.Name}
		if rows[key] == nil {
			rows[key] = newRowBuilder(key[0], key[1])
		}
		rows[key].add(r)
		rep.addSecond(r)
	}
	for _, b := range rows {
		rep.Rows = append(rep.Rows, b.build())
	}
	order := phaseOrder(results)
	sort.Slice(rep.Rows, func(i, j int) bool {
		a, b := rep.Rows[i], rep.Rows[j]
		if a.Phase != b.Phase {
			return order[a.Phase] < order[b.Phase]
		}
		return a.Class < b.Class
	})
	return rep
}

func phaseOrder(results []*Result) map[string]int {
	order := map[string]int{}
	for _, r := range results {
		if r == nil {
			continue
		}
		if _, ok := order[r.Arrival.Phase]; !ok {
			order[r.Arrival.Phase] = len(order)
		}
	}
	return order
}

func (rep *Report) addSecond(r *Result) {
	s := int(r.Arrival.At / time.Second)
	for len(rep.Seconds) <= s {
		rep.Seconds = append(rep.Seconds, Second{})
	}
	rep.Seconds[s].Offered += r.Arrival.Class.Value
	if r.InTime() {
		rep.Seconds[s].Goodput += r.Arrival.Class.Value
	}
}

// Table writes the report as text.
func (rep *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "mix %s, seed %d; times in ms\n", rep.Mix, rep.Seed)
	fmt.Fprintln(t, "phase\tclass\tsent\tin time\tlate\twrong\terrors\tp50\tp95\tp99\tfirst p95\tgap p95\trefusal p95\tgoodput")
	for _, r := range rep.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%v\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f/%.0f\n",
			r.Phase, r.Class, r.Sent, r.InTime, r.Late, r.Wrong, r.Errors, r.Total.P50, r.Total.P95, r.Total.P99,
			r.FirstToken.P95, r.Gap.P95, r.Refusal.P95, r.Goodput, r.Offered)
	}
	return t.Flush()
}
