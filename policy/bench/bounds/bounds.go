// Package bounds compares the figures of a benchmark run with limits from a file,
// so that a performance regression fails a test. Each line of the file contains a
// scenario, a figure, <= or >=, and the limit. # starts a comment line.
package bounds

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// Bound limits one figure of one scenario.
type Bound struct {
	Scenario, Figure string
	AtMost           bool
	Value            float64
}

// Read parses a bounds file. An error contains the invalid line.
func Read(r io.Reader) ([]Bound, error) {
	var all []Bound
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var b Bound
		var relation string
		if _, err := fmt.Sscan(line, &b.Scenario, &b.Figure, &relation, &b.Value); err != nil {
			return nil, errors.Wrapf(err, "line %q", line)
		}
		if relation != "<=" && relation != ">=" {
			return nil, errors.Errorf("line %q: relation %q is not <= or >=", line, relation)
		}
		b.AtMost = relation == "<="
		all = append(all, b)
	}
	return all, errors.Wrap(lines.Err(), "read bounds")
}

// Compare returns a message for each violated bound of a scenario and for each
// bound whose figure is missing. A scenario without bounds is reported too.
func Compare(all []Bound, scenario string, figures map[string]float64) []string {
	var faults []string
	bounded := false
	for _, b := range all {
		if b.Scenario != scenario {
			continue
		}
		bounded = true
		value, measured := figures[b.Figure]
		within := value >= b.Value
		if b.AtMost {
			within = value <= b.Value
		}
		switch {
		case !measured:
			faults = append(faults, fmt.Sprintf("%s %s is not measured", scenario, b.Figure))
		case !within:
			faults = append(faults, fmt.Sprintf("%s %s: %.4g, bound %.4g", scenario, b.Figure, value, b.Value))
		}
	}
	if !bounded {
		faults = append(faults, scenario+" has no bound")
	}
	return faults
}

// Check logs the figures of a scenario and fails the test for each message that
// Compare returns for the bounds file at path.
func Check(t testing.TB, path, scenario string, figures map[string]float64) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(figures)) {
		t.Logf("%s %s %.4g", scenario, name, figures[name])
	}
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	all, err := Read(f)
	if err != nil {
		t.Fatal(err)
	}
	for _, fault := range Compare(all, scenario, figures) {
		t.Error(fault)
	}
}

// Allocated returns the average number of objects and bytes that one call of f
// allocates, including allocations of other goroutines. One warm-up call is not
// counted.
func Allocated(runs int, f func()) (objects, bytes float64) {
	f()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		f()
	}
	runtime.ReadMemStats(&after)
	n := float64(runs)
	return float64(after.Mallocs-before.Mallocs) / n, float64(after.TotalAlloc-before.TotalAlloc) / n
}
