package scheduler

import (
	"time"

	"almondturn/pkg/route"
)

// Limits of loads from the weight store.
const (
	// storeWindow is the span in which the rate of loads is counted.
	storeWindow = 5 * time.Second
	// firstStoreLimit is the number of loads that all zones have in progress
	// until the store has shown how many it carries.
	firstStoreLimit = 2
	// fullSpeed is the duration of a load, in multiples of the declared one, up
	// to which the store carries more.
	fullSpeed = 1.15
	// raiseAfter is the number of loads at full speed, with as many in progress
	// as allowed, after which one more is.
	raiseAfter = 2
	// surplusStep is the weight of the last load in the mean surplus, and
	// maxSlowdown bounds what one load tells of it.
	surplusStep = 0.3
	maxSlowdown = 4
)

// storeBudget bounds the loads from the weight store. Beyond a number of loads
// that the store does not tell, each takes longer in proportion, so that more of
// them only make all of them late.
type storeBudget struct {
	begun []time.Time
	// limit is the number of loads over all zones that are begun at once.
	limit int
	// quick counts the loads at full speed since the limit last changed.
	quick int
	// here and elsewhere are the loads in progress in this zone, and in others
	// as their owners last told.
	here, elsewhere int
	// surplus is how much longer than declared loads take, as a share.
	surplus float64
}

// allows tells whether another load may begin: the zone has an equal share
// of the rate that all targets together may use.
func (b *storeBudget) allows(now time.Time, e *route.Engine, zones int) bool {
	b.begun = after(b.begun, now.Add(-storeWindow))
	share := max(int(e.LoadsPerSecond*storeWindow.Seconds())/zones, 1)
	return len(b.begun) < share && b.inProgress() < b.atOnce()
}

func (b *storeBudget) inProgress() int { return b.here + b.elsewhere }

// atOnce returns the limit.
func (b *storeBudget) atOnce() int {
	if b.limit == 0 {
		return firstStoreLimit
	}
	return b.limit
}

func (b *storeBudget) begin(now time.Time) {
	b.begun = append(b.begun, now)
	b.here++
}

// expected returns how long a load takes that is declared to take so long.
func (b *storeBudget) expected(declared time.Duration) time.Duration {
	return declared + time.Duration(b.surplus*float64(declared))
}

// finished learns from a load that took a multiple of the declared time, while
// so many were in progress at most.
func (b *storeBudget) finished(slowdown float64, atOnce int) {
	b.surplus += surplusStep * (min(max(slowdown, 1), maxSlowdown) - 1 - b.surplus)
	if slowdown > fullSpeed {
		b.overdue(slowdown, atOnce)
		return
	}
	if atOnce < b.atOnce() {
		return // it says nothing of more
	}
	if b.quick++; b.quick >= raiseAfter {
		b.limit, b.quick = b.atOnce()+1, 0
	}
}

// overdue learns from a load that has already taken a multiple of the declared
// time and may take longer.
func (b *storeBudget) overdue(slowdown float64, atOnce int) {
	carried := max(int(float64(atOnce)/slowdown), 1)
	if slowdown > fullSpeed && carried < b.atOnce() {
		b.limit, b.quick = carried, 0
	}
}

// wait returns the time until the load at a rank of those that have not begun
// has ended, 1 being the next.
func (b *storeBudget) wait(rank int, declared time.Duration) time.Duration {
	ahead := max(b.inProgress()+rank-b.atOnce(), 0)
	rounds := 1 + float64(ahead)/float64(b.atOnce())
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

// SetOtherZoneStoreLoads tells how many loads from the weight store the other
// zones have in progress.
func (s *Scheduler) SetOtherZoneStoreLoads(n int) { s.store.elsewhere = n }

// StoreLoads returns the number of loads from the weight store in progress.
func (s *Scheduler) StoreLoads() int {
	n := 0
	for _, t := range s.sorted {
		if t.storeLoad() != nil {
			n++
		}
	}
	return n
}

// storeLoad returns the load from the weight store that the target carries
// out, or may; nil for none.
func (t *target) storeLoad() *Order {
	o := t.order
	if o == nil || o.Operation != Load || o.Adapter != "" || o.Source != FromStore {
		return nil
	}
	return o
}

// watchStore counts the loads in progress and learns from those that are overdue.
func (s *Scheduler) watchStore(now time.Time) {
	s.store.here = s.StoreLoads()
	for _, t := range s.sorted {
		if o := t.storeLoad(); o != nil && t.phase == loading {
			t.storePeers = max(t.storePeers, s.store.inProgress())
			s.store.overdue(s.slowdown(now, t, o), t.storePeers)
		}
	}
}

// slowdown returns how long a load has taken, in multiples of the declared time.
func (s *Scheduler) slowdown(now time.Time, t *target, o *Order) float64 {
	m := s.model(modelKey{t.info.Service, o.Model})
	if m == nil || m.LoadTime <= 0 {
		return 0
	}
	return now.Sub(t.orderSince).Seconds() / m.LoadTime.Seconds()
}

// storeLoadEnded learns how long a load from the weight store took.
func (s *Scheduler) storeLoadEnded(now time.Time, t *target, o *Order) {
	s.store.finished(s.slowdown(now, t, o), t.storePeers)
}
