package side

import (
	"sync"

	"lavendermoor.example/clients/instances"
)

// LeavingWatcher calls a function once when the state of this process in the instance list changes from live to
// leaving. The list is delayed. After a restart it may still show the previous process as leaving, so that state is
// ignored until the list has shown this process as live.
type LeavingWatcher struct {
	name, address string
	onLeaving     func()

	mu       sync.Mutex
	seenLive bool
	reported bool
}

// NewLeavingWatcher returns a watcher for the process with the given name and peer address.
func NewLeavingWatcher(name, address string, onLeaving func()) *LeavingWatcher {
	return &LeavingWatcher{name: name, address: address, onLeaving: onLeaving}
}

// Observe processes an instance list. It is safe for concurrent use.
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
