package share

// queue is a binary heap of the waiting entries, by less. Each entry knows its
// place, so that a changed one moves in O(log n).
type queue[E entry[E]] struct {
	heap []E
	// frontier is kept between calls of first to spare its allocation.
	frontier []int
}

// entry is what a queue holds.
type entry[E any] interface {
	less(other E) bool
	// place returns where the queue keeps the entry's position plus one; zero
	// means that it is not queued.
	place() *int
}

// update puts e where it belongs, and adds it when it is not queued.
func (q *queue[E]) update(e E) {
	if *e.place() == 0 {
		q.heap = append(q.heap, e)
		*e.place() = len(q.heap)
	}
	i := *e.place() - 1
	if !q.up(i) {
		q.down(i)
	}
}

// remove takes e out, if it is queued.
func (q *queue[E]) remove(e E) {
	i := *e.place() - 1
	if i < 0 {
		return
	}
	last := len(q.heap) - 1
	q.swap(i, last)
	var none E
	q.heap[last] = none
	q.heap = q.heap[:last]
	*e.place() = 0
	if i < last && !q.up(i) {
		q.down(i)
	}
}

// first returns the least entry that accept accepts. It visits entries in
// order: a frontier of positions, itself a heap, starts with the root, and each
// rejected entry adds its two children. So k rejected entries cost O(k log k).
func (q *queue[E]) first(accept func(E) bool) (E, bool) {
	var none E
	if len(q.heap) == 0 {
		return none, false
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
	return none, false
}

// least returns the least entry, and false when the queue is empty.
func (q *queue[E]) least() (E, bool) {
	if len(q.heap) == 0 {
		var none E
		return none, false
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
	*q.heap[i].place() = i + 1
	*q.heap[j].place() = j + 1
}

func (q *queue[E]) pushFrontier(position int) {
	q.frontier = append(q.frontier, position)
	for i := len(q.frontier) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.before(i, parent) {
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
		if child+1 < last && q.before(child+1, child) {
			child++
		}
		if !q.before(child, i) {
			return position
		}
		q.frontier[i], q.frontier[child] = q.frontier[child], q.frontier[i]
		i = child
	}
}

func (q *queue[E]) before(i, j int) bool {
	return q.heap[q.frontier[i]].less(q.heap[q.frontier[j]])
}
