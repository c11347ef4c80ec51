package share

// queue is a binary min-heap of the waiting entries, ordered by less. Each entry stores
// its position, so that it can be moved in O(log n) when it changes.
type queue[E entry[E]] struct {
	heap []E
	// frontier is scratch space of firstAccepted, kept to avoid an allocation per call.
	frontier []int
}

// entry is an element of a queue.
type entry[E any] interface {
	less(other E) bool
	// positionPtr points to the entry's index in the heap plus one, or to zero if the
	// entry isn't queued.
	positionPtr() *int
}

// update moves e to its position in the heap, or adds it if it isn't queued.
func (q *queue[E]) update(e E) {
	if *e.positionPtr() == 0 {
		q.heap = append(q.heap, e)
		*e.positionPtr() = len(q.heap)
	}
	i := *e.positionPtr() - 1
	if !q.up(i) {
		q.down(i)
	}
}

// remove removes e if it is queued.
func (q *queue[E]) remove(e E) {
	i := *e.positionPtr() - 1
	if i < 0 {
		return
	}
	last := len(q.heap) - 1
	q.swap(i, last)
	var zero E
	q.heap[last] = zero
	q.heap = q.heap[:last]
	*e.positionPtr() = 0
	if i < last && !q.up(i) {
		q.down(i)
	}
}

// firstAccepted returns the least entry for which accept is true. It visits entries in
// order: the frontier is itself a heap of positions that starts with the root, and each
// rejected entry adds its two children. Rejecting k entries costs O(k log k).
func (q *queue[E]) firstAccepted(accept func(E) bool) (E, bool) {
	var zero E
	if len(q.heap) == 0 {
		return zero, false
	}
	q.frontier = append(q.frontier[:0], 0)
	for len(q.frontier) > 0 {
		i := q.popFrontier()
		if accept(q.heap[i]) {
			return q.heap[i], true
		}
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.heap); child++ {
			q.pushFrontier(child)
		}
	}
	return zero, false
}

// peek returns the least entry, or false if the queue is empty.
func (q *queue[E]) peek() (E, bool) {
	if len(q.heap) == 0 {
		var zero E
		return zero, false
	}
	return q.heap[0], true
}

func (q *queue[E]) up(i int) bool {
	moved := false
	for i > 0 {
		parent := (i - 1) / 2
		if !q.heap[i].less(q.heap[parent]) {
			break
		}
		q.swap(i, parent)
		i = parent
		moved = true
	}
	return moved
}

func (q *queue[E]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.heap) {
			return
		}
		if child+1 < len(q.heap) && q.heap[child+1].less(q.heap[child]) {
			child++
		}
		if !q.heap[child].less(q.heap[i]) {
			return
		}
		q.swap(i, child)
		i = child
	}
}

func (q *queue[E]) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	*q.heap[i].positionPtr() = i + 1
	*q.heap[j].positionPtr() = j + 1
}

func (q *queue[E]) pushFrontier(position int) {
	q.frontier = append(q.frontier, position)
	for i := len(q.frontier) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.frontierLess(i, parent) {
			return
		}
		q.frontier[i], q.frontier[parent] = q.frontier[parent], q.frontier[i]
		i = parent
	}
}

func (q *queue[E]) popFrontier() int {
	position := q.frontier[0]
	last := len(q.frontier) - 1
	q.frontier[0] = q.frontier[last]
	q.frontier = q.frontier[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return position
		}
		if child+1 < last && q.frontierLess(child+1, child) {
			child++
		}
		if !q.frontierLess(child, i) {
			return position
		}
		q.frontier[i], q.frontier[child] = q.frontier[child], q.frontier[i]
		i = child
	}
}

func (q *queue[E]) frontierLess(i, j int) bool {
	return q.heap[q.frontier[i]].less(q.heap[q.frontier[j]])
}
