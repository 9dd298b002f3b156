package scheduler

import (
	"math"
	"time"
)

// demandHalfLife is the time in which an old request counts half as much.
const demandHalfLife = 8 * time.Second

// demand is the recent rate of requests for one model, as an exponentially
// weighted count.
type demand struct {
	count float64
	at    time.Time
}

func (d *demand) add(now time.Time) {
	d.count = d.decayed(now) + 1
	d.at = now
}

func (d *demand) decayed(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.count * math.Exp2(-now.Sub(d.at).Seconds()/demandHalfLife.Seconds())
}

// perSecond returns the rate of requests.
func (d *demand) perSecond(now time.Time) float64 {
	return d.decayed(now) * math.Ln2 / demandHalfLife.Seconds()
}

func (s *Scheduler) demandOf(k modelKey) *demand {
	d := s.demand[k]
	if d == nil {
		d = new(demand)
		s.demand[k] = d
	}
	return d
}
