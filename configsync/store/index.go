package store

import (
	"sync"

	"lavendermoor.example/api/operatorv1"
)

// maxIndexedOperations is the number of operation IDs kept in memory; the log holds fewer changes than that.
const maxIndexedOperations = 2000

// opIndex knows the operations of the kept log up to revision hi.
type opIndex struct {
	mu      sync.Mutex
	highest int64
	ops     map[string]*operatorv1.Change
	order   []string
}

// add takes the change after the indexed ones; a change that leaves a gap is ignored.
func (x *opIndex) add(c *operatorv1.Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.GetRevision() == x.highest+1 {
		x.insert(c)
	}
}

// addFromLog takes a change read from the log after hi. A gap means that the records before it do not belong to the
// kept log: a write that took effect long after its answer was lost can recreate a record that was trimmed.
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
