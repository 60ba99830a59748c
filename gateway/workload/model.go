// Package workload estimates the work of a request in engine time before it runs, tracks how much of it is left from the
// events of its response, and rates the load of servers by the work they have yet to do. It has no clock and no I/O.
package workload

import (
	"time"

	"lavendermoor.example/gateway/catalog"
)

// Amount is work in engine time: the time by which it lengthens the passes of the rank that does it.
type Amount struct {
	// Reading is the time to read the prompt, Generation the time to generate the response.
	Reading, Generation time.Duration
}

// Total returns the sum of both parts.
func (a Amount) Total() time.Duration { return a.Reading + a.Generation }

// Model converts tokens to engine time.
type Model struct {
	readPerToken, perPair, perToken float64 // Nanoseconds.
	tokensPerEvent                  float64
	usual                           Amount
	usualPrompt, usualOutput        float64
}

const (
	// defaultReadPerSecond and defaultTimePerToken apply to an engine whose configuration states no such value.
	defaultReadPerSecond = 50_000.0
	defaultTimePerToken  = 500 * time.Microsecond
	// defaultPrompt and defaultOutput are the mean numbers of tokens of a request if the configuration states none.
	defaultPrompt = 800.0
	defaultOutput = 140.0
	pairsPerM     = 1e6
)

// NewModel returns the model of an engine.
func NewModel(e *catalog.Engine) Model {
	m := Model{
		readPerToken: float64(time.Second) / positiveOr(e.PrefillPerSecond, defaultReadPerSecond),
		perPair:      max(float64(e.TimePerMillionPairs), 0) / pairsPerM,
		perToken:     positiveOr(float64(e.StepTimePerRequest), float64(defaultTimePerToken)),
		usualPrompt:  positiveOr(e.UsualPrompt, defaultPrompt), usualOutput: positiveOr(e.UsualOutput, defaultOutput),
		tokensPerEvent: max(float64(e.StepsPerPass), 1),
	}
	m.usual = Amount{Reading: m.Reading(int(m.usualPrompt)), Generation: m.Generation(m.usualOutput)}
	return m
}

func positiveOr(value, otherwise float64) float64 {
	if value > 0 {
		return value
	}
	return otherwise
}

// Reading returns the time to read a prompt: a part for each token, and a part for each pair of a token and an earlier
// one.
func (m Model) Reading(promptTokens int) time.Duration {
	n := float64(max(promptTokens, 0))
	return time.Duration(n*m.readPerToken + n*(n-1)/2*m.perPair)
}

// Generation returns the time to generate a number of tokens.
func (m Model) Generation(tokens float64) time.Duration { return time.Duration(tokens * m.perToken) }

// Usual returns the work of a request of mean size.
func (m Model) Usual() Amount { return m.usual }

// TokensPerEvent returns the number of tokens that one event holds if nothing else is known.
func (m Model) TokensPerEvent() float64 { return m.tokensPerEvent }
