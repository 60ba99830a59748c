package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/idempotency"
)

// loopback is a service whose sidecars all run in this process and are reached over TCP on loopback.
type loopback struct {
	state *cluster.State
	nodes []*Node
	// handlers are the routes of the nodes, built once because building them takes longer than a message.
	handlers []http.Handler
	http     *http.Client
}

func (l *loopback) State() *cluster.State { return l.state }

type callResponse struct {
	Result *peerapi.CallResult
	Error  *callerapi.Error
}

func newLoopback(b testing.TB, servers int) *loopback {
	l := &loopback{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	objects := []*operatorv1.Object{{Kind: &operatorv1.Object_Service{Service: &operatorv1.Service{Name: "shed"}}}}
	listeners := make([]net.Listener, servers)
	for i := range servers {
		var err error
		listeners[i], err = net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		objects = append(objects, &operatorv1.Object{Kind: &operatorv1.Object_Server{Server: &operatorv1.BackendServer{
			Name: server(i), Address: listeners[i].Addr().String(), FailureDomain: fmt.Sprint(i), Service: "shed", Slots: 4,
		}}})
	}
	var err error
	l.state, err = cluster.New(1, objects)
	require.NoError(b, err)
	for i, listener := range listeners {
		l.nodes = append(l.nodes, l.node(i, 1))
		l.handlers = append(l.handlers, l.nodes[i].Handler())
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(i, w, r) })}
		go func() { _ = srv.Serve(listener) }()
		b.Cleanup(func() { _ = srv.Close() })
	}
	return l
}

func (l *loopback) node(i int, incarnation int64) *Node {
	return New(Options{
		Self: peerapi.Peer{Server: server(i), Incarnation: incarnation}, Configuration: l, Log: zap.NewNop(),
	})
}

func (l *loopback) serve(i int, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != peerapi.PathCall {
		l.handlers[i].ServeHTTP(w, r)
		return
	}
	var in peerapi.CallRequest
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var out callResponse
	out.Result, out.Error = l.nodes[i].Call(r.Context(), &in, returnImmediately)
	writeJSON(w, out)
}

func returnImmediately(context.Context) (*peerapi.CallResult, *callerapi.Error) {
	h := http.Header{"Content-Type": {"application/json"}}
	return &peerapi.CallResult{Status: http.StatusCreated, Header: h, Body: bytes.Repeat([]byte("x"), 100)}, nil
}

func (l *loopback) call(b testing.TB, i int, r *peerapi.CallRequest) callResponse {
	raw, err := json.Marshal(r)
	require.NoError(b, err)
	resp, err := l.http.Post("http://"+l.state.Server(server(i)).GetAddress()+peerapi.PathCall, "application/json", bytes.NewReader(raw))
	require.NoError(b, err)
	defer resp.Body.Close()
	var out callResponse
	require.NoError(b, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (l *loopback) sentMessages() (messages, size int64) {
	for _, n := range l.nodes {
		n.Wait()
		d := n.Dump()
		messages += d.Sent
		size += d.SentBytes
	}
	return messages, size
}

// BenchmarkCall measures a keyed call and an idempotent one, each sent over loopback to a sidecar that responds
// immediately.
func BenchmarkCall(b *testing.B) {
	for _, kind := range []string{"plain", "keyed"} {
		b.Run(kind, func(b *testing.B) {
			l := newLoopback(b, 3)
			r := keyedRequest("")
			r.Idempotent, r.Body = kind == "plain", bytes.Repeat([]byte("y"), 200)
			before := cpuTime()
			b.ResetTimer()
			for i := range b.N {
				r.ID = fmt.Sprint("call ", i)
				if kind == "keyed" {
					r.Key = fmt.Sprintf("5f0c2a8e-0000-4000-8000-%012d", i)
				}
				require.Nil(b, l.call(b, i%3, r).Error)
			}
			b.StopTimer()
			messages, size := l.sentMessages()
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(messages)/2/float64(b.N), "exchanges/op")
			b.ReportMetric(float64(size)/float64(b.N), "peer-bytes/op")
		})
	}
}

func storeRecords(n *Node, records int) {
	for i := range records {
		result, _ := returnImmediately(context.Background())
		n.table.StoreRecord(time.Now(), peerapi.KeyRecord{
			Key:     peerapi.CallKey{Service: "shed", Customer: "crew", Key: fmt.Sprintf("5f0c2a8e-0000-4000-8000-%012d", i)},
			Attempt: peerapi.Attempt{Peer: peerapi.Peer{Server: server(0), Incarnation: 1}, Number: int64(i)},
			Outcome: &peerapi.Outcome{Result: result},
		})
	}
}

// BenchmarkMemory measures the memory of records with a key of 36 bytes and a response body of 100 bytes.
func BenchmarkMemory(b *testing.B) {
	for _, records := range []int{20_000, 40_000, 80_000, 160_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			for range b.N {
				l := newLoopback(b, 1)
				n := l.nodes[0]
				n.Dump()
				before := heapBytes()
				storeRecords(n, records)
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				require.Equal(b, records, n.Dump().Records)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCopy measures how a restarted holder copies all records from the two others.
func BenchmarkCopy(b *testing.B) {
	for _, records := range []int{0, 10_000, 20_000, 40_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			l := newLoopback(b, 3)
			for _, n := range l.nodes[1:] {
				n.Dump()
				storeRecords(n, records)
			}
			b.ResetTimer()
			for i := range b.N {
				n := l.node(0, int64(2+i))
				n.copyRound(b.Context())
				d := n.Dump()
				require.Zero(b, d.Incomplete)
				require.Equal(b, records, d.Records)
				b.ReportMetric(float64(d.SentBytes)/1e6, "MB/copy")
				b.ReportMetric(float64(d.Sent)/2, "exchanges/copy")
			}
		})
	}
}

// BenchmarkAvailability counts the new keyed calls that fail while one of three holders is down: measured with the
// majority of three holders, and computed from the ranks of the same keys for a protocol with an owner and one
// witness.
func BenchmarkAvailability(b *testing.B) {
	const keys = 3000
	for range b.N {
		l := newLoopback(b, 3)
		down := 2
		l.nodes[down] = l.node(down, 2)
		l.handlers[down] = l.nodes[down].Handler() // It grants nothing until it has copied the records.
		refused, ownerDown, witnessDown := 0, 0, 0
		view := idempotency.ViewOf(l.state, "shed")
		for i := range keys {
			r := keyedRequest(fmt.Sprint("key ", i))
			shard := idempotency.ShardOf(peerapi.CallKey{Service: "shed", Customer: "crew", Key: r.Key})
			holders := view.HolderSets(shard).New
			if holders[0].Name == server(down) {
				ownerDown++
			}
			if holders[1].Name == server(down) {
				witnessDown++
			}
			if l.call(b, i%2, r).Error != nil {
				refused++
			}
		}
		b.ReportMetric(100*float64(refused)/keys, "majority-refused-%")
		b.ReportMetric(100*float64(witnessDown)/keys, "witness-down-%")
		b.ReportMetric(100*float64(ownerDown)/keys, "owner-down-%")
	}
}
