package quarantine

// Sizes returns how many requests are stored with crashes and how many as served.
func (w *Tracker) Sizes() (records, served int) {
	return len(w.crashes.current) + len(w.crashes.previous), len(w.served.servedAt)
}
