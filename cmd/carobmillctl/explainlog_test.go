package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// explain prints the lines of the request and the context lines of its node. It omits lines
// of other requests and of nodes that did not log the request.
func TestExplainPrintsLogLinesOfOneRequest(t *testing.T) {
	c := qt.New(t)
	one := filepath.Join(c.TempDir(), "one.log")
	two := filepath.Join(c.TempDir(), "two.log")
	c.Assert(os.WriteFile(one, []byte(strings.Join([]string{
		`{"msg":"start","node":"n1","time":"2026-12-03T10:00:00Z"}`,
		`not a log line`,
		`{"msg":"request","node":"n1","outcome":"not_run","request":"r1","time":"2026-12-03T10:05:00.5Z"}`,
		`{"msg":"the store does not answer","node":"n1","time":"2026-12-03T10:04:58Z"}`,
		`{"msg":"request","node":"n1","outcome":"late","request":"r2","time":"2026-12-03T10:05:00.4Z"}`,
		`{"msg":"the store answers again","node":"n1","time":"2026-12-03T10:05:09Z"}`,
	}, "\n")), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(two, []byte(`{"msg":"stop","node":"n2","time":"2026-12-03T10:05:00Z"}`), 0o600), qt.IsNil)

	code, stdout, _ := runTool("explain", "-request", "r1", "-logs", one+","+two)
	c.Assert(code, qt.Equals, exitOK)
	lines := strings.Split(strings.TrimSpace(stdout), "\n")
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(lines[0], qt.Contains, "does not answer")
	c.Assert(lines[1], qt.Contains, `"outcome":"not_run"`)

	code, stdout, _ = runTool("explain", "-request", "r1", "-logs", one, "-o", "json")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(stdout, qt.Contains, `"unreadable": 1`)

	code, _, stderr := runTool("explain", "-request", "r9", "-logs", one)
	c.Assert(code, qt.Equals, exitFailed)
	c.Assert(stderr, qt.Contains, "no line about request r9")
	code, _, _ = runTool("explain", "-request", "r1")
	c.Assert(code, qt.Equals, exitUsage)
}
