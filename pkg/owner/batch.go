package owner

import (
	"context"
	"fmt"
	"sync"
)

// batch lets all who ask for the same value before a read begins share that
// read. The value is always read after the question.
type batch[T any] struct {
	read func(ctx context.Context) (T, error)

	mu      sync.Mutex // guards all below
	running bool
	next    *batchRead[T]
}

// batchRead is one read.
type batchRead[T any] struct {
	done  chan struct{}
	value T
	err   error
}

func newBatch[T any](read func(ctx context.Context) (T, error)) *batch[T] {
	return &batch[T]{read: read}
}

// get returns the value as read after the call.
func (b *batch[T]) get(ctx context.Context) (T, error) {
	r := b.join()
	select {
	case <-r.done:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, fmt.Errorf("wait for a shared read: %w", ctx.Err())
	}
}

// join returns the next read that has not begun.
func (b *batch[T]) join() *batchRead[T] {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &batchRead[T]{done: make(chan struct{})}
	}
	r := b.next
	if !b.running {
		b.running = true
		go b.drain()
	}
	return r
}

// drain reads until nobody waits for a read.
func (b *batch[T]) drain() {
	for {
		b.mu.Lock()
		r := b.next
		b.next = nil
		if r == nil {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		r.value, r.err = b.read(ctx)
		cancel()
		close(r.done)
	}
}
