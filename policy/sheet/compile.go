package sheet

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Compile builds a configuration from a sheet. It returns an error if Check finds
// a fault or the version is 0.
func Compile(s *pb.Sheet, version uint64, publishID, by string) (*pb.Configuration, error) {
	if version == 0 {
		return nil, errors.New("configuration version must be at least 1")
	}
	if faults := Check(s); len(faults) > 0 {
		return nil, errors.Errorf("sheet has %d faults, the first: %s", len(faults), faults[0])
	}
	full := WithDefaults(s)
	digest, err := Digest(full)
	if err != nil {
		return nil, err
	}
	return &pb.Configuration{
		Version:     version,
		PublishId:   publishID,
		SheetDigest: digest,
		Sheet:       full,
		PublishedBy: by,
	}, nil
}

// Digest returns the SHA-256 of a sheet's deterministic encoding, in hexadecimal.
func Digest(s *pb.Sheet) (string, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return "", errors.Wrap(err, "encode sheet")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}
