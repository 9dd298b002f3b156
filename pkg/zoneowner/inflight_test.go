package zoneowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/kv/kvtest"
	"almondturn/pkg/scheduler"
)

// slowTargets are Targets that respond to orders after a time.
type slowTargets struct {
	responseTime time.Duration
	// abandonedAfter is how long after it was sent an order was abandoned; 0 for none.
	abandonedAfter time.Duration
}

func (s *slowTargets) Order(ctx context.Context, _ *inventory.Target, _ scheduler.Order, _ uint64) (scheduler.OrderResult, error) {
	sent := time.Now()
	select {
	case <-time.After(s.responseTime):
		return scheduler.OrderAccepted, nil
	case <-ctx.Done():
		s.abandonedAfter = time.Since(sent)
		return scheduler.OrderUnknown, ctx.Err()
	}
}

func (s *slowTargets) Report(context.Context, *inventory.Target) (inventory.Report, error) {
	return inventory.Report{}, nil
}

// startOrder starts a term whose authority lasts for authorityLeft, and sends an order in
// it.
func startOrder(o *Owner, authorityLeft time.Duration) {
	now := time.Now()
	t := o.startExpiredTerm()
	t.scheduler = scheduler.New(1)
	t.ordersFrom = now
	t.authority.leaseUntil = now.Add(authorityLeft)
	t.targetsByID = map[string]*inventory.Target{"e1": {ID: "e1"}}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.execute(t, now, scheduler.SendOrder{Order: scheduler.Order{Target: "e1", Operation: scheduler.Load, Model: "m1"}})
}

// An owner that resigned counted the time since its last order from when that was sent,
// though it could arrive until it was answered or abandoned: the next owner's first
// order was within the handover delay of it.
func TestStopCountsFromTheEndOfTheLastOrder(t *testing.T) {
	const resignAfter = 700 * time.Millisecond
	for name, c := range map[string]struct{ responseTime, age time.Duration }{
		"unanswered":        {time.Hour, time.Millisecond},
		"answered late":     {500 * time.Millisecond, resignAfter - 500*time.Millisecond},
		"answered promptly": {time.Millisecond, resignAfter - time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := new(kvtest.Store)
				o := newSingleOwner(s)
				o.cfg.Targets = &slowTargets{responseTime: c.responseTime}
				startOrder(o, time.Minute)
				time.Sleep(resignAfter)
				o.Resign(t.Context())
				record, _, err := o.readLastOwner(t.Context())
				require.NoError(t, err)
				assert.Equal(t, c.age, record.LastOrderAge)
				assert.Equal(t, testHandoverDelay+handoverMargin-c.age, time.Until(newSingleOwner(s).earliestOrder(withOtherAddr(record), time.Time{}, kv.FirstEra, time.Now())))
			})
		})
	}
}

// withOtherAddr returns a record as that of another node.
func withOtherAddr(r lastOwnerRecord) lastOwnerRecord {
	r.Addr = otherAddr
	return r
}

// An order that was on its way when the owner's authority ended could arrive 0.8 s later,
// which the handover delay doesn't cover.
func TestOrderIsAbandonedWhenTheAuthorityEnds(t *testing.T) {
	const authorityLeft = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		targets := &slowTargets{responseTime: time.Second}
		o := newSingleOwner(new(kvtest.Store))
		o.cfg.Targets = targets
		startOrder(o, authorityLeft)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, authorityLeft, targets.abandonedAfter)
	})
}

// Guards against an order that is abandoned although the authority was extended.
func TestOrderOutlastsAnAuthorityThatIsExtended(t *testing.T) {
	const authorityLeft = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		targets := &slowTargets{responseTime: time.Second}
		o := newSingleOwner(new(kvtest.Store))
		o.cfg.Targets = targets
		startOrder(o, authorityLeft)
		time.Sleep(authorityLeft / 2)
		o.mu.Lock()
		o.term.authority.leaseRenewed(time.Now(), time.Minute)
		o.mu.Unlock()
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Zero(t, targets.abandonedAfter)
	})
}
