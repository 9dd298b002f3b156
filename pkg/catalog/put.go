package catalog

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"almondturn/pkg/platform"
)

// put writes an immutable value so that its key revision is new, whether or
// not it exists already.
func (r *Repository) put(ctx context.Context, key string, data []byte) error {
	wait := r.newBackOff()
	var expect platform.Revision
	for {
		_, err := r.kv.CompareAndSwap(ctx, key, data, expect, 0)
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return platformFault(err)
		}
		e, gErr := r.kv.Get(ctx, key)
		switch {
		case errors.Is(gErr, platform.ErrNotFound):
			expect = 0
		case gErr != nil:
			return platformFault(gErr)
		default:
			expect = e.ModRevision
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return platformFault(err)
		}
	}
}

func (r *Repository) newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = r.opts.WriteRetry
	b.MaxInterval = time.Second
	return b
}

// sleep waits, and tells whether ctx still runs.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
