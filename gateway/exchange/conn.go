package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	readBufferSize = 4 << 10
	// keepAliveMargin is taken off the idle time that a server announces, for the way of the next request.
	keepAliveMargin = 700 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept when the server announces nothing: less than the second that it could
	// announce.
	defaultIdleTimeout = 800 * time.Millisecond
)

// conn is one connection to a server. It is used by one request at a time.
type conn struct {
	net     net.Conn
	limited *limitedReader
	reader  *bufio.Reader
	reused  bool
	// expires is the time from which the server may close the idle connection.
	expires time.Time
}

func newConn(c net.Conn) *conn {
	limited := &limitedReader{r: c}
	return &conn{net: c, limited: limited, reader: bufio.NewReaderSize(limited, readBufferSize)}
}

// abort closes a connection on which an exchange has not ended. The reset makes bytes that have not reached the server
// yet get lost: a request written to an instance that stands still would otherwise run there after its caller has left.
func (c *conn) abort() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		// A connection that is closed already cannot be reset, and needs not to be.
		_ = tcp.SetLinger(0)
	}
	c.net.Close()
}

// usable says whether an idle connection is open and silent. Bytes that wait on it belong to no request.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// markIdle sets how long the connection may stay idle after an answer and says whether it can be used again.
func (c *conn) markIdle(closing bool, idle time.Duration, now time.Time) bool {
	if closing || c.reader.Buffered() > 0 {
		return false
	}
	c.reused = true
	c.expires = now.Add(idle)
	return idle > 0
}

func idleTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(s)*time.Second - keepAliveMargin
		}
	}
	return defaultIdleTimeout
}

// dial opens a connection on which a peer that has gone silent is noticed within about two seconds.
func dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2,
		},
		Control: setUserTimeout,
	}
	return d.DialContext(ctx, "tcp", address)
}

const (
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout    = 1500 * time.Millisecond
	tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT of linux/tcp.h
)

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(ctlErr, err)
}

// readResponse reads the head of the answer to a request and passes over interim ones. It fails with a *HeadError, an
// *InterimError or the errors of the connection and of http.ReadResponse.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	c.limited.limitHeader()
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			c.limited.removeLimit()
			return resp, nil
		}
	}
	return nil, merry.Wrap(&InterimResponseError{Limit: maxInterimResponses})
}

// drain reads what is left of a body, up to a bound, and says whether its end was reached.
func drain(body io.Reader) bool {
	const maxBytes = 64 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxBytes))
	return err == nil && n < maxBytes
}
