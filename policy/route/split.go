package route

// Splitter distributes requests of one split route by smooth weighted round robin:
// after any n requests each part is within one request of its share, where random
// choice would be off by the square root of n. Not safe for concurrent use.
type Splitter struct {
	current []float64
}

// NewSplitter returns a splitter that begins at a point of the cycle that differs by
// seed, 0 to 1, so that nodes with few requests each do not all begin with the same
// part.
func NewSplitter(parts []Weighted, seed float64) *Splitter {
	s := &Splitter{current: make([]float64, len(parts))}
	for i, p := range parts {
		s.current[i] = p.Weight * seed
		seed = 1 - seed
	}
	return s
}

// Next returns the index of the part that the next request goes to. parts must be
// those given to NewSplitter, with at least one weight above 0.
func (s *Splitter) Next(parts []Weighted) int {
	total, best := 0.0, -1
	for i, p := range parts {
		if p.Weight <= 0 {
			continue
		}
		total += p.Weight
		s.current[i] += p.Weight
		if best < 0 || s.current[i] > s.current[best] {
			best = i
		}
	}
	if best < 0 {
		return 0
	}
	s.current[best] -= total
	return best
}
