package instances

import (
	"encoding/json"
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// Limits of the history that a Cache keeps for deltas. With 428 failures and replacements a day it covers about a day.
// A process that is further behind gets the complete list.
const (
	maxRemovals = 1024
	maxVersions = 1024
)

// Delta holds the changes since an older version of the list. It may include entries that the receiver already has.
type Delta struct {
	// Version is the version of the list after the delta.
	Version int64 `json:"version"`
	// Complete means that Changed is the whole list: no other instances exist.
	Complete bool       `json:"whole,omitempty"`
	Changed  []Instance `json:"changed,omitempty"`
	Removed  []string   `json:"removed,omitempty"`
}

type versionedInstance struct {
	Instance
	version int64
}

type removal struct {
	name    string
	version int64
}

// Cache is a process's copy of the instance list. It applies complete lists from the platform and deltas from other
// processes, and produces deltas for other processes. A list or delta that is not newer has no effect. It is safe for
// concurrent use.
type Cache struct {
	list atomic.Pointer[List]

	mu      sync.Mutex
	version int64
	entries map[string]versionedInstance
	removed []removal
	// versions holds the most recent versions of this copy, in order. A version that this copy skipped may have
	// contained other instances, so a process with such a version gets the complete list instead of a delta.
	versions []int64
	changed  chan struct{}
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{entries: map[string]versionedInstance{}, changed: make(chan struct{})}
}

// List returns the current list, sorted by name. It must not be modified.
func (c *Cache) List() List {
	if l := c.list.Load(); l != nil {
		return *l
	}
	return List{}
}

// Version returns the version of the current list, 0 before the first.
func (c *Cache) Version() int64 { return c.List().Version }

// Changed returns a channel that is closed at the next change.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// ApplyList applies a complete list from the platform.
func (c *Cache) ApplyList(l List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(&Delta{Version: l.Version, Complete: true, Changed: l.Instances})
}

// DeltaError reports that a delta of another process cannot be decoded.
type DeltaError struct{ Cause error }

func (e *DeltaError) Error() string {
	return "delta of the instance list cannot be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DeltaError) Unwrap() error { return e.Cause }

// ApplyDelta applies a delta that DeltaSince of another process returned; it fails with a *DeltaError.
func (c *Cache) ApplyDelta(raw json.RawMessage) error {
	var d Delta
	if err := json.Unmarshal(raw, &d); err != nil {
		return merry.Wrap(&DeltaError{Cause: err})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(&d)
	return nil
}

// DeltaSince returns the delta for a process with the given version, nil if that is not older.
func (c *Cache) DeltaSince(version int64) json.RawMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version >= c.version {
		return nil
	}
	_, retained := slices.BinarySearch(c.versions, version)
	d := Delta{Version: c.version, Complete: !retained}
	for _, e := range c.entries {
		if d.Complete || e.version > version {
			d.Changed = append(d.Changed, e.Instance)
		}
	}
	for _, r := range c.removed {
		if !d.Complete && r.version > version {
			d.Removed = append(d.Removed, r.name)
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

// apply applies a delta. The caller holds c.mu.
func (c *Cache) apply(d *Delta) {
	if d.Version <= c.version {
		return
	}
	c.version = d.Version
	c.versions = append(c.versions, d.Version)
	if excess := len(c.versions) - maxVersions; excess > 0 {
		c.versions = slices.Clone(c.versions[excess:])
	}
	// An instance may have been removed and added again, so removals are applied first.
	for _, name := range d.Removed {
		c.remove(name)
	}
	present := make(map[string]bool, len(d.Changed))
	for _, i := range d.Changed {
		present[i.Name] = true
		if c.entries[i.Name].Instance != i {
			c.entries[i.Name] = versionedInstance{Instance: i, version: d.Version}
		}
	}
	if d.Complete {
		for name := range c.entries {
			if !present[name] {
				c.remove(name)
			}
		}
	}
	c.publish()
}

func (c *Cache) remove(name string) {
	if _, ok := c.entries[name]; !ok {
		return
	}
	delete(c.entries, name)
	c.removed = append(c.removed, removal{name: name, version: c.version})
	if excess := len(c.removed) - maxRemovals; excess > 0 {
		c.dropVersionsBefore(c.removed[excess-1].version)
		c.removed = slices.Clone(c.removed[excess:])
	}
}

// dropVersionsBefore drops the versions before the given one, because the history no longer holds all removals since
// them.
func (c *Cache) dropVersionsBefore(version int64) {
	i, _ := slices.BinarySearch(c.versions, version)
	c.versions = slices.Clone(c.versions[i:])
}

func (c *Cache) publish() {
	l := &List{Version: c.version, Instances: make([]Instance, 0, len(c.entries))}
	for _, e := range c.entries {
		l.Instances = append(l.Instances, e.Instance)
	}
	sortByName(l.Instances)
	c.list.Store(l)
	close(c.changed)
	c.changed = make(chan struct{})
}
