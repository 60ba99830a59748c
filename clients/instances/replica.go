package instances

import (
	"encoding/json"
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// Bounds of what a Replica remembers, for the deltas it gives. At 428 failures and replacements a day they cover
// about a day; a process that lacks more gets the whole list.
const (
	keptRemovals = 1024
	keptVersions = 1024
)

// Delta is what a process with an older version of the list lacks. It may repeat what that process has.
type Delta struct {
	// Version is the list's version after the delta.
	Version int64 `json:"version"`
	// Whole says that instances which are not in Changed do not exist.
	Whole   bool       `json:"whole,omitempty"`
	Changed []Instance `json:"changed,omitempty"`
	Removed []string   `json:"removed,omitempty"`
}

type dated struct {
	Instance
	version int64
}

type removal struct {
	name    string
	version int64
}

// Replica is a process's copy of the instance list. It takes whole lists from the platform and deltas from other
// processes, and gives deltas to other processes. A list or delta that is not newer has no effect. All methods may
// be called from any goroutine.
type Replica struct {
	list atomic.Pointer[List]

	mu      sync.Mutex
	version int64
	entries map[string]dated
	removed []removal
	// seen are the last versions that this copy has had, in order. A version that it skipped may have held
	// instances, or lacked some, in between, so no delta can be given to a process that has it.
	seen    []int64
	changed chan struct{}
}

// NewReplica returns an empty copy.
func NewReplica() *Replica {
	return &Replica{entries: map[string]dated{}, changed: make(chan struct{})}
}

// List returns the present list, sorted by name. It must not be changed.
func (r *Replica) List() List {
	if l := r.list.Load(); l != nil {
		return *l
	}
	return List{}
}

// Version returns the version of the present list, 0 before the first.
func (r *Replica) Version() int64 { return r.List().Version }

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Observe takes a whole list that the platform gave.
func (r *Replica) Observe(l List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(&Delta{Version: l.Version, Whole: true, Changed: l.Instances})
}

// DeltaError says that a delta of another process cannot be read.
type DeltaError struct{ Cause error }

func (e *DeltaError) Error() string {
	return "delta of the instance list cannot be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DeltaError) Unwrap() error { return e.Cause }

// Take takes a delta in the form that Since returns; it fails with a *DeltaError.
func (r *Replica) Take(raw json.RawMessage) error {
	var d Delta
	if err := json.Unmarshal(raw, &d); err != nil {
		return merry.Wrap(&DeltaError{Cause: err})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(&d)
	return nil
}

// Since returns what a process with the version lacks, nil for nothing.
func (r *Replica) Since(version int64) json.RawMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version >= r.version {
		return nil
	}
	_, had := slices.BinarySearch(r.seen, version)
	d := Delta{Version: r.version, Whole: !had}
	for _, e := range r.entries {
		if d.Whole || e.version > version {
			d.Changed = append(d.Changed, e.Instance)
		}
	}
	for _, x := range r.removed {
		if !d.Whole && x.version > version {
			d.Removed = append(d.Removed, x.name)
		}
	}
	sortByName(d.Changed)
	raw, err := json.Marshal(d)
	if err != nil {
		return nil // Strings and integers always marshal.
	}
	return raw
}

func sortByName(list []Instance) {
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
}

// apply changes the copy. The caller holds r.mu.
func (r *Replica) apply(d *Delta) {
	if d.Version <= r.version {
		return
	}
	r.version = d.Version
	r.seen = append(r.seen, d.Version)
	if excess := len(r.seen) - keptVersions; excess > 0 {
		r.seen = slices.Clone(r.seen[excess:])
	}
	// An instance may have been removed and come back since, so removals go first.
	for _, name := range d.Removed {
		r.remove(name)
	}
	present := make(map[string]bool, len(d.Changed))
	for _, i := range d.Changed {
		present[i.Name] = true
		if r.entries[i.Name].Instance != i {
			r.entries[i.Name] = dated{Instance: i, version: d.Version}
		}
	}
	if d.Whole {
		for name := range r.entries {
			if !present[name] {
				r.remove(name)
			}
		}
	}
	r.publish()
}

func (r *Replica) remove(name string) {
	if _, ok := r.entries[name]; !ok {
		return
	}
	delete(r.entries, name)
	r.removed = append(r.removed, removal{name: name, version: r.version})
	if excess := len(r.removed) - keptRemovals; excess > 0 {
		r.forgetUntil(r.removed[excess-1].version)
		r.removed = slices.Clone(r.removed[excess:])
	}
}

// forgetUntil drops the versions before the one given: removals after them are not all remembered any more.
func (r *Replica) forgetUntil(version int64) {
	i, _ := slices.BinarySearch(r.seen, version)
	r.seen = slices.Clone(r.seen[i:])
}

func (r *Replica) publish() {
	l := &List{Version: r.version, Instances: make([]Instance, 0, len(r.entries))}
	for _, e := range r.entries {
		l.Instances = append(l.Instances, e.Instance)
	}
	sortByName(l.Instances)
	r.list.Store(l)
	close(r.changed)
	r.changed = make(chan struct{})
}
