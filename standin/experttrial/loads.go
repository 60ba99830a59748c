package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"lavendermoor.example/orders"
)

// Sizes of the load trial. A load takes 10 s at the full rate of the weight store, which serves 8 loads at a time.
const (
	loadBytes        = 100 << 30
	storeRate        = 10 << 30 // Bytes/s.
	maxReaders       = 8
	tickSeconds      = 0.25 // The time step of the simulation.
	rebalancingEvery = 5    // One load in 5 is a rebalancing load.
)

// loader is one group that loads a model. Its times are in virtual seconds since the start of the run.
type loader struct {
	name           string
	class          orders.LoadClass
	startAt        float64
	remainingBytes float64
	attempt        int
	finishedAt     float64
}

// retryRule determines the delay in seconds before a loader's first attempt and before each retry after a refusal.
type retryRule struct {
	name string
	// limited makes the store refuse further readers while it serves maxReaders.
	limited bool
	delay   func(l *loader, rng *rand.Rand) float64
}

func retryRules() []retryRule {
	spread := orders.NewLoadSpread(storeRate, loadBytes, maxReaders)
	slots := func(l *loader, _ *rand.Rand) float64 { return spread.Delay(l.name, l.class, l.attempt).Seconds() }
	return []retryRule{
		{"all at once, no limit", false, func(*loader, *rand.Rand) float64 { return 0 }},
		{"retry after 1 s", true, func(l *loader, _ *rand.Rand) float64 { return min(float64(l.attempt), 1) }},
		{"jittered backoff to 30 s", true, func(l *loader, rng *rand.Rand) float64 {
			return min(30, 0.5*float64(int(1)<<min(l.attempt, 6))) * rng.Float64()
		}},
		{"slots", true, slots},
	}
}

func loadTrial(w io.Writer, seeds int) {
	fmt.Fprintf(w, "a load takes %d s at the full rate, the store serves %d at a time, 1 of %d loads rebalances, seeds 1 to %d\n",
		loadBytes/storeRate, maxReaders, rebalancingEvery, seeds)
	for _, groups := range []int{4, 40, 400} {
		fmt.Fprintf(w, "\n%d groups start at once\n\n", groups)
		fmt.Fprintln(w, "| rule | customer-facing mean, s | p95 | rebalancing mean | last | attempts per load | store busy |")
		fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
		for _, r := range retryRules() {
			var sum loadResult
			for seed := 1; seed <= seeds; seed++ {
				sum.add(simulate(r, groups, uint64(seed)), float64(seeds))
			}
			fmt.Fprintf(w, "| %s | %.0f | %.0f | %.0f | %.0f | %.1f | %.0f%% |\n", r.name, sum.mean, sum.p95, sum.rebalance,
				sum.last, sum.attempts, 100*sum.busy)
		}
	}
}

// loadResult is the result of one run, or the mean of several. mean and p95 are of the customer-facing loads, rebalance
// is the mean of the rebalancing loads, and last is the end of the last load, all in seconds from the common start.
// attempts is the mean number per load, and busy the fraction of the time during which the store was read.
type loadResult struct{ mean, p95, rebalance, last, attempts, busy float64 }

// add adds the result of one of n runs to the mean.
func (r *loadResult) add(o loadResult, n float64) {
	r.mean += o.mean / n
	r.p95 += o.p95 / n
	r.rebalance += o.rebalance / n
	r.last += o.last / n
	r.attempts += o.attempts / n
	r.busy += o.busy / n
}

// simulate runs all loads to completion. Concurrent loads share the store's rate equally.
func simulate(r retryRule, groups int, seed uint64) loadResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	waiting := make([]*loader, groups)
	for i := range waiting {
		l := &loader{name: fmt.Sprintf("%d-group-%d", seed, i), class: orders.CustomerFacing, remainingBytes: loadBytes}
		if i%rebalancingEvery == rebalancingEvery-1 {
			l.class = orders.Rebalancing
		}
		l.startAt = r.delay(l, rng)
		waiting[i] = l
	}
	all := slices.Clone(waiting)
	var reading []*loader
	idle, now := 0.0, 0.0
	for ; len(waiting)+len(reading) > 0; now += tickSeconds {
		reading, waiting = startLoads(r, rng, now, reading, waiting)
		if len(reading) == 0 {
			idle += tickSeconds
		}
		share := storeRate * tickSeconds / float64(max(len(reading), 1))
		reading = slices.DeleteFunc(reading, func(l *loader) bool {
			l.remainingBytes -= share
			l.finishedAt = now + tickSeconds
			return l.remainingBytes <= 0
		})
	}
	return summarize(all, now, idle)
}

// startLoads lets the waiting loaders whose time has come attempt their loads, in random order. A refused loader waits
// for its next attempt.
func startLoads(r retryRule, rng *rand.Rand, now float64, reading, waiting []*loader) (nowReading, nowWaiting []*loader) {
	rng.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	nowWaiting = waiting[:0]
	for _, l := range waiting {
		if l.startAt > now {
			nowWaiting = append(nowWaiting, l)
			continue
		}
		l.attempt++
		if r.limited && len(reading) >= maxReaders {
			l.startAt = now + r.delay(l, rng)
			nowWaiting = append(nowWaiting, l)
			continue
		}
		reading = append(reading, l)
	}
	return reading, nowWaiting
}

func summarize(all []*loader, now, idle float64) loadResult {
	var customer, rebalance []float64
	attempts := 0
	for _, l := range all {
		attempts += l.attempt
		if l.class == orders.Rebalancing {
			rebalance = append(rebalance, l.finishedAt)
		} else {
			customer = append(customer, l.finishedAt)
		}
	}
	slices.Sort(customer)
	return loadResult{
		mean: mean(customer), p95: customer[int(0.95*float64(len(customer)-1))], rebalance: mean(rebalance),
		last: now, attempts: float64(attempts) / float64(len(all)), busy: 1 - idle/now,
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}
