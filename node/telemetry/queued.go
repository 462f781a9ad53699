package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines bounds the queue. At a few hundred bytes per line, it stays below
	// 1 MB.
	maxQueuedLines = 1024
	// closeTimeout bounds how long Close waits for a blocked destination.
	closeTimeout = 500 * time.Millisecond
)

// QueuedWriter writes lines in the background. If the destination is slow, lines are
// dropped and counted, so that no request waits for the log. Safe for concurrent use.
type QueuedWriter struct {
	dest  io.Writer
	lines chan []byte
	done  chan struct{}

	// mu guards the fields below. Write holds mu while it sends to lines, and Close
	// while it closes lines: a send on the closed channel would panic.
	mu      sync.Mutex
	closed  bool
	dropped uint64
}

// NewQueuedWriter returns a writer that writes to another one.
func NewQueuedWriter(dest io.Writer) *QueuedWriter {
	w := &QueuedWriter{dest: dest, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line and never blocks. The line is dropped if the queue
// is full or the writer is closed; only the former is counted.
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

// Close stops accepting lines and waits up to closeTimeout for the queued lines to be
// written.
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
		// A write error is ignored: the log is the only place to report it.
		_, _ = w.dest.Write(line)
	}
}
