// Package sheetfile loads and validates the operators' sheet, a YAML file.
package sheetfile

import (
	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/schema"
	"github.com/carobmill/carobmill/policy/sheet"
)

// Load reads and checks the sheet in a file. It returns either the sheet with its
// defaults applied, or the faults.
func Load(file string) (*pb.Sheet, []schema.Fault) {
	data, faults := schema.Read(file)
	if len(faults) > 0 {
		return nil, faults
	}
	return Parse(file, data)
}

// Parse is Load for the contents of a file. file is the name to report in faults.
func Parse(file string, data []byte) (*pb.Sheet, []schema.Fault) {
	raw := &pb.Sheet{}
	faults := schema.Decode(file, data, raw)
	if !schema.Unreadable(faults) {
		faults = schema.Merge(file, faults, sheet.Check(raw))
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return sheet.WithDefaults(raw), nil
}
