package streamversions

import (
	"context"
	"sync"
)

// sharedCall lets calls at the same time share one result. Its result is never that of a call
// that began before it was asked for: one that is in progress is waited for, and those who wait
// share the next one.
type sharedCall struct {
	mu sync.Mutex // guards all below
	// current is the call in progress, next the one that follows it; nil for none.
	current, next *callInProgress
}

// callInProgress is a call whose result is awaited.
type callInProgress struct {
	done chan struct{} // closed when err is set
	err  error
}

// do makes a call, or shares one that begins later, and returns its error. The error is that of
// ctx if it ends first. The call itself does not end with ctx, as others may share it; it must
// have a timeout of its own.
func (s *sharedCall) do(ctx context.Context, call func(context.Context) error) error {
	s.mu.Lock()
	c := s.next
	switch {
	case c != nil:
	case s.current == nil:
		c = &callInProgress{done: make(chan struct{})}
		s.current = c
		go s.run(context.WithoutCancel(ctx), c, call)
	default:
		c = &callInProgress{done: make(chan struct{})}
		s.next = c
		go s.runAfter(context.WithoutCancel(ctx), s.current, c, call)
	}
	s.mu.Unlock()
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runAfter makes the call c when the call before it has ended.
func (s *sharedCall) runAfter(ctx context.Context, before, c *callInProgress, call func(context.Context) error) {
	<-before.done
	s.mu.Lock()
	s.current, s.next = c, nil
	s.mu.Unlock()
	s.run(ctx, c, call)
}

// run makes the call c, which is the current one.
func (s *sharedCall) run(ctx context.Context, c *callInProgress, call func(context.Context) error) {
	c.err = call(ctx)
	s.mu.Lock()
	if s.current == c {
		s.current = nil
	}
	s.mu.Unlock()
	close(c.done)
}
