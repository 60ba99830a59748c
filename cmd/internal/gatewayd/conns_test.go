package gatewayd

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answering is an HTTP server on loopback that counts the requests it has begun to serve.
type answering struct {
	set     *conns
	address string
	begun   atomic.Int64
}

func startAnswering(t *testing.T, handle func()) *answering {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := &answering{set: newConns(), address: l.Addr().String()}
	srv := &http.Server{ConnState: a.set.changed, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a.begun.Add(1)
		handle()
		w.WriteHeader(http.StatusOK)
	})}
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(a.set.listen(l)) }()
	return a
}

func (a *answering) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", a.address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

const (
	// eventually bounds waits for other goroutines, tick is how often it is looked.
	eventually = 10 * time.Second
	tick       = time.Millisecond
)

const plainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against LOST: during a planned stop, a request that has just been read is passed on while its connection is closed as
// idle, and its answer is lost (mix --seed 434082203366 on mfca-coachworks). Pattern: callers send on kept connections just as the
// process closes them.
func TestNoRequestIsServedOnAClosedConnection(t *testing.T) {
	const callers, rounds = 8, 40
	for range rounds {
		a := startAnswering(t, func() {})
		var answered atomic.Int64
		var all sync.WaitGroup
		for range callers {
			c := a.dial(t)
			all.Go(func() {
				br := bufio.NewReader(c)
				for {
					if _, err := c.Write([]byte(plainRequest)); err != nil {
						return
					}
					resp, err := http.ReadResponse(br, nil)
					if err != nil {
						return
					}
					resp.Body.Close()
					answered.Add(1)
				}
			})
		}
		require.Eventually(t, func() bool { return answered.Load() >= 5*callers }, eventually, tick)
		a.set.closeIdle()
		all.Wait()
		require.Equal(t, a.begun.Load(), answered.Load())
	}
}

// Guards against a stop that does not wait for a request of which only a part has arrived.
func TestRequestThatIsBeingReadIsWaitedFor(t *testing.T) {
	release := make(chan struct{})
	a := startAnswering(t, func() { <-release })
	c := a.dial(t)
	_, err := c.Write([]byte(plainRequest[:10]))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return a.set.busy() == 1 }, eventually, tick)
	a.set.closeIdle()
	require.Equal(t, 1, a.set.busy())
	_, err = c.Write([]byte(plainRequest[10:]))
	require.NoError(t, err)
	close(release)
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	resp.Body.Close()
	_, err = br.ReadByte()
	require.Error(t, err, "the connection is closed after the answer")
	require.Eventually(t, func() bool { return a.set.busy() == 0 }, eventually, tick)
}
