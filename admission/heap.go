package admission

// indexedHeap is a binary min-heap whose elements store their position, so that any element can be removed or moved in
// logarithmic time. Stored positions are one-based; 0 means that the element is not in the heap.
type indexedHeap[T any] struct {
	list []T
	less func(a, b T) bool
	pos  func(T) *int32
}

func (h *indexedHeap[T]) empty() bool { return len(h.list) == 0 }

func (h *indexedHeap[T]) min() T { return h.list[0] }

func (h *indexedHeap[T]) contains(v T) bool { return *h.pos(v) != 0 }

func (h *indexedHeap[T]) push(v T) {
	h.list = append(h.list, v)
	h.place(len(h.list)-1, v)
	h.up(len(h.list) - 1)
}

func (h *indexedHeap[T]) remove(v T) {
	i := int(*h.pos(v)) - 1
	last := len(h.list) - 1
	moved := h.list[last]
	var none T
	h.list[last] = none
	h.list = h.list[:last]
	*h.pos(v) = 0
	if i != last {
		h.place(i, moved)
		h.fix(moved)
	}
}

// fix restores the heap order after the key of v has changed.
func (h *indexedHeap[T]) fix(v T) {
	i := int(*h.pos(v)) - 1
	h.up(i)
	h.down(int(*h.pos(v)) - 1)
}

func (h *indexedHeap[T]) place(i int, v T) {
	h.list[i] = v
	*h.pos(v) = int32(i + 1)
}

func (h *indexedHeap[T]) up(i int) {
	v := h.list[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(v, h.list[parent]) {
			break
		}
		h.place(i, h.list[parent])
		i = parent
	}
	h.place(i, v)
}

func (h *indexedHeap[T]) down(i int) {
	v := h.list[i]
	for {
		child := 2*i + 1
		if child >= len(h.list) {
			break
		}
		if child+1 < len(h.list) && h.less(h.list[child+1], h.list[child]) {
			child++
		}
		if !h.less(h.list[child], v) {
			break
		}
		h.place(i, h.list[child])
		i = child
	}
	h.place(i, v)
}
