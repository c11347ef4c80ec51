// Package fairness measures how far the service of client accounts drifts apart.
package fairness

// Gap follows the service of accounts and finds the largest difference between
// two of them over any interval in which both had work waiting. It is used by
// one goroutine.
type Gap struct {
	accounts int
	pairs    []pair
	widest   float64
	a, b     int
}

// pair is what was seen of two accounts since both have had work waiting. The
// difference over an interval is that of its ends, so the largest one over any
// interval is the range of the difference.
type pair struct {
	together    bool
	least, most float64
}

// New returns a Gap between so many accounts, numbered from 0.
func New(accounts int) *Gap {
	return &Gap{accounts: accounts, pairs: make([]pair, accounts*accounts)}
}

// Sample takes each account's service so far, per weight, and whether it has
// work waiting.
func (g *Gap) Sample(services []float64, backlogged []bool) {
	for i := range g.accounts {
		for j := i + 1; j < g.accounts; j++ {
			g.samplePair(i, j, services[i]-services[j], backlogged[i] && backlogged[j])
		}
	}
}

func (g *Gap) samplePair(i, j int, difference float64, together bool) {
	p := &g.pairs[i*g.accounts+j]
	if !together {
		p.together = false
		return
	}
	if !p.together {
		*p = pair{true, difference, difference}
	}
	p.least = min(p.least, difference)
	p.most = max(p.most, difference)
	if width := p.most - p.least; width > g.widest {
		g.widest, g.a, g.b = width, i, j
	}
}

// Widest returns the largest difference that was seen.
func (g *Gap) Widest() float64 { return g.widest }

// Accounts returns the two accounts that it was seen between.
func (g *Gap) Accounts() (a, b int) { return g.a, g.b }
