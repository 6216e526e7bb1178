// Package ring provides a bounded queue between the goroutines of a process.
// A full ring rejects items, which applies backpressure to producers instead of
// letting memory grow.
package ring

import "context"

// Ring is a bounded FIFO queue for any number of producers and consumers.
type Ring[T any] struct {
	items chan T
}

// New returns an empty ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPush appends item without blocking. It reports false if the ring is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Push appends item and blocks while the ring is full. It reports false if ctx
// ended before the item was appended.
func (r *Ring[T]) Push(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Items returns the channel that consumers receive from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the maximum number of queued items.
func (r *Ring[T]) Cap() int { return cap(r.items) }
