package telemetry_test

import (
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/telemetry"
)

// gate is a reader of the log that does not read until it is opened.
type gate struct {
	open chan struct{}
	// mu guards the text.
	mu   sync.Mutex
	text strings.Builder
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// Whoever reads a node's standard output stands still. Requests go on: lines that find
// the queue full are dropped, and their number is told when the reader is back.
func TestQueuedWriterDropsLinesInsteadOfBlocking(t *testing.T) {
	c := qt.New(t)
	g := &gate{open: make(chan struct{})}
	w := telemetry.NewQueuedWriter(g)
	for range 3000 {
		_, err := w.Write([]byte("{\"msg\":\"line\"}\n"))
		c.Assert(err, qt.IsNil)
	}
	close(g.open)
	w.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	text := g.text.String()
	lines := strings.Count(text, `"msg":"line"`)
	c.Assert(lines >= 1024 && lines < 1100, qt.IsTrue, qt.Commentf("%d lines", lines))
	// Told in one line or two, as the writer gets to run while lines are still dropped;
	// every line is either there or counted.
	dropped := 0
	for _, told := range regexp.MustCompile(`"dropped":(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(told[1])
		c.Assert(err, qt.IsNil)
		dropped += n
	}
	c.Assert(lines+dropped, qt.Equals, 3000)
	_, err := w.Write([]byte("after\n"))
	c.Assert(err, qt.IsNil)
}
