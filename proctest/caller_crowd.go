package proctest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crowdWriteTime ends the writes of a caller whose bytes the process has stopped reading.
	crowdWriteTime = 3 * time.Second
	// crowdSettleTime lets the process read what is in the buffers of the sockets and accept what is in the backlog.
	crowdSettleTime = 700 * time.Millisecond
	// crowdChunkBytes is the size of the pieces in which a crowd writes.
	crowdChunkBytes = 64 << 10
)

// callerCrowd is a number of callers that keep none of the limits, each with its own connection to one address.
type callerCrowd struct {
	t       testing.TB
	address string
	mu      sync.Mutex
	conns   []net.Conn
}

// open opens connections, runs act on all of them at the same time and waits until each act has returned and the process
// has read what it reads. The connections stay open until close.
func (c *callerCrowd) open(connections int, act func(net.Conn)) {
	var wg sync.WaitGroup
	dialer := net.Dialer{Timeout: crowdWriteTime}
	for range connections {
		conn, err := dialer.DialContext(c.t.Context(), "tcp", c.address)
		if err != nil {
			continue // The backlog of the listener is full, which the bounds allow.
		}
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
		wg.Go(func() { act(conn) })
	}
	wg.Wait()
	time.Sleep(crowdSettleTime)
}

func (c *callerCrowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// crowdTarget describes a request that the process under test would serve.
type crowdTarget struct {
	// head is the request line and the headers, without those of the body and without the empty line.
	head string
	// bodyBytes is the largest body that the process accepts.
	bodyBytes int
	// responseHead is head for a request with a long response, empty if the process sends none.
	responseHead string
}

// writeText writes text within crowdWriteTime. It returns false if the process does not take it.
func writeText(conn net.Conn, text string) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTime))
	_, err := io.WriteString(conn, text)
	return err == nil
}

// writeBytes writes n bytes of a body in pieces and returns false if the process does not take them.
func writeBytes(conn net.Conn, n int) bool {
	chunk := bytes.Repeat([]byte{' '}, crowdChunkBytes)
	for n > 0 {
		_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTime))
		written, err := conn.Write(chunk[:min(n, len(chunk))])
		if err != nil {
			return false
		}
		n -= written
	}
	return true
}

// callerFault is one way in which callers keep no limit.
type callerFault struct {
	name string
	act  func(conn net.Conn, target crowdTarget)
	// needsResponse is set if the target must have a long response.
	needsResponse bool
}

// overlongFactor is the length of an overlong body as a multiple of the limit.
const overlongFactor = 4

// callerFaults are the ways in which callers keep no limit.
func callerFaults() []callerFault {
	return []callerFault{
		{name: "announced far too long", act: func(conn net.Conn, target crowdTarget) {
			writeText(conn, target.head+"Content-Length: 4294967296\r\n\r\n")
			writeBytes(conn, overlongFactor*target.bodyBytes)
		}},
		{name: "announced far too long with Expect", act: func(conn net.Conn, target crowdTarget) {
			writeText(conn, target.head+"Content-Length: 4294967296\r\nExpect: 100-continue\r\n\r\n")
			writeBytes(conn, overlongFactor*target.bodyBytes)
		}},
		{name: "chunked without end", act: actChunked},
		{name: "whole but for the last byte", act: func(conn net.Conn, target crowdTarget) {
			writeText(conn, target.head+fmt.Sprintf("Content-Length: %d\r\n\r\n", target.bodyBytes))
			writeBytes(conn, target.bodyBytes-1)
		}},
		{name: "trickled", act: actTrickled},
		{name: "pipelined after a refused body", act: actPipelined},
		{name: "long headers", act: actLongHeaders},
		{name: "HTTP/1.0", act: func(conn net.Conn, target crowdTarget) {
			writeText(conn, strings.Replace(target.head, "HTTP/1.1", "HTTP/1.0", 1)+
				fmt.Sprintf("Content-Length: %d\r\n\r\n", target.bodyBytes))
			writeBytes(conn, target.bodyBytes-1)
		}},
		{name: "long response not read", needsResponse: true, act: func(conn net.Conn, target crowdTarget) {
			for range 3 {
				writeText(conn, target.responseHead)
			}
		}},
	}
}

func actChunked(conn net.Conn, target crowdTarget) {
	writeText(conn, target.head+"Transfer-Encoding: chunked\r\n\r\n")
	for range overlongFactor * target.bodyBytes / crowdChunkBytes {
		ok := writeText(conn, fmt.Sprintf("%x\r\n", crowdChunkBytes)) && writeBytes(conn, crowdChunkBytes) &&
			writeText(conn, "\r\n")
		if !ok {
			return
		}
	}
}

// actTrickled sends half of a body, and then a byte now and then.
func actTrickled(conn net.Conn, target crowdTarget) {
	writeText(conn, target.head+fmt.Sprintf("Content-Length: %d\r\n\r\n", target.bodyBytes))
	if !writeBytes(conn, target.bodyBytes*3/4) {
		return
	}
	for range 10 {
		if !writeBytes(conn, 1) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// actPipelined sends a body above the limit whose rest is made of further requests with bodies of their own.
func actPipelined(conn net.Conn, target crowdTarget) {
	writeText(conn, target.head+fmt.Sprintf("Content-Length: %d\r\n\r\n", overlongFactor*target.bodyBytes))
	inner := target.head + "Content-Length: 65536\r\n\r\n"
	for range 2 * target.bodyBytes / crowdChunkBytes {
		if !writeText(conn, inner) || !writeBytes(conn, crowdChunkBytes) {
			return
		}
	}
}

// actLongHeaders sends headers of 1 MB and not their end.
func actLongHeaders(conn net.Conn, target crowdTarget) {
	writeText(conn, target.head)
	line := strings.Repeat("x", 4000)
	for i := range 256 {
		if !writeText(conn, fmt.Sprintf("X-Long-%d: %s\r\n", i, line)) {
			return
		}
	}
}

// requireWithin checks the bounds that follow from the settings of the process: its memory, and three quarters of its
// descriptors, as the others are for servers, the store and peers.
func (p *Proc) requireWithin(memoryMB int64, descriptors int) {
	p.t.Helper()
	require.False(p.t, p.HasExited(), "%s has ended", p.Name)
	peak, open := p.PeakRSS(), p.OpenDescriptors()
	p.t.Logf("%s: peak memory %.1f MB of %d, descriptors %d of %d", p.Name, float64(peak)/(1<<20), memoryMB, open, descriptors)
	require.LessOrEqual(p.t, peak, memoryMB<<20, "peak memory of %s in bytes", p.Name)
	require.LessOrEqual(p.t, open, descriptors*3/4, "open descriptors of %s", p.Name)
}
