package expertmap

import (
	"fmt"
	"sort"
)

// BarrierReport is what a rank contributes to the lock-step barrier: the range of versions that it can run, without
// gaps. A rank without a loaded map reports High 0.
type BarrierReport struct {
	// Low is the lowest version that the rank still holds.
	Low int64 `json:"low"`
	// High is the highest version such that all versions from Low to High are loaded.
	High int64 `json:"high"`
}

// NextVersion returns the version for the step after a barrier: the minimum of High over all ranks. It returns false
// while a rank does not hold that version; the barrier must then be repeated. Only a restarted rank can lack the
// version, because ranks keep the version in use. Every rank computes the same result from the same reports.
func NextVersion(reports []BarrierReport) (int64, bool) {
	if len(reports) == 0 {
		return 0, false
	}
	version, low := reports[0].High, reports[0].Low
	for _, r := range reports[1:] {
		version = min(version, r.High)
		low = max(low, r.Low)
	}
	return version, version > 0 && low <= version
}

// VersionGapError reports an offered version that does not directly follow the highest version that the rank holds. The
// versions in between must be offered first.
type VersionGapError struct{ Have, Got int64 }

func (e *VersionGapError) Error() string {
	return fmt.Sprintf("map version %d does not follow %d", e.Got, e.Have)
}

// DigestConflictError reports a version that was offered with two different digests.
type DigestConflictError struct {
	Version   int64
	Have, Got string
}

func (e *DigestConflictError) Error() string {
	return fmt.Sprintf("map version %d is known with digest %.12s, offered with %.12s", e.Version, e.Have, e.Got)
}

// VersionNotHeldError reports that a barrier selected a version that this rank has not loaded or has dropped. The rank
// must not run the step.
type VersionNotHeldError struct{ Version, Low, High int64 }

func (e *VersionNotHeldError) Error() string {
	return fmt.Sprintf("map version %d is not held, only %d to %d", e.Version, e.Low, e.High)
}

// heldMap is a map that a rank has loaded or is loading.
type heldMap struct {
	m      *Map
	loaded bool
}

// MapSwitch tracks the map versions of one rank and applies the rule for switching between them. It holds consecutive
// versions, some of which may still be loading. It is not safe for concurrent use.
type MapSwitch struct {
	maps   []heldMap
	active int64
}

// Offer adds a map. It returns true when the rank has to load it, and false when the rank holds, or has already
// dropped, the version. The first offer after a start may have any version; each later one must follow the highest held
// version. Offer fails with a *VersionGapError or a *DigestConflictError, and then has no effect.
func (s *MapSwitch) Offer(m *Map) (load bool, err error) {
	if len(s.maps) == 0 {
		s.maps = []heldMap{{m: m}}
		return true, nil
	}
	low, highest := s.maps[0].m.Version, s.maps[len(s.maps)-1].m.Version
	switch {
	case m.Version < low:
		return false, nil // The rank has dropped the version after use and never needs it again.
	case m.Version <= highest:
		if known := s.maps[m.Version-low].m; known.Digest() != m.Digest() {
			return false, &DigestConflictError{Version: m.Version, Have: known.Digest(), Got: m.Digest()}
		}
		return false, nil
	case m.Version > highest+1:
		return false, &VersionGapError{Have: highest, Got: m.Version}
	}
	s.maps = append(s.maps, heldMap{m: m})
	return true, nil
}

// MarkLoaded records that the rank has loaded a version. It ignores versions that are not held.
func (s *MapSwitch) MarkLoaded(version int64) {
	if i := s.index(version); i >= 0 {
		s.maps[i].loaded = true
	}
}

func (s *MapSwitch) index(version int64) int {
	i := sort.Search(len(s.maps), func(i int) bool { return s.maps[i].m.Version >= version })
	if i < len(s.maps) && s.maps[i].m.Version == version {
		return i
	}
	return -1
}

// Report returns the rank's report for the next barrier.
func (s *MapSwitch) Report() BarrierReport {
	if len(s.maps) == 0 || !s.maps[0].loaded {
		return BarrierReport{}
	}
	low := s.maps[0].m.Version
	high := low
	for _, h := range s.maps[1:] {
		if !h.loaded {
			break
		}
		high = h.m.Version
	}
	return BarrierReport{Low: low, High: high}
}

// BeginStep takes the reports of all ranks, including this one's, and returns the map for the next step. It returns nil
// when no step may run and the barrier must be repeated. It drops maps of lower versions. It fails with a
// *VersionNotHeldError when the reports are not from a barrier in which this rank took part.
func (s *MapSwitch) BeginStep(reports []BarrierReport) (*Map, error) {
	version, ok := NextVersion(reports)
	if !ok {
		return nil, nil
	}
	i := s.index(version)
	if own := s.Report(); i < 0 || version > own.High {
		return nil, &VersionNotHeldError{Version: version, Low: own.Low, High: own.High}
	}
	s.maps = s.maps[i:]
	s.active = version
	return s.maps[0].m, nil
}

// Active returns the version of the current step, or 0 before the first step.
func (s *MapSwitch) Active() int64 { return s.active }

// HighestVersion returns the highest held version, loaded or not, or 0 if there is none.
func (s *MapSwitch) HighestVersion() int64 {
	if len(s.maps) == 0 {
		return 0
	}
	return s.maps[len(s.maps)-1].m.Version
}

// Lookup returns the map of a version, or nil if the rank does not hold it.
func (s *MapSwitch) Lookup(version int64) *Map {
	if i := s.index(version); i >= 0 {
		return s.maps[i].m
	}
	return nil
}
