package scheduler

import (
	"time"

	"almondturn/pkg/route"
)

// Limits of loads from the weight store.
const (
	// storeWindow is the span in which the rate of loads is counted.
	storeWindow = 5 * time.Second
	// storeAtOnce is the number of loads that one zone has in progress;
	// more of them only make each slower.
	storeAtOnce = 2
)

// storeBudget counts the loads from the weight store that the zone has begun.
type storeBudget struct {
	begun []time.Time
	ends  []time.Time
}

// allows tells whether another load may begin: the zone has an equal share
// of the rate that all targets together may use.
func (b *storeBudget) allows(now time.Time, e *route.Engine, zones int) bool {
	b.begun = after(b.begun, now.Add(-storeWindow))
	b.ends = after(b.ends, now)
	share := max(int(e.LoadsPerSecond*storeWindow.Seconds())/zones, 1)
	return len(b.begun) < share && len(b.ends) < storeAtOnce
}

func (b *storeBudget) begin(now time.Time, d time.Duration) {
	b.begun = append(b.begun, now)
	b.ends = append(b.ends, now.Add(d))
}

// after drops the times that are not after t.
func after(times []time.Time, t time.Time) []time.Time {
	kept := times[:0]
	for _, x := range times {
		if x.After(t) {
			kept = append(kept, x)
		}
	}
	return kept
}
