// Package wait sleeps until a time has elapsed or a context ends.
package wait

import (
	"context"
	"time"
)

// Sleep waits until d has elapsed or ctx ends, whichever comes first. It reports
// whether all of d elapsed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
