package simulation

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"lavendermoor.example/gateway/workload"
)

// Result is the outcome of a run.
type Result struct {
	Streams int
	// OnTime is the share of streams that were on time, Served that of streams that were served at all.
	OnTime, Served float64
	// Large is the share on time of the largest tenth, LargeServed that of them which were served, Next both of the fifth
	// below, each relative to all.
	Large, LargeServed, Next, NextServed float64
	// FirstP95 and GapP99 are quantiles of the time to the first event and of the longest gap of a stream.
	FirstP95, GapP99 time.Duration
	// Pass is the mean time of a pass, Imbalance the mean of the most streams of a rank relative to the mean.
	Pass      time.Duration
	Imbalance float64
	// HintedError and PlainError are the medians and 0.9 quantiles of the error of the estimated output relative to the
	// actual one, with and without a hint.
	HintedError, PlainError [2]float64
}

// Header is the header of a table of results.
const Header = "on time | served | large on time, served | next fifth | first p95 | gap p99 | pass  | most/mean"

// String returns a row of a table.
func (r Result) String() string {
	return fmt.Sprintf("%6.1f%% | %5.1f%% | %8.2f %12.2f | %4.2f %5.2f | %6.0f ms | %4.0f ms | %5.1f | %9.2f",
		100*r.OnTime, 100*r.Served, r.Large, r.LargeServed, r.Next, r.NextServed, millis(r.FirstP95), millis(r.GapP99),
		millis(r.Pass), r.Imbalance)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

const (
	largeShare = 0.1
	nextShare  = 0.3
)

func (s *state) result() Result {
	// The first tenth of a run is not measured.
	all := slices.DeleteFunc(slices.Clone(s.done), func(x *stream) bool { return x.arrived < s.opts.Duration/10 })
	if len(all) == 0 {
		return Result{}
	}
	size := func(x *stream) time.Duration {
		return workload.Amount{Reading: model.Reading(x.prompt), Generation: model.Generation(float64(x.events * tokensPerEvent))}.Total()
	}
	slices.SortFunc(all, func(a, b *stream) int { return cmp.Compare(size(b), size(a)) })
	large, next := int(largeShare*float64(len(all))), int(nextShare*float64(len(all)))
	r := Result{
		Streams: len(all), OnTime: share(all, (*stream).onTime), Served: share(all, served),
		Pass: s.passes.time / time.Duration(s.passes.count), Imbalance: s.passes.imbalance / float64(s.passes.count),
	}
	r.Large, r.LargeServed = share(all[:large], (*stream).onTime)/r.OnTime, share(all[:large], served)/r.Served
	r.Next, r.NextServed = share(all[large:next], (*stream).onTime)/r.OnTime, share(all[large:next], served)/r.Served
	var first, gaps []time.Duration
	var hinted, plain []float64
	for _, x := range all {
		if x.refused {
			continue
		}
		first, gaps = append(first, x.first-x.arrived), append(gaps, x.longestGap)
		actual := float64(x.events * tokensPerEvent)
		e := math.Abs(x.estimate.Output-actual) / actual
		if x.estimate.Hinted {
			hinted = append(hinted, e)
		} else {
			plain = append(plain, e)
		}
	}
	r.FirstP95, r.GapP99 = quantile(first, 0.95), quantile(gaps, 0.99)
	r.HintedError = [2]float64{quantile(hinted, 0.5), quantile(hinted, 0.9)}
	r.PlainError = [2]float64{quantile(plain, 0.5), quantile(plain, 0.9)}
	return r
}

func served(x *stream) bool { return !x.refused }

func share(of []*stream, is func(*stream) bool) float64 {
	n := 0
	for _, x := range of {
		if is(x) {
			n++
		}
	}
	return float64(n) / float64(max(len(of), 1))
}

// quantile returns the exact quantile of a sample.
func quantile[T cmp.Ordered](sample []T, q float64) T {
	slices.Sort(sample)
	var zero T
	if len(sample) == 0 {
		return zero
	}
	return sample[min(int(q*float64(len(sample))), len(sample)-1)]
}
