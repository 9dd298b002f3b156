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
	// slowdownStep is the weight of the last load in the mean slowdown, and
	// maxSlowdown bounds what one load tells of it.
	slowdownStep = 0.3
	maxSlowdown  = 4
)

// storeBudget counts the loads from the weight store that the zone has begun.
type storeBudget struct {
	begun []time.Time
	ends  []time.Time
	// surplus is how much longer than declared loads take, as a share: all
	// zones share the store.
	surplus float64
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

// expected returns how long a load takes that is declared to take so long.
func (b *storeBudget) expected(declared time.Duration) time.Duration {
	return declared + time.Duration(b.surplus*float64(declared))
}

// finished learns from the duration of a load.
func (b *storeBudget) finished(declared, took time.Duration) {
	if declared <= 0 {
		return
	}
	surplus := min(max(took.Seconds()/declared.Seconds(), 1), maxSlowdown) - 1
	b.surplus += slowdownStep * (surplus - b.surplus)
}

// wait returns the time until the load at a rank of those that have not begun
// has ended, 1 being the next.
func (b *storeBudget) wait(now time.Time, rank int, declared time.Duration) time.Duration {
	b.ends = after(b.ends, now)
	rounds := 1 + float64(max(len(b.ends)+rank-storeAtOnce, 0))/storeAtOnce
	return time.Duration(rounds * float64(b.expected(declared)))
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
