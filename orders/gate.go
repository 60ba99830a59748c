package orders

import (
	"context"
	"fmt"
	"sync"

	"github.com/ansel1/merry/v2"

	"lavendermoor.example/clients/kv"
)

// StaleError reports a fencing token below the floor. The order was not sent, or had no effect.
type StaleError struct{ Fence, Floor int64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("fencing number %d is below %d", e.Fence, e.Floor)
}

// FloorUnknownError reports that the floor has not been read from the lease record yet. The order was not sent.
type FloorUnknownError struct{ Server string }

func (e *FloorUnknownError) Error() string {
	return fmt.Sprintf("floor of fencing numbers of server %q is not known yet", e.Server)
}

// FencingGate checks fencing tokens on behalf of an engine that ignores them. All orders to the engine must pass
// through it. It is safe for concurrent use.
type FencingGate struct {
	server string

	mu sync.Mutex
	// floor is the lowest fencing token that is admitted.
	floor      int64
	floorKnown bool
}

// NewFencingGate returns a gate that rejects all orders until ReadFloor succeeds.
func NewFencingGate(server string) *FencingGate { return &FencingGate{server: server} }

// ReadFloor raises the floor to the fencing token in the lease record of the server, and above the tokens of earlier
// eras. It fails with the errors of kv.Store.Get or a *LeaseRecordError.
func (g *FencingGate) ReadFloor(ctx context.Context, store kv.Store) error {
	era := kv.EraOf(store)
	r, _, err := readRecord(ctx, store, LeaseKey(g.server, era))
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.floor = max(g.floor, r.Fence, era*tokensPerEra)
	g.floorKnown = true
	return nil
}

// FloorKnown reports whether ReadFloor has succeeded.
func (g *FencingGate) FloorKnown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.floorKnown
}

// Admit checks the fencing token of an order and raises the floor to it. It fails with a *StaleError or a
// *FloorUnknownError.
func (g *FencingGate) Admit(fence int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.floorKnown {
		return merry.Wrap(&FloorUnknownError{Server: g.server})
	}
	if fence < g.floor {
		return merry.Wrap(&StaleError{Fence: fence, Floor: g.floor})
	}
	g.floor = fence
	return nil
}
