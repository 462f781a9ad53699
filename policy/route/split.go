package route

// Splitter distributes the requests of one split route by smooth weighted round
// robin. The deviation of a part from its share does not grow with the number of
// requests. With random selection it would grow with the square root. A Splitter is
// not safe for concurrent use.
type Splitter struct {
	current []float64
}

// NewSplitter returns a splitter whose starting point in the cycle depends on seed,
// from 0 to 1. Different seeds prevent nodes with few requests from all starting with
// the same part.
func NewSplitter(parts []Weighted, seed float64) *Splitter {
	s := &Splitter{current: make([]float64, len(parts))}
	for i, p := range parts {
		s.current[i] = p.Weight * seed
		seed = 1 - seed
	}
	return s
}

// Next returns the index of the part for the next request. parts must be the slice
// passed to NewSplitter and include at least one weight above 0.
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
