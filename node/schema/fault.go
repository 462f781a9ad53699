// Package schema decodes YAML into protobuf messages and reports all faults of a
// file together: unknown and repeated fields, wrong types, numbers out of range, and
// truncated files.
package schema

import (
	"fmt"
	"strings"

	"github.com/carobmill/carobmill/policy/rule"
)

// Fault is one error in a file.
type Fault struct {
	File string
	// Path of the field, or "file", "syntax" or "end of file" for a fault that does
	// not belong to a single field.
	Path string
	// Problem describes the error, and Allowed what is valid instead.
	Problem string
	Allowed string
}

// String returns `file: path: problem, allowed`.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s, %s", f.File, f.Path, f.Problem, f.Allowed)
}

// Merge appends the faults that a check of the decoded message found to those of
// Decode. A checked fault at a path that Decode reported is omitted: it would only
// report the field that could not be decoded as missing.
func Merge(file string, decoded []Fault, checked []rule.Fault) []Fault {
	reported := make(map[string]bool, len(decoded))
	for _, f := range decoded {
		reported[f.Path] = true
	}
	merged := decoded
	for _, f := range checked {
		if !reported[f.Path] {
			merged = append(merged, Fault{File: file, Path: f.Path, Problem: f.Problem, Allowed: f.Allowed})
		}
	}
	return merged
}

// FormatFaults returns the faults, one per line.
func FormatFaults(faults []Fault) string {
	var b strings.Builder
	for _, f := range faults {
		b.WriteString(f.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// Unreadable reports whether a fault concerns the file as a whole. A check of the
// decoded message would then only report every field as missing.
func Unreadable(faults []Fault) bool {
	for _, f := range faults {
		if f.Path == pathFile || f.Path == pathSyntax {
			return true
		}
	}
	return false
}
