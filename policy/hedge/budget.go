package hedge

// Budget limits extra subrequests to a percentage of the ordinary ones. It is a token
// bucket that traffic fills instead of time, so that the limit holds at any rate.
// Retries and hedges have separate budgets.
type Budget struct {
	perSent float64
	burst   float64
	tokens  float64
	// scale is the fraction of perSent that is granted, from 0 to 1.
	scale float64
}

// NewBudget returns a budget of percent extra subrequests per 100 ordinary ones. The
// bucket holds at most burst tokens. It starts with one token, or none when percent is
// 0, so that a node without traffic can still retry.
func NewBudget(percent float64, burst int) *Budget {
	b := &Budget{perSent: percent / 100, burst: float64(max(burst, 1)), scale: 1}
	if percent > 0 {
		b.tokens = 1
	}
	return b
}

// Sent records n ordinary subrequests.
func (b *Budget) Sent(n int) {
	b.tokens = min(b.burst, b.tokens+float64(n)*b.perSent*b.scale)
}

// Take consumes a token for one extra subrequest, and reports whether one was available.
func (b *Budget) Take() bool {
	if b.tokens < 1 || b.scale == 0 {
		return false
	}
	b.tokens--
	return true
}

// TakeSpare is Take for low-priority use: it leaves half of the burst to other uses.
func (b *Budget) TakeSpare() bool {
	return b.tokens >= 1+b.burst/2 && b.Take()
}

// Return returns the token of an extra subrequest that was not sent.
func (b *Budget) Return() {
	b.tokens = min(b.burst, b.tokens+1)
}

// SetPressure shrinks the budget as pressure rises from 0 (no overload) to 1 (the service
// sheds requests). Without this, extra subrequests sustain an overload after its cause
// has ended. At full pressure the budget grants no tokens and accumulates none.
func (b *Budget) SetPressure(pressure float64) {
	b.scale = 1 - min(max(pressure, 0), 1)
	b.tokens = min(b.tokens, max(1, b.burst*b.scale))
}
