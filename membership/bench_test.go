package membership

import (
	"fmt"
	"testing"
	"time"
)

func benchState() (*State, time.Time) {
	now := time.Unix(1_000_000, 0)
	s := NewState(now, 1)
	var servers []Server
	for i := range 2900 {
		servers = append(servers, Server{fmt.Sprintf("server-%04d", i), fmt.Sprintf("d%d", i%7)})
	}
	s.SetServers(now, servers)
	return s, now
}

// BenchmarkTick measures the time-based rules, which run ten times a second, for 2,900 servers.
func BenchmarkTick(b *testing.B) {
	s, now := benchState()
	for b.Loop() {
		now = now.Add(tickInterval)
		s.Tick(now)
	}
}

// BenchmarkView measures taking a view of 2,900 servers after a change.
func BenchmarkView(b *testing.B) {
	s, now := benchState()
	b.ReportAllocs()
	for b.Loop() {
		s.View(now)
	}
}
