package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queuedLines bounds the log lines that wait to be written. A line has some
	// hundreds of bytes, so that the queue stays under a megabyte.
	queuedLines = 1024
	// closeTimeout bounds how long Close waits for a reader that does not read.
	closeTimeout = 500 * time.Millisecond
)

// QueuedWriter writes lines in the background. When whoever reads them is slow, lines
// are dropped and counted instead of holding up a request. Safe for concurrent use.
type QueuedWriter struct {
	to    io.Writer
	lines chan []byte
	done  chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	closed  bool
	dropped uint64
}

// NewQueuedWriter returns a writer to another one.
func NewQueuedWriter(to io.Writer) *QueuedWriter {
	w := &QueuedWriter{to: to, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never waits.
func (w *QueuedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped++
	}
	return len(line), nil
}

// Close writes what is queued, as far as the reader takes it in time.
func (w *QueuedWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *QueuedWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		w.mu.Lock()
		dropped := w.dropped
		w.dropped = 0
		w.mu.Unlock()
		if dropped > 0 {
			line = append(line, fmt.Sprintf("{\"level\":\"warning\",\"msg\":\"log lines were dropped\",\"dropped\":%d}\n", dropped)...)
		}
		// Whoever reads the log is gone when it cannot be written; there is nobody
		// left to tell.
		_, _ = w.to.Write(line)
	}
}
