package reducer

// heapEntry is an entry of an indexedHeap. It stores its index in the heap, to which position points.
type heapEntry[E any] interface {
	before(other E) bool
	position() *int
}

// indexedHeap implements heap.Interface. Its entries store their index, so that any of them can be passed to heap.Fix
// and heap.Remove.
type indexedHeap[E heapEntry[E]] []E

func (h indexedHeap[E]) Len() int { return len(h) }

func (h indexedHeap[E]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h indexedHeap[E]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].position() = i
	*h[j].position() = j
}

func (h *indexedHeap[E]) Push(x any) {
	entry := x.(E)
	*entry.position() = len(*h)
	*h = append(*h, entry)
}

func (h *indexedHeap[E]) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	clear((*h)[last:]) // releases the entry to the garbage collector
	*h = (*h)[:last]
	return entry
}
