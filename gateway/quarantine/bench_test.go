package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures what the quarantine adds to a request with three shared parts: the decisions before it is
// sent and the record of its answer.
func BenchmarkRequest(b *testing.B) {
	for name, suspects := range map[string]int{"calm": 0, "suspects": 100} {
		b.Run(name, func(b *testing.B) {
			q := New()
			now := time.Now()
			parts := []string{"8f1c29d0", "5a77e01b", "c3d94417"}
			q.RecordAnswer(service, parts, now, now)
			for i := range suspects {
				q.RecordCrash(service, []string{fmt.Sprint("suspect", i)}, begun(fmt.Sprint(i)), now)
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Check(service, parts, nil, now)
				q.Check(service, parts, nil, now)
				q.Watch(service, parts, func(Part) {})()
				q.RecordAnswer(service, parts, now, now)
			}
		})
	}
}
