package budget

// queue holds the leases of one stage, or those that were evicted, in the order in which they came. Its zero value is empty.
type queue[A comparable] struct {
	first, last *Lease[A]
	length      int
}

func (q *queue[A]) pushBack(l *Lease[A]) {
	l.queue, l.previous, l.next = q, q.last, nil
	if q.last == nil {
		q.first = l
	} else {
		q.last.next = l
	}
	q.last = l
	q.length++
}

func (q *queue[A]) remove(l *Lease[A]) {
	if l.previous == nil {
		q.first = l.next
	} else {
		l.previous.next = l.next
	}
	if l.next == nil {
		q.last = l.previous
	} else {
		l.next.previous = l.previous
	}
	l.queue, l.previous, l.next = nil, nil, nil
	q.length--
}
