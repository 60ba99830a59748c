package quarantine

import "time"

// A crash accuses both a whole request and the parts of its prompt that no answer has shown to be sound. When the request
// comes again, as no deadly part makes it do, it is the likely cause, and other requests with the parts may be probes at
// once.

// repeatMargin is by how much the deadline of a request must be later than that of the first one with the same content.
// A caller that retries within its deadline keeps it, but for the time that the messages take.
const repeatMargin = 500 * time.Millisecond

// RecordArrival records that a request came which the caller gives up at the deadline.
func (q *Quarantine) RecordArrival(service string, parts []string, deadline time.Time) {
	if q.count.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range parts {
		part := Part{service, id}
		if !part.IsRequest() {
			continue
		}
		if s := q.suspects[part]; s != nil && s.blocking() && s.observeDeadline(deadline) {
			q.allowProbes(s)
		}
	}
}

// observeDeadline reports whether a request that comes with the deadline shows that the suspect comes again.
func (s *suspect) observeDeadline(deadline time.Time) bool {
	if s.firstDeadline.IsZero() {
		s.firstDeadline = deadline
	}
	s.repeated = s.repeated || deadline.Sub(s.firstDeadline) > repeatMargin
	return s.repeated
}

// allowProbes lets other requests probe the parts that were accused together with a request that comes again.
func (q *Quarantine) allowProbes(request *suspect) {
	for _, id := range request.record.With {
		s := q.suspects[Part{request.record.Part.Service, id}]
		if s != nil && s.record.LastServer == request.record.LastServer {
			s.likelySound = true
		}
	}
}

// isRepeated reports whether a whole request is a suspect that comes again.
func (q *Quarantine) isRepeated(request Part) bool {
	s := q.suspects[request]
	return s != nil && s.repeated && s.blocking()
}
