package observation

import "time"

const (
	// agreementWeight is the weight of a comparison in an agreement.
	agreementWeight = 0.1
	// minAgreement is the agreement from which observations are used. A replica that was slow when
	// it was observed has returned to its usual pace within compareWithin in about 20% of the
	// cases, so that true observations agree far more often.
	minAgreement = 0.4
	// compareWithin is the time between two reports of one replica up to which they are
	// compared.
	compareWithin = 150 * time.Millisecond
)

// agreement estimates how often the observations of a node agree with those of others.
type agreement struct {
	disagreement float64
}

// record adds a comparison.
func (a *agreement) record(agrees bool) {
	sample := 1.0
	if agrees {
		sample = 0
	}
	a.disagreement += agreementWeight * (sample - a.disagreement)
}

// sufficient reports whether the observations are used.
func (a *agreement) sufficient() bool { return 1-a.disagreement >= minAgreement }

// closeInTime reports whether two reports are close enough in time to be compared.
func closeInTime(a, b time.Time) bool {
	return a.Sub(b) <= compareWithin && b.Sub(a) <= compareWithin
}
