package quarantine

// Watch registers a function that withdraws a request in flight. It is called from another goroutine when a part of the
// request's prompt becomes blocked, until unregister is called. Parts of answered prompts are not watched.
func (q *Quarantine) Watch(service string, parts []string, withdraw func(Part)) (unregister func()) {
	if len(parts) == 0 {
		return func() {}
	}
	key := &withdraw
	var watched []Part
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range parts {
		part := Part{service, id}
		if _, ok := q.memoryOf(part).at(part); ok {
			continue
		}
		if q.watchers[part] == nil {
			q.watchers[part] = map[*func(Part)]struct{}{}
		}
		q.watchers[part][key] = struct{}{}
		watched = append(watched, part)
	}
	if watched == nil {
		return func() {}
	}
	return func() { q.unwatch(watched, key) }
}

func (q *Quarantine) unwatch(parts []Part, key *func(Part)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, part := range parts {
		delete(q.watchers[part], key)
		if len(q.watchers[part]) == 0 {
			delete(q.watchers, part)
		}
	}
}

// watchersOf returns the functions that withdraw the requests in flight with a suspect that is blocked. The caller
// holds the lock.
func (q *Quarantine) watchersOf(s *suspect) []func() {
	if !s.blocking() {
		return nil
	}
	part := s.record.Part
	var out []func()
	for fn := range q.watchers[part] {
		out = append(out, func() { (*fn)(part) })
	}
	return out
}

// callAll calls the functions of watchersOf. The caller does not hold the lock.
func callAll(withdraw []func()) {
	for _, fn := range withdraw {
		fn()
	}
}
