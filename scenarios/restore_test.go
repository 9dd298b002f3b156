package scenarios

import (
	"context"
	"fmt"
	"sync"
	"time"

	"almondturn/platform/standin"
)

const (
	// copyInterval is the time between two copies of the key-value service.
	copyInterval = 250 * time.Millisecond
	// minCopyAge and maxCopyAge bound the age of the copy from which the service is
	// restored, at the time when it goes away.
	minCopyAge = time.Second
	maxCopyAge = 10 * time.Second
	// minAway is the shortest time for which the service is away before a restore.
	minAway = 500 * time.Millisecond
)

// storeCopies holds copies of the key-value service. Its methods may be called
// concurrently.
type storeCopies struct {
	mu     sync.Mutex // guards all below
	copies []agedCopy
}

// agedCopy is a copy of the key-value service and when it was taken.
type agedCopy struct {
	taken time.Time
	*standin.Copy
}

// takeCopies takes a copy of the service every copyInterval until ctx ends.
func (c *storeCopies) takeCopies(ctx context.Context, s *standin.Store) {
	for ctx.Err() == nil {
		c.mu.Lock()
		c.copies = append(c.copies, agedCopy{time.Now(), s.Copy()})
		c.mu.Unlock()
		sleep(ctx, copyInterval)
	}
}

// ofAge returns the newest copy that has at least the given age, or the oldest one. It
// returns false if there is none.
func (c *storeCopies) ofAge(age time.Duration) (agedCopy, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.copies) == 0 {
		return agedCopy{}, false
	}
	found := c.copies[0]
	for _, x := range c.copies {
		if time.Since(x.taken) >= age {
			found = x
		}
	}
	return found, true
}

// restoreStore makes the key-value service go away, and come back from an older copy
// minAway after the returned function is called. Targets then write their entries again,
// operators do not write their settings again. A service that refuses calls, instead of
// closing connections, leaves the watches that wait then without a response.
func (f *faultInjector) restoreStore(ctx context.Context) (string, func()) {
	age := minCopyAge + time.Duration(f.rng.Int64N(int64(maxCopyAge-minCopyAge)))
	away := []standin.Fault{standin.DropConnections, standin.Busy}[f.rng.IntN(2)]
	options := standin.RestoreOptions{ExpireLeases: f.rng.IntN(2) == 0}
	saved, ok := f.copies.ofAge(age)
	if !ok {
		return "no copy of the key-value service", func() {}
	}
	f.Store.SetFault(away)
	name := fmt.Sprintf("restore of the key-value service from a copy of %s (fault %d, leases expire: %t)", time.Since(saved.taken), away, options.ExpireLeases)
	return name, func() {
		sleep(ctx, minAway)
		f.Store.Restore(saved.Copy, options)
		f.Store.SetFault(standin.Healthy)
		f.allowLoss(ctx)
	}
}
