// Package modeltest holds what the model-based tests share: a fixed seed, so
// that CI's verdict is the same each time, and the proof that a check can fail.
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

// seed of the runs in CI. Long runs with new seeds:
//
//	go test ./policy/PACKAGE -rapid.seed=0 -rapid.checks=100000
const seed = "20261202"

// Size of the runs in CI; empty fields take rapid's defaults.
type Size struct {
	// Checks is the number of histories, Steps the length of one.
	Checks string
	Steps  string
}

// Main runs a package's tests under the fixed seed. Flags on the command line take
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

// ExpectFailure runs a property that a deliberately broken variant must violate, and
// fails the test unless it does so with a message that holds want.
func ExpectFailure(t *testing.T, want string, property func(*rapid.T)) {
	t.Helper()
	defer withoutShrinking(t)()
	r := &recorder{name: t.Name()}
	done := make(chan struct{})
	// FailNow ends its goroutine, so the property runs on one of its own.
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	if !r.failed {
		t.Fatalf("the broken variant was not caught")
	}
	if text := strings.Join(r.lines, "\n"); !strings.Contains(text, want) {
		t.Fatalf("caught by another check than %q:\n%s", want, text)
	}
}

// withoutShrinking keeps rapid from searching for a smaller failure, which takes
// long and is of no use here. It returns what ends that.
func withoutShrinking(t *testing.T) func() {
	t.Helper()
	shrink := flag.Lookup("rapid.shrinktime")
	before := shrink.Value.String()
	if err := shrink.Value.Set("0s"); err != nil {
		t.Fatal(err)
	}
	return func() { _ = shrink.Value.Set(before) }
}

// recorder is a rapid.TB that keeps failures to itself.
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
