package store

import (
	"sync"

	"lavendermoor.example/api/operatorv1"
)

// maxIndexedOperations bounds the operation IDs kept in memory. The log holds fewer changes than that.
const maxIndexedOperations = 2000

// opIndex indexes the operations of the retained log up to the revision highest.
type opIndex struct {
	mu      sync.Mutex
	highest int64
	ops     map[string]*operatorv1.Change
	// order lists the operation IDs by revision, the lowest first.
	order []string
}

// add adds the change that follows the indexed ones. Any other change is ignored.
func (x *opIndex) add(c *operatorv1.Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.GetRevision() == x.highest+1 {
		x.insert(c)
	}
}

// addFromLog adds a change that was read from the log after highest. If revisions are missing before it, the indexed
// records are not part of the retained log, and the index is cleared. This happens when a write takes effect long after
// its response was lost and recreates a trimmed record.
func (x *opIndex) addFromLog(c *operatorv1.Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.GetRevision() > x.highest+1 {
		x.ops, x.order = map[string]*operatorv1.Change{}, nil
	}
	if c.GetRevision() > x.highest {
		x.insert(c)
	}
}

func (x *opIndex) insert(c *operatorv1.Change) {
	x.highest = c.GetRevision()
	id := c.GetOperationId()
	x.ops[id] = &operatorv1.Change{
		Revision: c.GetRevision(), OperationId: id, Author: c.GetAuthor(), Comment: c.GetComment(),
	}
	x.order = append(x.order, id)
	if len(x.order) > maxIndexedOperations {
		delete(x.ops, x.order[0])
		x.order = x.order[1:]
	}
}

func (x *opIndex) highestRevision() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.highest
}

func (x *opIndex) find(id string) *operatorv1.Change {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ops[id]
}
