package quarantine

// watch is a request in flight.
type watch struct {
	service string
	// parts are the IDs of the parts that were in no answered prompt when the request was sent.
	parts    []string
	withdraw func(Part)
}

// Watch registers a function that withdraws a request in flight. It is called from another goroutine when a part of the
// request's prompt becomes blocked, until unregister is called. Parts of answered prompts are not watched.
func (q *Quarantine) Watch(service string, parts []string, withdraw func(Part)) (unregister func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &watch{service: service, withdraw: withdraw}
	for _, id := range parts {
		part := Part{service, id}
		if _, ok := q.memoryOf(part).at(part); !ok {
			w.parts = append(w.parts, id)
		}
	}
	if w.parts == nil {
		return func() {}
	}
	q.watches[w] = struct{}{}
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.watches, w)
	}
}

// withdrawals returns the functions that withdraw the requests in flight with one of the blocked parts. The caller holds
// the lock.
func (q *Quarantine) withdrawals(blocked []Part) []func() {
	if len(blocked) == 0 {
		return nil
	}
	isBlocked := make(map[Part]bool, len(blocked))
	for _, part := range blocked {
		isBlocked[part] = true
	}
	var out []func()
	for w := range q.watches {
		for _, id := range w.parts {
			if part := (Part{w.service, id}); isBlocked[part] {
				out = append(out, func() { w.withdraw(part) })
				break
			}
		}
	}
	return out
}

// callAll calls the functions of withdrawals. The caller does not hold the lock.
func callAll(withdraw []func()) {
	for _, fn := range withdraw {
		fn()
	}
}
