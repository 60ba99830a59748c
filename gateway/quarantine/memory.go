package quarantine

import "time"

const (
	// maxGeneration bounds the parts of one generation, and maxGenerationAge its age.
	maxGeneration    = 8192
	maxGenerationAge = 10 * time.Minute
	// maxServices bounds the services whose answers are counted.
	maxServices = 4096
)

// memory remembers when parts were last in an answered prompt. Parts of a single answer are kept apart from the others, so
// that prompts with many parts of their own displace no part that prompts share. The zero value is empty.
type memory struct {
	once, repeated generations
	// answers counts the parts added for each service, up to minAnswers.
	answers map[string]int
}

func (m *memory) add(part Part, now time.Time) {
	if _, known := m.at(part); known {
		m.repeated.add(part, now)
	} else {
		m.once.add(part, now)
	}
	if m.answers == nil {
		m.answers = map[string]int{}
	}
	if n := m.answers[part.Service]; n < minAnswers && (n > 0 || len(m.answers) < maxServices) {
		m.answers[part.Service] = n + 1
	}
}

// at returns when the part was last in an answered prompt.
func (m *memory) at(part Part) (time.Time, bool) {
	if at, ok := m.repeated.at(part); ok {
		return at, true
	}
	return m.once.at(part)
}

// count returns the number of answered parts of a service, at most minAnswers.
func (m *memory) count(service string) int { return m.answers[service] }

// generations remembers parts. It holds two generations and drops the older one when the younger one is full or old, so
// that a part in use is never forgotten. The zero value is empty.
type generations struct {
	young, old map[Part]time.Time
	since      time.Time
}

func (g *generations) add(part Part, now time.Time) {
	if g.young == nil || len(g.young) >= maxGeneration || now.Sub(g.since) > maxGenerationAge {
		g.old, g.young, g.since = g.young, map[Part]time.Time{}, now
	}
	g.young[part] = now
}

func (g *generations) at(part Part) (time.Time, bool) {
	if at, ok := g.young[part]; ok {
		return at, true
	}
	at, ok := g.old[part]
	return at, ok
}

// size returns the number of parts, which the generations may both hold.
func (g *generations) size() int { return len(g.young) + len(g.old) }
