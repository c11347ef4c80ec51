package quarantine

// Sizes returns how many requests are stored with crashes and how many as served.
func (t *Tracker) Sizes() (records, served int) {
	return len(t.crashes.current) + len(t.crashes.previous), len(t.served.servedAt)
}
