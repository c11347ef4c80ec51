package turn

import "slices"

// maxCachedOrders bounds the cached preference orders. With 90 engines an order takes about
// 800 bytes.
const maxCachedOrders = 2048

// preferenceOrder returns the engines that may serve a request, in order of preference: all
// of them, or those of its group. Callers must not modify the result.
//
// Orders are cached because prefixes recur: computing one takes 23 us for 90 engines, as
// long as a router takes for two stream events, and both a request's router and its home
// need it.
func (p *Pool) preferenceOrder(r *Request) []*engine {
	if p.grouped && (p.isResumption(r) || r.isBound()) {
		return p.computeOrder(r)
	}
	prefix := r.sharedPrefix()
	if order, known := p.orderCache[prefix]; known {
		return order
	}
	order := p.computeOrder(r)
	if p.orderCache == nil || len(p.orderCache) >= maxCachedOrders {
		p.orderCache = make(map[uint64][]*engine)
	}
	p.orderCache[prefix] = order
	return order
}

// widerOrder returns the first engines in order of preference, whatever their group.
func (p *Pool) widerOrder(r *Request) []*engine {
	order, _ := p.wholeOrder(r)
	if r.isBound() {
		order = slices.DeleteFunc(slices.Clone(order), func(e *engine) bool { return !r.Allows(e.upstream.DataCenter) })
	}
	return order[:min(len(order), maxWiderOrder)]
}

// wholeOrder returns all engines, and whether that is in an order of preference.
func (p *Pool) wholeOrder(r *Request) (order []*engine, isPreference bool) {
	indices := p.placement().Order(p.upstreams, r)
	if indices == nil {
		return p.engines, false
	}
	order = make([]*engine, len(indices))
	for i, index := range indices {
		order[i] = p.engines[index]
	}
	return order, true
}

func (p *Pool) computeOrder(r *Request) []*engine {
	order, isPreference := p.wholeOrder(r)
	if !isPreference {
		return order
	}
	if p.grouped && p.isResumption(r) {
		// The group of the prefix may lack the version.
		order = slices.DeleteFunc(order, func(e *engine) bool { return e.upstream.Software != r.Software })
	}
	if p.grouped && r.isBound() {
		// The group of the prefix may have no upstream where the request may be served.
		order = slices.DeleteFunc(order, func(e *engine) bool { return !r.Allows(e.upstream.DataCenter) })
	}
	if !p.grouped || len(order) == 0 {
		return order
	}
	group := order[0].group
	return slices.DeleteFunc(order, func(e *engine) bool { return e.group != group })
}
