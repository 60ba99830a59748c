package process

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

const (
	// listenTimeout is how long Listen waits for an address in use. A predecessor that still drains holds it for less.
	listenTimeout       = 15 * time.Second
	listenRetryInterval = 50 * time.Millisecond
)

// Listen listens on all addresses or on none. The listener of an empty address is nil. While another process holds an
// address, such as a predecessor that has not ended or an outgoing connection with that port, Listen tries again for up
// to listenTimeout. It fails with a *net.OpError, or with the error of ctx.
func Listen(ctx context.Context, log *zap.Logger, addresses ...string) ([]net.Listener, error) {
	waiting := false
	listen := func() ([]net.Listener, error) {
		listeners, err := listenOnce(ctx, addresses)
		if err != nil && !isAddressHeld(err) {
			return nil, backoff.Permanent(err)
		}
		return listeners, err
	}
	logFirst := func(err error, _ time.Duration) {
		if !waiting {
			log.Warn("waiting for an address in use", zap.Duration("timeout", listenTimeout), zap.Error(err))
		}
		waiting = true
	}
	return backoff.Retry(ctx, listen, backoff.WithBackOff(backoff.NewConstantBackOff(listenRetryInterval)),
		backoff.WithMaxElapsedTime(listenTimeout), backoff.WithNotify(logFirst))
}

// isAddressHeld reports whether an address may become available without a change of the settings. The address of an
// interface that comes up late is not available yet.
func isAddressHeld(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// listenOnce makes one attempt to listen on all addresses.
func listenOnce(ctx context.Context, addresses []string) ([]net.Listener, error) {
	out := make([]net.Listener, len(addresses))
	var lc net.ListenConfig
	for i, address := range addresses {
		if address == "" {
			continue
		}
		l, err := lc.Listen(ctx, "tcp", address)
		if err != nil {
			closeAll(out)
			return nil, err
		}
		out[i] = l
	}
	return out, nil
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		if l != nil {
			l.Close()
		}
	}
}
