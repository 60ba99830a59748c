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
	// spikeProbability is the probability that a step takes spikeFactor times as long.
	spikeProbability, spikeFactor float64
}

var noises = []noise{
	{sigma: 0.02},
	{sigma: 0.05},
	{sigma: 0.1},
	{sigma: 0.05, spikeProbability: 0.001, spikeFactor: 3},
	{sigma: 0.05, spikeProbability: 0.001, spikeFactor: 10},
}

const (
	trialRanks = 64
	// warmupSteps is the number of steps before one rank becomes slow. A slow rank that is not detected within maxDelay
	// steps counts as missed.
	warmupSteps, maxDelay = 500, 2000
	// stragglersPerSpeed is the number of simulated stragglers per seed and speed.
	stragglersPerSpeed = 200
)

// observation is a detector and the number of steps over which its input times are averaged.
type observation struct {
	name     string
	detector expertmap.StragglerSettings
	every    int
}

// draw sets times to random mean step times of the ranks over the given number of steps.
func (n noise) draw(rng *rand.Rand, times []float64, every int) {
	clear(times)
	for range every {
		for i := range times {
			t := math.Exp(n.sigma * rng.NormFloat64())
			if n.spikeProbability > 0 && rng.Float64() < n.spikeProbability {
				t *= n.spikeFactor
			}
			times[i] += t / float64(every)
		}
	}
}

func stragglerTrial(w io.Writer, seeds, steps int) error {
	for _, o := range []observation{
		{"each step", expertmap.DefaultStragglerSettings(), 1},
		{"each poll of the controller", controller.DefaultOptions().Stragglers, stepsPerPoll},
	} {
		if err := observationTrial(w, o, seeds, steps); err != nil {
			return err
		}
	}
	return nil
}

func observationTrial(w io.Writer, o observation, seeds, steps int) error {
	d := o.detector
	fmt.Fprintf(w, "\n%s (%d steps): 64 ranks, detector {Weight:%v Slow:%v Normal:%v MaxRatio:%v MinSteps:%d}, "+
		"seeds 1 to %d, %d steps for false alarms\n\n",
		o.name, o.every, d.Weight, d.SlowRatio, d.NormalRatio, d.MaxRatio, d.MinSteps, seeds, steps)
	fmt.Fprintln(w, "| noise | speed | delay p50, steps | p95 | max | missed | false alarms per million steps |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range noises {
		alarms, err := falseAlarms(n, o, seeds, steps)
		if err != nil {
			return err
		}
		for _, speed := range []float64{0.5, 0.7, 0.8, 0.9} {
			delays, missed, err := detectionDelays(n, o, speed, seeds)
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

// falseAlarms returns the number of times that a healthy rank was classified as slow, per million steps of the group.
func falseAlarms(n noise, o observation, seeds, steps int) (float64, error) {
	count := 0
	times := make([]float64, trialRanks)
	for seed := 1; seed <= seeds; seed++ {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		d := expertmap.NewStragglerDetector(trialRanks, o.detector)
		before := 0
		for range steps / o.every {
			n.draw(rng, times, o.every)
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

// detectionDelays returns the sorted delays in steps after which slow ranks are detected, including those of missed
// ranks, and the number of missed ranks.
func detectionDelays(n noise, o observation, speed float64, seeds int) ([]int, int, error) {
	var delays []int
	missed := 0
	times := make([]float64, trialRanks)
	for i := range seeds * stragglersPerSpeed {
		rng := rand.New(rand.NewPCG(uint64(i/stragglersPerSpeed+1), uint64(i%stragglersPerSpeed+2)))
		d := expertmap.NewStragglerDetector(trialRanks, o.detector)
		delay := -warmupSteps
		for ; delay < maxDelay; delay += o.every {
			n.draw(rng, times, o.every)
			if delay >= 0 {
				times[3] /= speed // Rank 3 is the slow one.
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
		delays = append(delays, delay+o.every)
	}
	slices.Sort(delays)
	return delays, missed, nil
}
