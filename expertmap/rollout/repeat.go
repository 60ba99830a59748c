package rollout

import (
	"context"
	"errors"
	"time"
)

const (
	// directAttemptTimeout bounds the first attempt to send an order to a rank on another instance without its agent. The
	// response comes within a few milliseconds, but the instances run on a fraction of a core.
	directAttemptTimeout = 20 * time.Millisecond
	// maxDirectAttempts bounds the attempts because a rank's orders from other instances cost it more. With a tenth of the
	// orders lost, one order in 100,000 gets no response.
	maxDirectAttempts = 5
	// attemptTimeoutGrowth is the factor by which each attempt may take longer than the one before, so that a rank or an
	// instance that is slow for some time is not taken for one that does not respond.
	attemptTimeoutGrowth = 1.5
	// repeatDelay is the time before an order is repeated whose attempt failed before its timeout.
	repeatDelay = 5 * time.Millisecond
)

// SendRepeatedly delivers an order until it gets a response, at most the given number of times. Each attempt has a timeout,
// which grows from the given one, but the last: a rank may respond late for some time. Orders are repeatable: a rank
// confirms an order whose result already holds. An order without a Report is delivered once, because its issuer would not
// learn of an attempt that may still be executed. Errors are those of Rank.Order.
func SendRepeatedly(
	ctx context.Context, o Order, attemptTimeout time.Duration, attempts int,
	deliver func(ctx context.Context, o Order) error,
) error {
	if o.Report == nil {
		return deliver(ctx, o)
	}
	for {
		callCtx, cancel := ctx, context.CancelFunc(func() {})
		if attempts > 1 {
			callCtx, cancel = context.WithTimeout(ctx, attemptTimeout)
		}
		err := deliver(callCtx, o)
		timedOut := callCtx.Err() != nil
		cancel()
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) {
			return err
		}
		o.Report.Unanswered = true
		if attempts <= 1 || ctx.Err() != nil {
			return err
		}
		if !timedOut {
			time.Sleep(repeatDelay)
		}
		attempts, attemptTimeout = attempts-1, time.Duration(attemptTimeoutGrowth*float64(attemptTimeout))
	}
}

// repeatedly returns a function that delivers an order from another instance with SendRepeatedly.
func repeatedly(deliver func(ctx context.Context, o Order) error) func(ctx context.Context, o Order) error {
	return func(ctx context.Context, o Order) error {
		return SendRepeatedly(ctx, o, directAttemptTimeout, maxDirectAttempts, deliver)
	}
}
