// Package ring provides the bounded queue that joins the goroutines of a
// process. A full ring refuses at once, so that pressure reaches the producer
// instead of growing in memory.
package ring

import "context"

// Ring is a bounded FIFO queue for any number of producers and consumers.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPush appends item and reports true, or reports false at once if the ring
// is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Push appends item, waiting for room until ctx ends. It reports whether the
// item was taken.
func (r *Ring[T]) Push(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Items returns the receive side.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the capacity.
func (r *Ring[T]) Cap() int { return cap(r.items) }
