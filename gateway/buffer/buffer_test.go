package buffer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// heldBody is a body of which the beginning has arrived. Its reader ends when its share is evicted.
type heldBody struct {
	arrived io.Reader
	evicted chan struct{}
}

var errEvicted = errors.New("evicted")

func (h *heldBody) Read(p []byte) (int, error) {
	if n, err := h.arrived.Read(p); err == nil {
		return n, nil
	}
	<-h.evicted
	return 0, errEvicted
}

// hold starts to read a body of the given announced length of which the beginning has arrived, for an owner. The returned
// channel gets the result.
func hold(b *Budget, announced, arrived int64, owner string) <-chan error {
	body := &heldBody{arrived: bytes.NewReader(make([]byte, arrived)), evicted: make(chan struct{})}
	done := make(chan error, 1)
	go func() {
		_, share, err := ReadBody(context.Background(), Body{
			Reader: body, Announced: announced, Limit: announced,
			NewShare: func() *Share { return b.NewShare(func() { close(body.evicted) }, time.Now(), owner) },
		})
		if share != nil {
			share.Close()
		}
		done <- err
	}()
	return done
}

// waitForEnd lets time pass until all bodies have ended.
func waitForEnd(b *Budget, bodies []<-chan error) {
	for _, done := range bodies {
		for len(done) == 0 {
			time.Sleep(evictInterval)
			b.EvictStalled(time.Now())
		}
	}
}

// read reads a body that has arrived whole.
func read(t *testing.T, b *Budget, size, announced, limit int64, owner string) error {
	t.Helper()
	body, share, err := ReadBody(context.Background(), Body{
		Reader: strings.NewReader(strings.Repeat("x", int(size))), Announced: announced, Limit: limit,
		NewShare: func() *Share { return b.NewShare(func() {}, time.Now(), owner) },
	})
	if err == nil {
		require.Len(t, body, int(size))
	}
	if share != nil {
		share.Close()
	}
	return err
}

// Guards against charges that are lost, or kept, when a body ends: with and without an announced length, short, at the
// limit and above it, and cut off.
func TestBodiesReturnWhatTheyHold(t *testing.T) {
	const limit = 300 << 10
	b := NewBudget(1 << 20)
	var tooLarge *TooLargeError
	for _, size := range []int64{0, 1, firstBytes, Free, Free + 1, 4 * Free, limit - 1, limit} {
		require.NoError(t, read(t, b, size, -1, limit, "a"), size)
		require.NoError(t, read(t, b, size, size, limit, "a"), size)
		require.ErrorIs(t, read(t, b, size, size+1, limit+1, "a"), io.ErrUnexpectedEOF, size)
		require.Zero(t, b.Held())
	}
	require.ErrorAs(t, read(t, b, limit+1, -1, limit, "a"), &tooLarge)
	require.ErrorAs(t, read(t, b, 0, limit+1, limit, "a"), &tooLarge)
	require.Zero(t, b.Held())
	require.Empty(t, b.byOwner)
	require.Empty(t, b.shares)
}

// Guards against a process that accepts no body of the maximum size because its memory is small.
func TestOneBodyIsAcceptedHoweverSmallTheBudgetIs(t *testing.T) {
	require.NoError(t, read(t, NewBudget(0), 4<<20, -1, 4<<20, "a"))
}

// Guards against memory that is charged for what is announced and has not arrived.
func TestAnnouncedLengthIsNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(64 << 20)
		done := hold(b, 4<<20, Free+1, "a")
		synctest.Wait()
		require.LessOrEqual(t, b.Held(), int64(growthFactor*Free))
		time.Sleep(idleTimeout + time.Second)
		b.EvictStalled(time.Now())
		require.ErrorIs(t, <-done, errEvicted, "a body without progress loses its bytes although none waits")
		require.Zero(t, b.Held())
	})
}

// Guards against callers that hold bodies back and so keep others from being served, and against bodies that wait for each
// other without end.
func TestStalledBodiesGiveWayToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 1 << 20
		b := NewBudget(4 * size)
		var stalled []<-chan error
		for i := range 40 {
			stalled = append(stalled, hold(b, size, size-1, string(rune('a'+i))))
		}
		synctest.Wait()
		require.LessOrEqual(t, b.Held(), int64(bodiesFraction*4*size))
		time.Sleep(pressureIdleTimeout + time.Millisecond)
		require.NoError(t, read(t, b, growthFactor*Free, -1, size, "sound"))
		waitForEnd(b, stalled)
		require.Zero(t, b.Held())
		require.Zero(t, b.waiting)
	})
}

// Guards against a body that finds no room because others are held back, also if these have not waited themselves.
func TestStalledBodiesAreEvictedForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = growthFactor * Free
		b := NewBudget(8 * size)
		var stalled []<-chan error
		for i := range 6 {
			stalled = append(stalled, hold(b, size, size-1, string(rune('a'+i))))
		}
		synctest.Wait()
		require.Equal(t, int64(bodiesFraction*8*size), b.Held())
		require.NoError(t, read(t, b, size, size, size, "sound"))
		for _, done := range stalled {
			require.ErrorIs(t, <-done, errEvicted)
		}
		require.Zero(t, b.Held())
	})
}

// Guards against one customer or address whose bodies take the whole budget.
func TestOneOwnerCannotTakeTheWholeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 256 << 10
		b := NewBudget(4 << 20)
		var held []<-chan error
		for range 32 {
			held = append(held, hold(b, size, size-1, "greedy"))
		}
		synctest.Wait()
		require.LessOrEqual(t, b.Held(), int64(ownerFraction*(4<<20)))
		require.NoError(t, read(t, b, size, size, size, "other"), "there is room without any wait")
		waitForEnd(b, held)
		require.Zero(t, b.Held())
	})
}

// Guards against a body that waits without end for memory that complete bodies keep.
func TestWaitForCompleteBodiesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(1 << 20)
		kept := b.NewShare(func() { t.Error("a complete body is not evicted") }, time.Now(), "a")
		require.NoError(t, kept.Grow(t.Context(), 1<<20))
		kept.Complete()
		var exhausted *ExhaustedError
		require.ErrorAs(t, read(t, b, 1<<20, 1<<20, 1<<20, "b"), &exhausted)
		require.Zero(t, b.waiting)
		kept.Close()
		require.NoError(t, read(t, b, 1<<20, 1<<20, 1<<20, "b"))
	})
}

// Guards against a body that arrives fast at first and then a byte now and then: it must not keep its bytes from others
// on the strength of its mean rate.
func TestFastStartDoesNotKeepAStalledBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(8 << 20)
		share := b.NewShare(func() {}, time.Now(), "a")
		defer share.Close()
		require.NoError(t, share.Grow(t.Context(), 3<<20))
		share.Progress(3<<20, time.Now())
		for range 6 {
			time.Sleep(pressureIdleTimeout * 9 / 10)
			share.Progress(1, time.Now())
		}
		require.True(t, share.isSlow(time.Now()))
	})
}

// Guards against a body that has lost its share and then takes more of the memory that others wait for.
func TestEvictedBodyTakesNoMoreBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(8 << 20)
		share := b.NewShare(func() {}, time.Now(), "a")
		defer share.Close()
		require.NoError(t, share.Grow(t.Context(), 1<<20))
		time.Sleep(2 * idleTimeout)
		b.EvictStalled(time.Now())
		require.True(t, share.Evicted())
		start := time.Now()
		var exhausted *ExhaustedError
		require.ErrorAs(t, share.Grow(t.Context(), 1<<20), &exhausted)
		require.Zero(t, time.Since(start))
	})
}
