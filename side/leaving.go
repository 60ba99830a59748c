package side

import (
	"sync"

	"lavendermoor.example/clients/instances"
)

// LeavingWatch calls a function once when the instance list turns this process from live to leaving. The list
// lags, so after a restart it may still show the predecessor as leaving; a process that was not seen live since
// its start therefore goes on.
type LeavingWatch struct {
	name, address string
	leave         func()

	mu       sync.Mutex
	live     bool
	reported bool
}

// NewLeavingWatch returns a watch for the process of the given name and peer address.
func NewLeavingWatch(name, address string, leave func()) *LeavingWatch {
	return &LeavingWatch{name: name, address: address, leave: leave}
}

// Observe takes a list. It may be called from any goroutine.
func (w *LeavingWatch) Observe(l instances.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range l.Instances {
		if i.Name != w.name || i.Address != w.address {
			continue
		}
		w.live = w.live || i.State == instances.Live
		if w.live && i.State == instances.Leaving && !w.reported {
			w.reported = true
			w.leave()
		}
	}
}
