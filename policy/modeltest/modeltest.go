// Package modeltest provides helpers for model-based tests: a fixed seed, which
// makes CI runs reproducible, and a check that a property fails on a broken model.
package modeltest

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// seed is the default random seed. To run longer with a fresh seed:
//
//	go test ./policy/PACKAGE -rapid.seed=0 -rapid.checks=100000
const seed = "20261202"

// Size configures the default run. An empty field selects rapid's default.
type Size struct {
	// Checks is the number of generated histories, Steps the length of each.
	Checks string
	Steps  string
}

// Main runs a package's tests with the fixed seed. Flags on the command line take
// precedence.
func Main(m *testing.M, size Size) {
	flag.Parse()
	defaults := map[string]string{
		"rapid.seed":       seed,
		"rapid.checks":     size.Checks,
		"rapid.steps":      size.Steps,
		"rapid.nofailfile": "true",
	}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if value == "" {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// ExpectFailure runs a property against a deliberately broken variant. The test
// fails unless the property fails with a message that contains want.
func ExpectFailure(t *testing.T, want string, property func(*rapid.T)) {
	t.Helper()
	defer disableShrinking(t)()
	r := &recorder{name: t.Name()}
	done := make(chan struct{})
	// FailNow exits the calling goroutine, so the property runs on a separate one.
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	if !r.failed {
		t.Fatalf("the property passed on the broken variant")
	}
	if text := strings.Join(r.lines, "\n"); !strings.Contains(text, want) {
		t.Fatalf("the property failed without the message %q:\n%s", want, text)
	}
}

// disableShrinking turns off rapid's slow search for a minimal failure. The
// returned function restores the previous setting.
func disableShrinking(t *testing.T) func() {
	t.Helper()
	shrink := flag.Lookup("rapid.shrinktime")
	before := shrink.Value.String()
	if err := shrink.Value.Set("0s"); err != nil {
		t.Fatal(err)
	}
	return func() { _ = shrink.Value.Set(before) }
}

// recorder is a rapid.TB that records failures without failing the test.
type recorder struct {
	name   string
	failed bool
	lines  []string
}

func (r *recorder) Helper()                   {}
func (r *recorder) Name() string              { return r.name }
func (r *recorder) Logf(f string, a ...any)   { r.lines = append(r.lines, fmt.Sprintf(f, a...)) }
func (r *recorder) Log(a ...any)              { r.lines = append(r.lines, fmt.Sprint(a...)) }
func (r *recorder) Skipf(f string, a ...any)  { r.Logf(f, a...); r.SkipNow() }
func (r *recorder) Skip(a ...any)             { r.Log(a...); r.SkipNow() }
func (r *recorder) SkipNow()                  { runtime.Goexit() }
func (r *recorder) Errorf(f string, a ...any) { r.Logf(f, a...); r.Fail() }
func (r *recorder) Error(a ...any)            { r.Log(a...); r.Fail() }
func (r *recorder) Fatalf(f string, a ...any) { r.Logf(f, a...); r.FailNow() }
func (r *recorder) Fatal(a ...any)            { r.Log(a...); r.FailNow() }
func (r *recorder) Fail()                     { r.failed = true }
func (r *recorder) Failed() bool              { return r.failed }

func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}
