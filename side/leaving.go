package side

import (
	"sync"

	"lavendermoor.example/clients/instances"
)

// LeavingWatcher calls a function once when the instance list turns this process from live to leaving. The list
// lags, so after a restart it may still show the predecessor as leaving; a process that was not seen live since
// its start therefore goes on.
type LeavingWatcher struct {
	name, address string
	onLeaving     func()

	mu       sync.Mutex
	seenLive bool
	reported bool
}

// NewLeavingWatcher returns a watch for the process of the given name and peer address.
func NewLeavingWatcher(name, address string, onLeaving func()) *LeavingWatcher {
	return &LeavingWatcher{name: name, address: address, onLeaving: onLeaving}
}

// Observe takes a list. It may be called from any goroutine.
func (w *LeavingWatcher) Observe(l instances.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range l.Instances {
		if i.Name != w.name || i.Address != w.address {
			continue
		}
		w.seenLive = w.seenLive || i.State == instances.Live
		if w.seenLive && i.State == instances.Leaving && !w.reported {
			w.reported = true
			w.onLeaving()
		}
	}
}
