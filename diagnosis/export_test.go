package diagnosis

// Sizes returns how many parts are held, as sound or at crashes, and how many questions.
func (t *Tracker) Sizes() (parts, questions int) {
	for _, s := range t.sound {
		parts += len(s.current) + len(s.previous)
	}
	for _, r := range t.records {
		parts += len(r.sound.current) + len(r.sound.previous)
		for _, c := range r.crashes {
			parts += len(c.parts)
		}
	}
	return parts, len(t.questions)
}
