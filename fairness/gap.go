// Package fairness measures the difference in service between client accounts.
package fairness

// Gap measures the largest difference in service received by two accounts over
// any interval in which both had work waiting. It is not safe for concurrent use.
type Gap struct {
	accounts      int
	pairs         []pairRange
	widest        float64
	first, second int
}

// pairRange is the range of the difference in service of two accounts since both
// have had work waiting. The gap over an interval is the change of that difference
// from its start to its end, so the largest gap over any interval is the range.
type pairRange struct {
	bothBacklogged   bool
	minimum, maximum float64
}

// New returns a Gap for a number of accounts, which are numbered from 0.
func New(accounts int) *Gap {
	return &Gap{accounts: accounts, pairs: make([]pairRange, accounts*accounts)}
}

// Sample records each account's cumulative service divided by its weight, and
// whether it has work waiting.
func (g *Gap) Sample(services []float64, backlogged []bool) {
	for i := range g.accounts {
		for j := i + 1; j < g.accounts; j++ {
			g.samplePair(i, j, services[i]-services[j], backlogged[i] && backlogged[j])
		}
	}
}

func (g *Gap) samplePair(i, j int, difference float64, bothBacklogged bool) {
	p := &g.pairs[i*g.accounts+j]
	if !bothBacklogged {
		p.bothBacklogged = false
		return
	}
	if !p.bothBacklogged {
		*p = pairRange{true, difference, difference}
	}
	p.minimum = min(p.minimum, difference)
	p.maximum = max(p.maximum, difference)
	if width := p.maximum - p.minimum; width > g.widest {
		g.widest, g.first, g.second = width, i, j
	}
}

// Widest returns the largest gap so far.
func (g *Gap) Widest() float64 { return g.widest }

// WidestPair returns the two accounts with the largest gap.
func (g *Gap) WidestPair() (first, second int) { return g.first, g.second }
