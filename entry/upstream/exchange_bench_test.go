package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lavendermoor.example/api/peerapi"
)

// countingListener counts the bytes of all connections of a listener.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l}, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.l.out.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkExchange measures a generation over loopback, including the fake sidecar: CPU time and bytes of a request
// with 1 and with 201 events. The difference divided by 200 is the cost per event.
func BenchmarkExchange(b *testing.B) {
	for _, events := range []int{1, 201} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			s := newFakeSidecar(b, "m1")
			l := &countingListener{Listener: s.server.Listener}
			counted := httptest.NewUnstartedServer(s.server.Config.Handler)
			counted.Listener.Close()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			l.Listener = listener
			counted.Listener = l
			counted.Start()
			defer counted.Close()
			s.address = listener.Addr().String()
			s.generate = func(resp *fakeResponse, _ *peerapi.GenerateRequest, _ int) { resp.data(0, events); resp.end(events) }
			c := newTestClient(b, s)
			defer c.Close()
			c.opts.SilenceTimeout = time.Minute
			body := json.RawMessage(`{"model":"m","stream":true,"messages":[{"role":"user","content":"a note"}]}`)
			b.ReportAllocs()
			before, in, sent := cpuTime(), l.in.Load(), l.out.Load()
			for b.Loop() {
				r := &peerapi.GenerateRequest{
					Work:  peerapi.Work{ID: "0f1e2d3c-4b5a-6978-8796-a5b4c3d2e1f0", Idempotent: true, DeadlineMs: 60_000},
					Model: "m", Path: "/v1/chat/completions", Body: body,
				}
				if e := c.Generate(context.Background(), r, func(json.RawMessage) error { return nil }); e != nil {
					b.Fatal(e)
				}
			}
			n := float64(b.N)
			b.ReportMetric(float64(cpuTime()-before)/n, "cpu-ns/op")
			b.ReportMetric(float64(l.in.Load()-in)/n, "request-B/op")
			b.ReportMetric(float64(l.out.Load()-sent)/n, "response-B/op")
		})
	}
}
