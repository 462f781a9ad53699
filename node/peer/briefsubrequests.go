package peer

import (
	"cmp"
	"math"
	"slices"
	"unicode/utf8"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// maxNameBytes bounds a name in BriefSubrequests. Without a bound, a small malformed message
// can decode to names of any total size. Subrequests with longer names are sent as
// Subrequest.
const maxNameBytes = 512

// maxBriefSubrequests bounds the subrequests of one message, for the same reason.
const maxBriefSubrequests = 1 << 16

// encode returns the subrequests as BriefSubrequests, or nil if these cannot represent the
// subrequests.
func (a subrequestList) encode() *pb.BriefSubrequests {
	if len(a) == 0 || len(a) > maxBriefSubrequests {
		return nil
	}
	b := &pb.BriefSubrequests{
		FirstAttempt: a[0].GetAttempt(),
		Attempts:     make([]uint32, 0, len(a)),
		Kept:         make([]uint32, 0, 2*len(a)),
		Added:        make([]uint32, 0, 2*len(a)),
	}
	previous := ""
	for i, sub := range a {
		offset := sub.GetAttempt() - b.GetFirstAttempt()
		if offset > math.MaxUint32 {
			return nil
		}
		b.Attempts = append(b.Attempts, uint32(offset))
		for _, name := range [...]string{sub.GetShard(), sub.GetReplica()} {
			if len(name) > maxNameBytes {
				return nil
			}
			kept := commonPrefix(previous, name)
			b.Kept = append(b.Kept, uint32(kept))
			b.Added = append(b.Added, uint32(len(name)-kept))
			b.Names = append(b.Names, name[kept:]...)
			previous = name
		}
		if sub.GetExtra() {
			b.Extra = append(b.Extra, uint32(i))
		}
	}
	return b
}

// commonPrefix returns the length in bytes of the common prefix of two names.
func commonPrefix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// decodeSubrequests decodes brief subrequests. The result has the order of the message,
// which the sender may not have sorted. Errors wrap ErrMalformed.
func decodeSubrequests(b *pb.BriefSubrequests) (subrequestList, error) {
	n := len(b.GetAttempts())
	if n > maxBriefSubrequests {
		return nil, errors.Wrap(ErrMalformed, "too many subrequests")
	}
	names, err := decodeNames(b, 2*n)
	if err != nil {
		return nil, err
	}
	// One array replaces one allocation per subrequest.
	subs, list := make([]pb.Subrequest, n), make(subrequestList, n)
	for i := range list {
		list[i] = &subs[i]
		list[i].Attempt = b.GetFirstAttempt() + uint64(b.GetAttempts()[i])
		list[i].Shard, list[i].Replica = names[2*i], names[2*i+1]
	}
	for _, i := range b.GetExtra() {
		if int(i) >= n {
			return nil, errors.Wrap(ErrMalformed, "index of an extra subrequest out of range")
		}
		list[i].Extra = true
	}
	return list, nil
}

// decodeNames returns the n names of brief subrequests as substrings of one string.
func decodeNames(b *pb.BriefSubrequests, n int) ([]string, error) {
	if len(b.GetKept()) != n || len(b.GetAdded()) != n {
		return nil, errors.Wrap(ErrMalformed, "wrong number of names")
	}
	size := 0
	for i := range n {
		kept, added := b.GetKept()[i], b.GetAdded()[i]
		if kept > maxNameBytes || added > maxNameBytes || kept+added > maxNameBytes {
			return nil, errors.Wrap(ErrMalformed, "name too long")
		}
		size += int(kept + added)
	}
	text, remaining := make([]byte, 0, size), b.GetNames()
	previousStart := 0
	for i := range n {
		kept, added := int(b.GetKept()[i]), int(b.GetAdded()[i])
		if previousStart+kept > len(text) || added > len(remaining) {
			return nil, errors.Wrap(ErrMalformed, "name refers to missing bytes")
		}
		start := len(text)
		text = append(text, text[previousStart:previousStart+kept]...)
		text = append(text, remaining[:added]...)
		remaining, previousStart = remaining[added:], start
	}
	// Names are written to messages and logs, which accept only valid UTF-8.
	if len(remaining) > 0 || !utf8.Valid(text) {
		return nil, errors.Wrap(ErrMalformed, "names have surplus bytes or invalid UTF-8")
	}
	return splitNames(string(text), b), nil
}

func splitNames(text string, b *pb.BriefSubrequests) []string {
	names := make([]string, len(b.GetKept()))
	for i := range names {
		size := int(b.GetKept()[i] + b.GetAdded()[i])
		names[i], text = text[:size], text[size:]
	}
	return names
}

// sortedByAttempt returns the subrequests sorted by attempt. It does not modify subs.
func sortedByAttempt(subs []*pb.Subrequest) subrequestList {
	byAttempt := func(a, b *pb.Subrequest) int {
		return cmp.Compare(a.GetAttempt(), b.GetAttempt())
	}
	if slices.IsSortedFunc(subs, byAttempt) {
		return subs
	}
	subs = slices.Clone(subs)
	slices.SortFunc(subs, byAttempt)
	return subs
}
