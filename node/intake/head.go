package intake

// headScanner counts the bytes and the lines of a request's head.
type headScanner struct {
	size int
	line lineState
}

// lineState is what the current line of a head contains.
type lineState int

const (
	lineEmpty lineState = iota
	// lineReturn: a carriage return and nothing else.
	lineReturn
	lineFilled
)

// scan returns how many of the bytes and of their lines belong to the head: those up to the
// next empty line. The HTTP server reads no further than that before it serves the request.
func (s *headScanner) scan(p []byte) (size, lines int) {
	for _, b := range p {
		size++
		switch {
		case b == '\n':
			lines++
			ended := s.line != lineFilled
			s.line = lineEmpty
			if ended {
				s.size += size
				return size, lines
			}
		case b == '\r' && s.line == lineEmpty:
			s.line = lineReturn
		default:
			s.line = lineFilled
		}
	}
	s.size += size
	return size, lines
}
