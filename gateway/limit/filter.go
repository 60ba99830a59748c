package limit

import "slices"

// groupFilter tells in which groups a request may run. The zero value permits all groups.
type groupFilter struct {
	// excluded is a group in which the request must not run, empty for none.
	excluded string
	// allowed holds the groups in which the request may run, nil for all.
	allowed map[string]bool
}

// permits reports whether the request may run in a group.
func (f groupFilter) permits(group string) bool {
	return (f.excluded == "" || group != f.excluded) && (f.allowed == nil || f.allowed[group])
}

// hasRestricted reports whether a waiting request may run in some groups only. Requests without that restriction must
// not wait behind it while other groups have free permits.
func (q *Queue) hasRestricted() bool {
	return slices.ContainsFunc(q.waiting, func(w *waiter) bool { return w.filter.allowed != nil })
}

// isAwaited reports whether a waiting request could get a permit in a group. One that moves counts for every group.
func (q *Queue) isAwaited(group string) bool {
	return slices.ContainsFunc(q.waiting, func(w *waiter) bool { return w.filter.allowed == nil || w.filter.allowed[group] })
}
