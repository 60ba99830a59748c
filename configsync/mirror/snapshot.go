package mirror

import (
	"maps"

	"lavendermoor.example/clients/kv"
)

// CheckFunc returns the reason why an entry is invalid, or nil if it is valid. An invalid entry comes from another writer
// than the owner of the key. The result depends on nothing but the entry.
type CheckFunc func(e kv.Entry) error

// KeepFunc returns the reason why a valid entry does not replace an earlier valid one of the same key, or nil if it does. An
// entry that does not counts as invalid.
type KeepFunc func(earlier, e kv.Entry) error

// rules tell which entries a snapshot takes. A nil function takes all.
type rules struct {
	check CheckFunc
	keep  KeepFunc
}

// InvalidEntry describes an invalid entry.
type InvalidEntry struct {
	ModRevision int64
	// CreateRevision is that of the key, 0 if unknown.
	CreateRevision int64
	// Reason is the text of the error of CheckFunc, cut to maxReasonBytes.
	Reason string
}

const (
	// maxInvalidEntries bounds the invalid entries that a snapshot describes. The valid entry of a key is kept beside an
	// invalid one that is not described.
	maxInvalidEntries = 1 << 14
	maxReasonBytes    = 200
)

func newInvalidEntry(e kv.Entry, err error) InvalidEntry {
	reason := err.Error()
	return InvalidEntry{
		ModRevision: e.ModRevision, CreateRevision: e.CreateRevision, Reason: reason[:min(len(reason), maxReasonBytes)],
	}
}

// Snapshot is the state of all keys under a prefix. It is immutable.
type Snapshot struct {
	// At is the position in the service up to which the snapshot contains all changes. It is zero before the first
	// read.
	At kv.Position
	// ChangedAt is the position of the last change of the entries. A snapshot with a later position may have different
	// entries.
	ChangedAt kv.Position
	// Entries holds the last valid entry of each key. It remains while the key has a newer entry that is invalid.
	Entries map[string]kv.Entry
	// Invalid describes the last entry of each key whose last entry is invalid.
	Invalid map[string]InvalidEntry
	// checked is set if Entries holds only entries that a mirror, of this process or another one, has found valid.
	checked bool
	// settled is set if no peer will be asked any more for valid entries that the first read of the era did not show.
	settled bool
}

// CountUnknown returns the number of keys whose last entry is invalid and of which no valid one is known.
func (s *Snapshot) CountUnknown() int { return len(s.unknownKeys()) }

func (s *Snapshot) unknownKeys() []string {
	var keys []string
	for key := range s.Invalid {
		if _, known := s.Entries[key]; !known {
			keys = append(keys, key)
		}
	}
	return keys
}

// only returns the snapshot with the valid entries of some keys and no others.
func (s *Snapshot) only(keys []string) *Snapshot {
	out := *s
	out.Entries, out.Invalid = map[string]kv.Entry{}, nil
	for _, key := range keys {
		if e, ok := s.Entries[key]; ok {
			out.Entries[key] = e
		}
	}
	return &out
}

// newSnapshot returns the snapshot of entries whose read began at a position. It takes the last valid entry of a key whose
// entry is invalid from the previous snapshot, unless that is of another era or the key was deleted since.
func newSnapshot(entries []kv.Entry, at kv.Position, r rules, previous *Snapshot) *Snapshot {
	b := newBuilder(r, at.Era, previous)
	for _, e := range entries {
		b.put(e)
	}
	return &Snapshot{At: at, ChangedAt: at, Entries: b.entries, Invalid: b.invalid, checked: true}
}

// admit returns a snapshot of another process in the same way. Its entries are checked unless that process did so.
func (s *Snapshot) admit(r rules, previous *Snapshot) *Snapshot {
	if s.checked {
		r.check = nil
	}
	b := newBuilder(r, s.At.Era, previous)
	for _, e := range s.Entries {
		b.put(e)
	}
	for key, i := range s.Invalid {
		b.putInvalid(key, i)
	}
	return &Snapshot{
		At: s.At, ChangedAt: s.ChangedAt, Entries: b.entries, Invalid: b.invalid, checked: true, settled: s.settled,
	}
}

// complete returns the snapshot with the valid entries that another one of the same era holds for keys of which this one
// knows none, and whether there are any.
func (s *Snapshot) complete(other *Snapshot, r rules) (*Snapshot, bool) {
	if other.At.Era != s.At.Era {
		return s, false
	}
	b := s.edit(r)
	for key := range s.Invalid {
		e, ok := other.Entries[key]
		if _, known := s.Entries[key]; !known && ok && b.reason(e) == nil {
			b.putValid(e)
		}
	}
	return &Snapshot{At: s.At, ChangedAt: s.ChangedAt, Entries: b.entries, Invalid: b.invalid, checked: true}, b.changed
}

// apply returns the snapshot with events of its era applied in order, and whether any of them changed it. Events older
// than the existing entry are ignored. They occur because the pages of a read are not read atomically, so that a page may
// already contain changes that later events report again.
func (s *Snapshot) apply(events []kv.Event, at kv.Position, r rules) (*Snapshot, bool) {
	next := &Snapshot{At: s.At.Max(at), ChangedAt: s.ChangedAt, checked: s.checked}
	b := s.edit(r)
	for _, e := range events {
		next.At.Revision = max(next.At.Revision, e.ModRevision)
		if e.Deleted {
			b.remove(e.Key, e.ModRevision)
		} else {
			b.put(e.Entry)
		}
	}
	if b.changed {
		next.ChangedAt = next.At
	}
	next.Entries, next.Invalid = b.entries, b.invalid
	return next, b.changed
}

// builder builds the maps of a snapshot.
type builder struct {
	rules
	entries map[string]kv.Entry
	invalid map[string]InvalidEntry
	// former holds the entries of the previous snapshot, which are used for keys whose entry is invalid.
	former map[string]kv.Entry
	// changed is set once the maps differ from those of the edited snapshot.
	changed bool
}

// newBuilder returns a builder of a snapshot that is read as a whole in an era.
func newBuilder(r rules, era int64, previous *Snapshot) *builder {
	b := &builder{rules: r, entries: map[string]kv.Entry{}, changed: true}
	if previous != nil && previous.At.Era == era {
		b.former = previous.Entries
	}
	return b
}

// edit returns a builder of a successor of the snapshot.
func (s *Snapshot) edit(r rules) *builder {
	return &builder{rules: r, entries: s.Entries, invalid: s.Invalid}
}

func (b *builder) reason(e kv.Entry) error {
	if b.check == nil {
		return nil
	}
	return b.check(e)
}

// reasonToKeep returns the reason why an entry does not replace an earlier one that is known since the key was created, or nil.
func (b *builder) reasonToKeep(e kv.Entry) error {
	if b.keep == nil {
		return nil
	}
	earlier, known := b.entries[e.Key]
	if !known {
		earlier, known = b.former[e.Key]
	}
	if !known || earlier.ModRevision >= e.ModRevision || earlier.ModRevision < e.CreateRevision {
		return nil
	}
	return b.keep(earlier, e)
}

// touch clones the maps before the first change.
func (b *builder) touch() {
	if !b.changed {
		b.changed = true
		b.entries, b.invalid = maps.Clone(b.entries), maps.Clone(b.invalid)
	}
}

// put adds an entry unless the existing one is newer.
func (b *builder) put(e kv.Entry) {
	err := b.reason(e)
	if err == nil {
		err = b.reasonToKeep(e)
	}
	if err != nil {
		b.putInvalid(e.Key, newInvalidEntry(e, err))
		return
	}
	b.putValid(e)
}

func (b *builder) putValid(e kv.Entry) {
	if valid, known := b.entries[e.Key]; known && valid.ModRevision >= e.ModRevision {
		return
	}
	invalid, replaced := b.invalid[e.Key]
	if replaced && e.ModRevision < invalid.CreateRevision {
		return // The key was deleted between the two entries.
	}
	b.touch()
	if b.entries == nil {
		b.entries = map[string]kv.Entry{}
	}
	b.entries[e.Key] = e
	if replaced && invalid.ModRevision < e.ModRevision {
		delete(b.invalid, e.Key)
	}
}

func (b *builder) putInvalid(key string, i InvalidEntry) {
	valid, known := b.entries[key]
	current, described := b.invalid[key]
	if (known && valid.ModRevision >= i.ModRevision) || (described && current.ModRevision >= i.ModRevision) {
		return
	}
	former, ok := b.former[key]
	if ok && former.ModRevision < i.ModRevision && (!known || former.ModRevision > valid.ModRevision) {
		valid, known = former, true
		b.entries[key] = former
	}
	if known && valid.ModRevision < i.CreateRevision {
		b.touch()
		delete(b.entries, key)
	}
	if !described && len(b.invalid) >= maxInvalidEntries {
		return
	}
	b.touch()
	if b.invalid == nil {
		b.invalid = map[string]InvalidEntry{}
	}
	b.invalid[key] = i
}

// remove removes the entries of a key that are older than its deletion.
func (b *builder) remove(key string, revision int64) {
	if valid, known := b.entries[key]; known && valid.ModRevision < revision {
		b.touch()
		delete(b.entries, key)
	}
	if invalid, described := b.invalid[key]; described && invalid.ModRevision < revision {
		b.touch()
		delete(b.invalid, key)
	}
}
