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

	"lavendermoor.example/clients/httpstatus"
)

const (
	readBufferSize = 4 << 10
	// keepAliveMargin is subtracted from the idle timeout that a server announces, to allow for the transmission of the
	// next request.
	keepAliveMargin = 700 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept idle when the server announces no timeout. It is less than
	// one second, the shortest timeout that a server can announce.
	defaultIdleTimeout = 800 * time.Millisecond
)

// conn is a connection to a server. It is used by one request at a time.
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

// abort resets a connection whose exchange has not ended. The reset discards bytes that have not reached the server.
// Otherwise a request written to a frozen instance would be executed after its caller has disconnected.
func (c *conn) abort() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		// A connection that is already closed cannot be reset and need not be.
		_ = tcp.SetLinger(0)
	}
	c.net.Close()
}

// usable reports whether an idle connection is open, has not expired and has no unread bytes, which would belong to no
// request.
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
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// markIdle sets how long the connection may stay idle after a response, and reports whether it can be reused. closing
// is set when one side closes the connection after the response.
func (c *conn) markIdle(closing bool, timeout time.Duration, now time.Time) bool {
	if closing || c.reader.Buffered() > 0 {
		return false
	}
	c.reused = true
	c.expires = now.Add(timeout)
	return timeout > 0
}

// idleTimeout returns how long a connection may be kept idle, given the Keep-Alive header of the last response. It is
// not positive if the connection must not be reused.
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

// dial opens a TCP connection. Keep-alive probes and userTimeout detect an unresponsive peer within about 2 s.
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
	// userTimeout bounds how long sent bytes may remain unacknowledged.
	userTimeout    = 1500 * time.Millisecond
	tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT of linux/tcp.h
)

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return applyUserTimeout(raw, userTimeout)
}

// applyUserTimeout sets how long sent bytes may remain unacknowledged, without a bound if 0.
func applyUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	return errors.Join(ctlErr, err)
}

// removeUserTimeout lets sent bytes remain unacknowledged until the connection is closed.
func (c *conn) removeUserTimeout() {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = applyUserTimeout(raw, 0) // It fails only if the connection is closed.
	}
}

// readResponse reads the header of the final response to a request and skips interim responses. It fails with a
// *HeaderTooLargeError, an *InterimResponseError, an *InvalidResponseError or the errors of the connection and of
// http.ReadResponse.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	c.limited.limitHeader()
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if !httpstatus.IsInterim(resp.StatusCode) {
			c.limited.removeLimit()
			return finalResponse(resp)
		}
		if announcesBody(resp) {
			return nil, merry.Wrap(&InvalidResponseError{Problem: "an interim answer has a body"})
		}
	}
	return nil, merry.Wrap(&InterimResponseError{Limit: maxInterimResponses})
}

// finalResponse returns a response that is not interim. It fails with an *InvalidResponseError if its status is not one of
// HTTP.
func finalResponse(resp *http.Response) (*http.Response, error) {
	if err := httpstatus.CheckFinal(resp.StatusCode); err != nil {
		return nil, merry.Wrap(&InvalidResponseError{Problem: err.Error()})
	}
	return resp, nil
}

// announcesBody reports whether the header of an interim response announces a body. http.ReadResponse takes its bytes for
// those of the next response.
func announcesBody(resp *http.Response) bool {
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) > 0 || (length != "" && length != "0")
}

// drain reads the rest of a body up to a bound and reports whether the end was reached.
func drain(body io.Reader) bool {
	const maxBytes = 64 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxBytes))
	return err == nil && n < maxBytes
}
