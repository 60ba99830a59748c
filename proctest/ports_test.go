package proctest

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an address that is in use when the program for which it was allocated listens on it, because another
// test allocates addresses at the same time.
func TestAllocatedAddressesStayFree(t *testing.T) {
	ip := loopbackIP()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				address := freeAddressOn(t, ip)
				time.Sleep(time.Millisecond)
				l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
				if err != nil {
					t.Error(err)
					return
				}
				l.Close()
			}
		})
	}
	wg.Wait()
	require.False(t, t.Failed())
}
