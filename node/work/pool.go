// Package work passes work between goroutines: Pool to a bounded number of workers, and
// Inbox from many senders to one receiver.
package work

import "sync"

// Pool runs tasks on a bounded number of goroutines, which it starts on demand. Safe for
// concurrent use.
type Pool struct {
	tasks chan func()
	// mu guards workers and closed.
	mu      sync.Mutex
	workers int
	limit   int
	closed  bool
	running sync.WaitGroup
}

// queuePerWorker is the number of queued tasks per worker.
const queuePerWorker = 4

// NewPool returns a pool of at most limit workers.
func NewPool(limit int) *Pool {
	limit = max(limit, 1)
	return &Pool{
		tasks: make(chan func(), limit*queuePerWorker),
		limit: limit,
	}
}

// Go queues a task for a worker. It returns false, and the task does not run, when the
// queue is full or the pool is closed.
func (p *Pool) Go(task func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	select {
	case p.tasks <- task:
	default:
		return false
	}
	if p.workers < p.limit {
		p.workers++
		p.running.Add(1)
		go p.work()
	}
	return true
}

func (p *Pool) work() {
	defer p.running.Done()
	for task := range p.tasks {
		task()
	}
}

// Close waits until all accepted tasks are finished. Later tasks are rejected.
func (p *Pool) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.tasks)
	}
	p.mu.Unlock()
	p.running.Wait()
}
