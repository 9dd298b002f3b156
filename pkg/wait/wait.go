// Package wait pauses in a way that the end of a context cuts short.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends; it tells whether the whole time went by.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
