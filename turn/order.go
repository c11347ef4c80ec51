package turn

import "slices"

// maxOrders bounds the orders that are remembered. With 90 engines one takes some
// 800 bytes.
const maxOrders = 2048

// ordered returns the engines in the order in which a demand belongs to them: all, or
// those of its group. The result isn't to be changed.
//
// Beginnings are used again and again. Working an order out takes 23 us for 90
// engines, as long as two events of a stream on their way through a router, and was
// done for each request at its router and at its home.
func (p *Pool) ordered(d *Demand) []*engine {
	shared := d.shared()
	if order, known := p.orders[shared]; known {
		return order
	}
	order := p.workOutOrder(d)
	if p.orders == nil || len(p.orders) >= maxOrders {
		p.orders = make(map[uint64][]*engine)
	}
	p.orders[shared] = order
	return order
}

func (p *Pool) workOutOrder(d *Demand) []*engine {
	numbers := p.placement().Order(p.upstreams, d)
	if numbers == nil {
		return p.engines
	}
	order := make([]*engine, len(numbers))
	for i, n := range numbers {
		order[i] = p.engines[n]
	}
	if !p.grouped || len(order) == 0 {
		return order
	}
	group := order[0].group
	return slices.DeleteFunc(order, func(e *engine) bool { return e.group != group })
}
