package quarantine

import "time"

const (
	// maxGeneration bounds the parts of one generation of a memory, and maxGenerationAge its age.
	maxGeneration    = 8192
	maxGenerationAge = 10 * time.Minute
)

// memory remembers when parts were last in an answered prompt. It holds two generations and drops the older one when
// the younger one is full or old, so that a part in use is never forgotten. The zero value is empty.
type memory struct {
	young, old map[Part]time.Time
	since      time.Time
	// answers counts the parts added for each service, up to minAnswers.
	answers map[string]int
}

func (m *memory) add(part Part, now time.Time) {
	if m.young == nil || len(m.young) >= maxGeneration || now.Sub(m.since) > maxGenerationAge {
		m.old, m.young, m.since = m.young, map[Part]time.Time{}, now
	}
	m.young[part] = now
	if m.answers == nil {
		m.answers = map[string]int{}
	}
	if n := m.answers[part.Service]; n < minAnswers && (n > 0 || len(m.answers) < maxServices) {
		m.answers[part.Service] = n + 1
	}
}

// maxServices bounds the services whose answers are counted.
const maxServices = 4096

// at returns when the part was last in an answered prompt.
func (m *memory) at(part Part) (time.Time, bool) {
	if at, ok := m.young[part]; ok {
		return at, true
	}
	at, ok := m.old[part]
	return at, ok
}

// count returns the number of answered parts of a service, at most minAnswers.
func (m *memory) count(service string) int { return m.answers[service] }
