package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"

	"lavendermoor.example/expertmap"
	"lavendermoor.example/expertmap/controller"
)

// noise is the distribution of a healthy rank's step time: log-normal, with rare spikes.
type noise struct {
	sigma float64
	// spikes is the probability of a step that takes spike times as long.
	spikes, spike float64
}

var noises = []noise{
	{sigma: 0.02}, {sigma: 0.05}, {sigma: 0.1}, {sigma: 0.05, spikes: 0.001, spike: 3}, {sigma: 0.05, spikes: 0.001, spike: 10},
}

const (
	trialRanks = 64
	// warmSteps is the number of steps before a rank becomes slow, maxDelay that after which it counts as missed.
	warmSteps, maxDelay = 500, 2000
	// repeats is the number of stragglers for each seed and speed.
	repeats = 200
)

// watch is a detector and the number of steps over which its times are averaged.
type watch struct {
	name  string
	set   expertmap.DetectorSettings
	every int
}

// draw returns the mean times of one observation of a watch.
func (n noise) draw(rng *rand.Rand, times []float64, every int) {
	clear(times)
	for range every {
		for i := range times {
			t := math.Exp(n.sigma * rng.NormFloat64())
			if n.spikes > 0 && rng.Float64() < n.spikes {
				t *= n.spike
			}
			times[i] += t / float64(every)
		}
	}
}

func stragglerTrial(w io.Writer, seeds, steps int) error {
	for _, v := range []watch{
		{"each step", expertmap.DefaultDetector(), 1},
		{"each poll of the controller", controller.DefaultOptions().Detector, stepsPerPoll},
	} {
		if err := watchTrial(w, v, seeds, steps); err != nil {
			return err
		}
	}
	return nil
}

func watchTrial(w io.Writer, set watch, seeds, steps int) error {
	fmt.Fprintf(w, "\n%s (%d steps): 64 ranks, detector %+v, seeds 1 to %d, %d steps for false alarms\n\n",
		set.name, set.every, set.set, seeds, steps)
	fmt.Fprintln(w, "| noise | speed | delay p50, steps | p95 | max | missed | false alarms per million steps |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range noises {
		alarms, err := falseAlarms(n, set, seeds, steps)
		if err != nil {
			return err
		}
		for _, speed := range []float64{0.5, 0.7, 0.8, 0.9} {
			delays, missed, err := delaysOf(n, set, speed, seeds)
			if err != nil {
				return err
			}
			at := func(q float64) int { return delays[int(q*float64(len(delays)-1))] }
			fmt.Fprintf(w, "| %v | %.1f | %d | %d | %d | %d of %d | %.1f |\n",
				n, speed, at(0.5), at(0.95), at(1), missed, len(delays), alarms)
		}
	}
	return nil
}

// falseAlarms returns the number of healthy ranks that came to count as slow, per million steps of the group.
func falseAlarms(n noise, set watch, seeds, steps int) (float64, error) {
	count := 0
	times := make([]float64, trialRanks)
	for seed := 1; seed <= seeds; seed++ {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		d := expertmap.NewDetector(trialRanks, set.set)
		before := 0
		for range steps / set.every {
			n.draw(rng, times, set.every)
			if err := d.Observe(times); err != nil {
				return 0, err
			}
			now := len(d.Slow())
			count += max(now-before, 0)
			before = now
		}
	}
	return float64(count) * 1e6 / float64(seeds*steps), nil
}

func delaysOf(n noise, set watch, speed float64, seeds int) ([]int, int, error) {
	var delays []int
	missed := 0
	times := make([]float64, trialRanks)
	for i := range seeds * repeats {
		rng := rand.New(rand.NewPCG(uint64(i/repeats+1), uint64(i%repeats+2)))
		d := expertmap.NewDetector(trialRanks, set.set)
		delay := -warmSteps
		for ; delay < maxDelay; delay += set.every {
			n.draw(rng, times, set.every)
			if delay >= 0 {
				times[3] /= speed
			}
			if err := d.Observe(times); err != nil {
				return nil, 0, err
			}
			if delay >= 0 && slices.Contains(d.Slow(), 3) {
				break
			}
		}
		if delay >= maxDelay {
			missed++
		}
		delays = append(delays, delay+set.every)
	}
	slices.Sort(delays)
	return delays, missed, nil
}
