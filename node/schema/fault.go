// Package schema reads YAML into messages of the schema and reports every
// fault of a file at once: unknown and repeated fields, wrong types, numbers
// out of range, and files that were cut off.
package schema

import (
	"fmt"
	"strings"

	"github.com/carobmill/carobmill/policy/rule"
)

// Fault is one thing wrong in a file.
type Fault struct {
	File string
	// Path of the field, or a line where no field can be named.
	Path    string
	Problem string
	Allowed string
}

// String gives `file: field.path: what is wrong, what is allowed`.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s, %s", f.File, f.Path, f.Problem, f.Allowed)
}

// Merge appends the faults that a check found in the decoded message. A fault
// at a path that the reader already reported is left out: it only repeats that
// the field, which could not be read, is absent.
func Merge(file string, read []Fault, checked []rule.Fault) []Fault {
	known := make(map[string]bool, len(read))
	for _, f := range read {
		known[f.Path] = true
	}
	merged := read
	for _, f := range checked {
		if !known[f.Path] {
			merged = append(merged, Fault{File: file, Path: f.Path, Problem: f.Problem, Allowed: f.Allowed})
		}
	}
	return merged
}

// FormatFaults gives the faults, each on a line of its own.
func FormatFaults(faults []Fault) string {
	var b strings.Builder
	for _, f := range faults {
		b.WriteString(f.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// Unreadable reports whether the file as a whole could not be read, so that
// checking the message would only report every field as missing.
func Unreadable(faults []Fault) bool {
	for _, f := range faults {
		if f.Path == pathFile || f.Path == pathSyntax {
			return true
		}
	}
	return false
}
