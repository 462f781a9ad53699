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

// blockingWriter is a log destination whose writes block until open is closed.
type blockingWriter struct {
	open chan struct{}
	// mu guards text.
	mu   sync.Mutex
	text strings.Builder
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// A blocked log destination must not block requests: lines are dropped when the queue
// is full, and their number is logged once the destination accepts writes again.
func TestQueuedWriterDropsLinesInsteadOfBlocking(t *testing.T) {
	c := qt.New(t)
	b := &blockingWriter{open: make(chan struct{})}
	w := telemetry.NewQueuedWriter(b)
	for range 3000 {
		_, err := w.Write([]byte("{\"msg\":\"line\"}\n"))
		c.Assert(err, qt.IsNil)
	}
	close(b.open)
	w.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.text.String()
	lines := strings.Count(text, `"msg":"line"`)
	c.Assert(lines >= 1024 && lines < 1100, qt.IsTrue, qt.Commentf("%d lines", lines))
	// The drops may be reported in several lines, because the writer runs while lines
	// are dropped. Every line must be either written or counted.
	dropped := 0
	for _, match := range regexp.MustCompile(`"dropped":(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(match[1])
		c.Assert(err, qt.IsNil)
		dropped += n
	}
	c.Assert(lines+dropped, qt.Equals, 3000)
	_, err := w.Write([]byte("after\n"))
	c.Assert(err, qt.IsNil)
}
