package diagnosis

import "nutmeglock.example/nutmeglock/prompt"

// soundGeneration is the number of parts in each of two generations, of which the older one is
// dropped when the newer one is full.
const soundGeneration = 4096

// soundness holds when answers with each part came far. Its zero value is empty.
type soundness struct {
	current, previous map[prompt.Part]Sound
}

// add merges what is known of a part.
func (s *soundness) add(sound Sound) {
	merged := s.find(sound.Part).later(sound)
	if s.current == nil || (len(s.current) >= soundGeneration && !s.isCurrent(sound.Part)) {
		s.previous = s.current
		s.current = make(map[prompt.Part]Sound)
	}
	s.current[sound.Part] = merged
}

func (s *soundness) isCurrent(part prompt.Part) bool {
	_, known := s.current[part]
	return known
}

// find returns what is known of a part.
func (s *soundness) find(part prompt.Part) Sound {
	if sound, known := s.current[part]; known {
		return sound
	}
	sound := s.previous[part]
	sound.Part = part
	return sound
}
