package publish

import (
	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/sheet"
)

// Outcome is what became of a publish.
type Outcome int

// Outcomes of a publish.
const (
	// Published: the sheet is the accepted configuration.
	Published Outcome = iota + 1
	// Unchanged: the accepted configuration holds this sheet already.
	Unchanged
	// Superseded: the sheet was accepted, and another version has followed since.
	Superseded
	// Conflict: another operator's version stands; nothing was written.
	Conflict
	// Refused: the sheet may not replace the accepted one; nothing was written.
	Refused
	// TooLarge: the platform holds no value of this size; nothing was written.
	TooLarge
	// Invalid: the sheet does not compile; nothing was written.
	Invalid
	// Unavailable: the platform did not answer in time; nothing was written.
	Unavailable
	// Unknown: a write went out and could not be settled in time.
	Unknown
)

var outcomeNames = map[Outcome]string{
	Published:   "accepted",
	Unchanged:   "unchanged",
	Superseded:  "superseded",
	Conflict:    "lost the race",
	Refused:     "refused",
	TooLarge:    "too large",
	Invalid:     "faulty",
	Unavailable: "platform unavailable",
	Unknown:     "unknown",
}

// String names the outcome.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Result of a publish.
type Result struct {
	Outcome Outcome
	// Accepted is the configuration that stands, as far as it is known.
	Accepted *pb.Configuration
	// Diff is what the sheet changes against Accepted, or did before it won.
	Diff sheet.Diff
	// PublishID of this publish.
	PublishID string
	// Bytes of the value; 0 when it was not built.
	Bytes int
	// Err says why the outcome is not a success.
	Err error
}

func compare(accepted, next *pb.Configuration) sheet.Diff {
	return sheet.Compare(accepted.GetSheet(), next.GetSheet())
}
