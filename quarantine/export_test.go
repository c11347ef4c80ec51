package quarantine

// Sizes returns how many requests are remembered for crashes and for answers.
func (w *Watch) Sizes() (records, served int) {
	return len(w.ledger.records) + len(w.ledger.older), len(w.recent.at)
}
