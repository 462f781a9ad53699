package publish

import (
	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/sheet"
)

// Outcome is the outcome of a publish.
type Outcome int

// Outcomes of a publish.
const (
	// Published: the sheet is the accepted configuration.
	Published Outcome = iota + 1
	// Unchanged: the accepted configuration already has this sheet.
	Unchanged
	// Superseded: the sheet was accepted, but a later version has replaced it.
	Superseded
	// Conflict: another operator's version is accepted; nothing was written.
	Conflict
	// Refused: the sheet may not replace the accepted one; nothing was written.
	Refused
	// TooLarge: the value exceeds the platform's size limit; nothing was written.
	TooLarge
	// Invalid: the sheet does not compile; nothing was written.
	Invalid
	// Unavailable: the platform did not answer in time, or the value of a concurrent
	// publish is damaged; nothing was written.
	Unavailable
	// Unknown: a write was sent, but it is not known whether it took effect.
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

// String returns the name of the outcome.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Result of a publish.
type Result struct {
	Outcome Outcome
	// Accepted is the accepted configuration, or nil if it is not known.
	Accepted *pb.Configuration
	// Diff is the difference between Accepted and the sheet. After a successful publish,
	// it is the difference to the configuration accepted before.
	Diff sheet.Diff
	// PublishID is the id of this publish.
	PublishID string
	// Bytes is the size of the encoded value, or 0 if it was not encoded.
	Bytes int
	// Err is the cause of an outcome other than a success. It may be nil.
	Err error
}

func compare(accepted, next *pb.Configuration) sheet.Diff {
	return sheet.Compare(accepted.GetSheet(), next.GetSheet())
}
