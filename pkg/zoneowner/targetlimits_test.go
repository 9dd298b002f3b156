package zoneowner

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/scheduler"
	"almondturn/wire"
)

// permitLog records when owners gave permits for a target.
type permitLog struct {
	begun time.Time
	times []time.Duration
}

// most returns the greatest number of permits within 4 s.
func (l *permitLog) most() int {
	n, first := 0, 0
	for i, at := range l.times {
		for at-l.times[first] > 4*time.Second {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// ask asks each node that owns the zone, or believes so, for permits every 20 ms.
func (l *permitLog) ask(c *cluster, d time.Duration) {
	for range int(d / (20 * time.Millisecond)) {
		time.Sleep(20 * time.Millisecond)
		c.mu.Lock()
		owners := append([]*Owner(nil), c.owners...)
		c.mu.Unlock()
		for _, o := range owners {
			if o == nil {
				continue
			}
			for o.ReservePermit(&wire.PermitRequest{Target: "p1", Incarnation: 1}).Granted {
				l.times = append(l.times, time.Since(l.begun))
			}
		}
	}
}

// setLimits makes all nodes know the limit of a target.
func (c *cluster) setLimits(perSecond float64) {
	for _, o := range c.owners {
		if o != nil {
			o.SetTargetLimit(TargetLimit{Target: "p1", Incarnation: 1, PerSecond: perSecond})
		}
	}
}

// An owner that changes, or one that is cut off and believes to be the owner, gave the whole
// limit of a target again.
func TestOwnersKeepToTheLimitBesideChanges(t *testing.T) {
	for _, perSecond := range []float64{0, 1, 4.7, 10} {
		for seed := range uint64(3) {
			runCluster(t, func(ctx context.Context, c *cluster) {
				rng := rand.New(rand.NewPCG(seed, 34))
				c.setLimits(perSecond)
				log := &permitLog{begun: time.Now()}
				log.ask(c, 8*time.Second)
				for range 4 {
					owner := c.ownerIndex()
					if owner < 0 {
						log.ask(c, 2*time.Second)
						continue
					}
					if rng.IntN(2) == 0 {
						c.crash(owner)
						log.ask(c, time.Duration(1+rng.IntN(5))*time.Second)
						c.start(ctx, owner)
					} else {
						c.isolate(owner, true)
						log.ask(c, time.Duration(2+rng.IntN(8))*time.Second)
						c.isolate(owner, false)
					}
					c.setLimits(perSecond)
					log.ask(c, 4*time.Second)
				}
				assert.LessOrEqual(t, log.most(), int(1.5*perSecond*4)+5, "limit %g, seed %d", perSecond, seed)
				before := len(log.times)
				log.ask(c, 12*time.Second)
				assert.InDelta(t, 12*max(perSecond, 0.2), len(log.times)-before, 2+perSecond/2, "limit %g, seed %d: the last owner gives it", perSecond, seed)
			})
		}
	}
}

// The first owner after a change did not know a limit that its node had heard of before.
func TestLimitOutlastsTerms(t *testing.T) {
	runCluster(t, func(_ context.Context, c *cluster) {
		c.setLimits(1)
		c.crash(c.ownerIndex())
		time.Sleep(5 * time.Second)
		log := &permitLog{begun: time.Now()}
		log.ask(c, 10*time.Second)
		assert.InDelta(t, 10, len(log.times), 2)
		c.owners[c.ownerIndex()].RemoveTargetLimit("p1", 1)
		assert.True(t, c.owners[c.ownerIndex()].ReservePermit(&wire.PermitRequest{Target: "p1", Incarnation: 1}).Granted)
		assert.True(t, c.owners[c.ownerIndex()].ReservePermit(&wire.PermitRequest{Target: "p1", Incarnation: 1}).Granted)
	})
}

// An owner whose authority has ended gave the whole limit beside the next owner.
func TestOwnerWithoutAuthorityGivesAShareOfLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newSingleOwner(nil)
		term := o.startExpiredTerm()
		term.scheduler = scheduler.New(0)
		defer term.cancel()
		o.SetTargetLimit(TargetLimit{Target: "p1", Incarnation: 1, PerSecond: 4})
		granted := 0
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			if o.ReservePermit(&wire.PermitRequest{Target: "p1", Incarnation: 1}).Granted {
				granted++
			}
		}
		assert.InDelta(t, 10, granted, 1, "a quarter of the limit in 10 s")
	})
}
