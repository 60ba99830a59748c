package callers

import (
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/cmd/internal/process"
	"lavendermoor.example/telemetry"
)

// Limits bound what callers may send. A value of 0 stands for the default.
type Limits struct {
	HeaderBytes int64
	// HeaderTimeout is how long a header may take, from its first byte. IdleTimeout is how long a connection may be idle.
	HeaderTimeout, IdleTimeout time.Duration
}

// Defaults of Limits.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderBytes   = 64 << 10
)

const (
	// headerSlack is what net/http may read beyond the header: the size of its read buffer.
	headerSlack = 4 << 10
	// writeStallTimeout is the time without progress after which a caller that does not read loses its connection. With
	// full socket buffers of socketBufferBytes, it cuts callers that read less than 5 KB a second.
	writeStallTimeout = 20 * time.Second
	// socketBufferBytes is the size of the kernel's buffers of a caller's connection. By default, the kernel lets them
	// grow to several megabytes for a caller that does not read its response.
	socketBufferBytes = 128 << 10
	// fullIdleFraction is the part of the idle time after which idle connections are closed while no more connections are
	// accepted. Callers may reuse a connection after four fifths of the idle time.
	fullIdleFraction = 0.9
	// reapInterval is the interval at which connections beyond their time are closed.
	reapInterval = 100 * time.Millisecond
	// closedLogInterval is the smallest interval of the log lines about connections that were closed.
	closedLogInterval = 5 * time.Second
	// refusalWriteTime bounds the write of a refusal to a connection that is then closed.
	refusalWriteTime = 100 * time.Millisecond
	// lingerTime is how long a refused connection stays open for the caller to receive the refusal: unread bytes reset a
	// connection when it is closed.
	lingerTime = 500 * time.Millisecond
)

const (
	// controlDescriptors are the parts of the descriptors that the readiness and the control port may use, each an eighth,
	// see telemetry.Serve.
	controlDescriptors = 0.25
	// reservedDescriptors are kept for the store, the peers, the agents of the ranks and the health checks of servers.
	reservedDescriptors = 64
	// minConnections is the smallest bound on the connections of callers.
	minConnections = 16
	// connectionBytes is the memory of a connection with a long header and a body of buffer.Free: two buffers of
	// net/http, two stacks, the header as bytes and as strings, and the body.
	connectionBytes = 64 << 10
	// connectionsMemoryFraction is the part of the memory for connections.
	connectionsMemoryFraction = 0.4
)

// MaxConnections returns the bound on the connections of callers of a process that may open the given number of
// descriptors and use the given memory in MiB. Each request may need a second descriptor for the connection to its server.
func MaxConnections(descriptors int64, memoryMB float64) int64 {
	byDescriptors := (int64((1-controlDescriptors)*float64(descriptors)) - reservedDescriptors) / 2
	byMemory := int64(connectionsMemoryFraction * memoryMB * (1 << 20) / connectionBytes)
	return max(min(byDescriptors, byMemory), minConnections)
}

// closeReason is why a connection of a caller was closed.
type closeReason int

const (
	closedIdle closeReason = iota
	closedHeaderTime
	closedHeaderBytes
	closedWriteStalled
	closeReasons
)

func (r closeReason) String() string {
	return [closeReasons]string{"idle", "header_time", "header_bytes", "write_stalled"}[r]
}

func (t *Tracker) maxHeaderBytes() int64 {
	if limit := t.opts.Limits().HeaderBytes; limit > 0 {
		return min(limit, math.MaxInt64-headerSlack) + headerSlack
	}
	return defaultHeaderBytes + headerSlack
}

// timeouts returns how long a connection may be idle, also if it has had no request yet, and how long a header may take.
func (t *Tracker) timeouts() (idle, unused, header time.Duration) {
	l := t.opts.Limits()
	idle, header = defaultIdleTimeout, defaultHeaderTimeout
	if l.IdleTimeout > 0 {
		idle = l.IdleTimeout
	}
	if l.HeaderTimeout > 0 {
		header = l.HeaderTimeout
	}
	unused = idle
	if full := t.opts.MaxConnections; full > 0 && int64(len(t.open)) >= full {
		idle, unused = time.Duration(fullIdleFraction*float64(idle)), min(header, idle)
	}
	return idle, unused, header
}

// closeOverdue closes the connections that were idle, or whose header has been incomplete, for too long. An unused
// connection is one that a caller has opened in advance.
func (t *Tracker) closeOverdue(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle, unused, header := t.timeouts()
	for c := range t.open {
		age := now.Sub(c.since)
		switch {
		case c.closed:
		case c.phase == phaseHeader && age > header:
			// A response would promise that the request does not run, but its last byte may just have been read.
			t.closed[closedHeaderTime]++
			c.shut()
		case c.phase == phaseIdle && (age > idle || !c.used && age > unused):
			t.closed[closedIdle]++
			c.shut()
		}
	}
}

// refuseHeader ends a connection whose header is above the limit. It is called by the goroutine that reads the header, so
// that the request is not served. t.mu must be held.
func (t *Tracker) refuseHeader(c *conn) {
	t.closed[closedHeaderBytes]++
	c.closed, c.refused = true, true
	go c.respondAndClose(http.StatusRequestHeaderFieldsTooLarge)
}

// respondAndClose sends a response without a body, and closes the connection when the caller had time to receive it.
func (c *conn) respondAndClose(status int) {
	if !c.tracker.opts.TLS {
		c.respond(status)
	}
	_ = c.Conn.Close() // An error means that the connection is already broken.
}

func (c *conn) respond(status int) {
	line := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, err := c.Conn.Write([]byte(line + "Content-Length: 0\r\nConnection: close\r\n\r\n"))
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && err == nil {
		_ = half.CloseWrite() // As above.
		time.Sleep(lingerTime)
	}
}

func (t *Tracker) count(reason closeReason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed[reason]++
}

// closedCount returns how many connections were closed for a reason.
func (t *Tracker) closedCount(reason closeReason) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed[reason]
}

func (t *Tracker) openCount() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(len(t.open))
}

// Run closes overdue connections until the context ends, and logs how many connections were closed because of a limit.
func (t *Tracker) Run(ctx context.Context, log *zap.Logger) {
	var logged [closeReasons]int64
	lastLog := time.Time{}
	for ctx.Err() == nil {
		process.Sleep(ctx, reapInterval)
		now := time.Now()
		t.closeOverdue(now)
		if now.Sub(lastLog) < closedLogInterval {
			continue
		}
		lastLog = now
		logged = t.logClosed(log, logged)
	}
}

// logClosed logs the connections closed since the counts before, without the idle ones, and returns the counts.
func (t *Tracker) logClosed(log *zap.Logger, before [closeReasons]int64) [closeReasons]int64 {
	t.mu.Lock()
	closed := t.closed
	t.mu.Unlock()
	var fields []zap.Field
	for r := closedHeaderTime; r < closeReasons; r++ {
		if n := closed[r] - before[r]; n > 0 {
			fields = append(fields, zap.Int64(r.String(), n))
		}
	}
	if len(fields) > 0 {
		log.Info("connections of callers closed because of a limit", fields...)
	}
	return closed
}

// Instruments are the metrics of the tracker.
func (t *Tracker) Instruments() []telemetry.Instrument {
	list := []telemetry.Instrument{{
		Name: t.opts.MetricPrefix + ".connections", Description: "Open connections of callers.", Value: t.openCount,
	}}
	for r := range closeReasons {
		list = append(list, telemetry.Instrument{
			Name: t.opts.MetricPrefix + ".closed_" + r.String(), Counter: true,
			Description: "Connections of callers that were closed because of a limit.",
			Value:       func() int64 { return t.closedCount(r) },
		})
	}
	return list
}

// LimitSocketBuffers bounds the kernel's buffers of the connections that are accepted from l.
func LimitSocketBuffers(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		for _, option := range []int{syscall.SO_SNDBUF, syscall.SO_RCVBUF} {
			if setErr == nil {
				setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, socketBufferBytes)
			}
		}
	})
	if err != nil {
		return err
	}
	return setErr
}
