package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures what the quarantine adds to a request by the number of its shared parts: the decisions before
// it is sent, the watch and the record of its answer.
func BenchmarkRequest(b *testing.B) {
	for name, suspects := range map[string]int{"calm": 0, "suspects": 100} {
		for _, n := range []int{1, 3, 20, 130, mostParts} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				q := New()
				now := time.Now()
				parts := ownParts(0, n)
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
}

// BenchmarkCrash measures the record of a crash by the number of parts that no answer has shown to be sound.
func BenchmarkCrash(b *testing.B) {
	for _, n := range []int{1, 20, 130, mostParts} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			b.ReportAllocs()
			q := New()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Second)
				q.RecordCrash(service, ownParts(i, n), begun(fmt.Sprint(i)), now)
			}
		})
	}
}

// BenchmarkMemory measures the memory after 100,000 requests with parts of their own, by the number of parts. One in a
// hundred crashes its server.
func BenchmarkMemory(b *testing.B) {
	const requests = 100_000
	for _, n := range []int{1, 20, 130, mostParts} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			q := New()
			before := heapBytes()
			for b.Loop() {
				for i := range requests {
					now = now.Add(time.Millisecond)
					parts := ownParts(i, n)
					if i%100 == 0 {
						q.RecordCrash(service, parts, begun(fmt.Sprint(i)), now)
						continue
					}
					q.RecordAnswer(service, parts, now, now)
				}
			}
			b.ReportMetric(float64(heapBytes()-before), "B/heap")
			b.ReportMetric(float64(q.answered.once.size()+q.answered.repeated.size()), "parts")
		})
	}
}
