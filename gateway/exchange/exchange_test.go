package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// signedDialect treats every response as signed and as belonging to the request with ID "1".
type signedDialect struct{}

func (signedDialect) ParseResponse(int, http.Header) ResponseInfo {
	return ResponseInfo{ID: "1", Signed: true}
}

// serveBytes starts a server that reads the header of each request and then calls respond with the connection. It
// returns the server's address.
func serveBytes(t *testing.T, respond func(c net.Conn)) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					respond(c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// serveEndless starts a server that writes begin and then repeats text until the connection is closed, which closes the
// returned channel.
func serveEndless(t *testing.T, begin, text string) (address string, closed chan struct{}) {
	t.Helper()
	closed = make(chan struct{})
	address = serveBytes(t, func(c net.Conn) {
		defer close(closed)
		_, err := io.WriteString(c, begin)
		block := strings.Repeat(text, 1+(16<<10)/len(text))
		for err == nil {
			_, err = io.WriteString(c, block)
		}
	})
	return address, closed
}

var testRequest = &Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a faulty server that exhausts the gateway's memory with an endless header, in one line or many, or
// with endless interim responses. In one run, the heap grew to 824 MB in 2 s. The exchange must fail, and the
// connection must be closed.
func TestEndlessHeader(t *testing.T) {
	const maxHeapGrowth = 4 << 20
	for name, c := range map[string]struct{ begin, text string }{
		"no response":         {"", "x"},
		"one long line":       {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"many lines":          {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses":   {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"long interim header": {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
		"empty lines":         {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := serveEndless(t, c.begin, c.text)
			before := heapBytes()
			_, err := NewPool(address, signedDialect{}).Do(t.Context(), testRequest) //nolint:bodyclose // There is no response.
			require.Error(t, err)
			var broken *BrokenError
			require.ErrorAs(t, err, &broken, "the request may have been executed")
			<-closed
			require.Less(t, heapBytes(), before+maxHeapGrowth)
		})
	}
}

// Guards against reading an endless body after the context of its request has ended.
func TestEndlessBody(t *testing.T) {
	for name, begin := range map[string]string{
		"until close": "HTTP/1.1 200 OK\r\n\r\n",
		"chunked":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			text := "5\r\nhello\r\n"
			address, closed := serveEndless(t, begin, text)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			resp, err := NewPool(address, signedDialect{}).Do(ctx, testRequest)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.Error(t, err, "the body must not look complete")
			resp.Close()
			<-closed
		})
	}
}

// Guards against a faulty server that exhausts the gateway's memory with an endless chunk extension or trailer.
func TestEndlessChunk(t *testing.T) {
	const maxHeapGrowth = 4 << 20
	for name, begin := range map[string]string{
		"extension": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
		"trailer":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := serveEndless(t, begin, "x")
			before := heapBytes()
			resp, err := NewPool(address, signedDialect{}).Do(t.Context(), testRequest)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.Error(t, err)
			resp.Close()
			<-closed
			require.Less(t, heapBytes(), before+maxHeapGrowth)
		})
	}
}

// Guards against executing a request that its caller canceled while it was in transit to a frozen instance. The
// connection must be reset, so that bytes still in transit are discarded.
func TestCanceledExchangeResetsConnection(t *testing.T) {
	read := make(chan error, 1)
	address := serveBytes(t, func(c net.Conn) {
		_, err := io.Copy(io.Discard, c)
		read <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool(address, signedDialect{}).Do(ctx, testRequest) //nolint:bodyclose // There is no response.
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorContains(t, <-read, "reset")
}

// Guards against returning a late duplicate of the response to an earlier request, received on a connection that is in
// use again.
func TestDuplicateResponseIsSkipped(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	writeResponse := func(c net.Conn, id string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 1\r\nKeep-Alive: timeout=9\r\n\r\n"+id)
	}
	done := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		for _, ids := range []string{"1", "12"} {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			for _, id := range ids {
				writeResponse(c, string(id))
			}
		}
		<-done
	}()
	defer close(done)
	pool := NewPool(l.Addr().String(), idDialect{})
	for _, id := range []string{"1", "2"} {
		r := *testRequest
		r.ID = id
		resp, err := pool.Do(t.Context(), &r)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, id, string(body))
		resp.MarkComplete()
		resp.Close()
	}
}

// idDialect reads the ID of the request from a header.
type idDialect struct{}

func (idDialect) ParseResponse(_ int, h http.Header) ResponseInfo {
	return ResponseInfo{ID: h.Get("Id"), Signed: true}
}

// Guards against sending a request to a server that stopped accepting requests while the connection was made.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	received := make(chan struct{}, 1)
	p := NewPool(serveBytes(t, func(net.Conn) { received <- struct{}{} }), signedDialect{})
	_, err := p.Do(t.Context(), &Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", ShouldSend: func() bool { return false }})
	var withdrawn *WithdrawnError
	require.ErrorAs(t, err, &withdrawn)
	_, err = p.Do(t.Context(), &Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", ShouldSend: func() bool { return true }})
	require.Error(t, err, "the server sends no response")
	<-received
	require.Empty(t, received, "only one of the two requests must arrive")
}

// Guards against taking a server that is alive, or to which packets are lost, for one that has crashed, and the reverse.
func TestRefusedConnectionsAreRecognized(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closing := make(chan bool, 3)
	go func() {
		for closeAtOnce := range closing {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if closeAtOnce {
				c.Close()
			} else {
				defer c.Close()
			}
		}
	}()
	defer close(closing)
	pool := NewPool(l.Addr().String(), nil)
	closing <- false
	require.False(t, pool.RefusesConnections(t.Context()))
	closing <- true
	require.True(t, pool.RefusesConnections(t.Context()), "a proxy has accepted the connection")
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, pool.RefusesConnections(ended))
	require.NoError(t, l.Close())
	require.True(t, pool.RefusesConnections(t.Context()))
}
