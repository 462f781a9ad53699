package work

import "sync"

// Inbox passes items from many goroutines to one receiver, which takes all queued items at
// once: under load, one wake-up serves many items. Safe for concurrent use.
type Inbox[T any] struct {
	// mu guards items.
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

// NewInbox returns an empty inbox with that initial capacity. It grows as needed.
func NewInbox[T any](capacity int) *Inbox[T] {
	return &Inbox[T]{items: make([]T, 0, capacity), ready: make(chan struct{}, 1)}
}

// Put queues items. It never blocks.
func (b *Inbox[T]) Put(items ...T) {
	if len(items) == 0 {
		return
	}
	b.mu.Lock()
	first := len(b.items) == 0
	b.items = append(b.items, items...)
	b.mu.Unlock()
	if !first {
		return
	}
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that receives a value after items are put into an empty inbox.
// Take may still return no items, when an earlier Take returned them.
func (b *Inbox[T]) Ready() <-chan struct{} { return b.ready }

// Take returns the queued items in the order of Put. The inbox reuses the memory of used,
// which the caller must not access afterwards.
func (b *Inbox[T]) Take(used []T) []T {
	clear(used)
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = used[:0]
	return items
}
