// Package quota divides the quotas of customers over availability zones and nodes. The owner of a
// zone grants tokens from its Accounts; a node holds them in its Leases and charges requests to
// them. All times are passed in and are those of package boottime. docs/design/quotas.md explains
// why the sum over all nodes stays within the rule.
package quota

import (
	"math"
	"time"
)

// Rule says what may be used beyond the limits of the customers, as the operators set it: in any
// Window, (rate x Window + burst) x (1 + Overage) + Slack.
type Rule struct {
	Window         time.Duration
	Overage, Slack float64
}

// DefaultRule is the rule if the operators set none.
var DefaultRule = Rule{Window: 8 * time.Second, Overage: 0.1}

// OrDefault returns the rule, or DefaultRule if it is not set.
func (r Rule) OrDefault() Rule {
	if r.Window <= 0 {
		return DefaultRule
	}
	return r
}

// Limit is the limit of a customer over all nodes. The zero value is no limit.
type Limit struct{ PerSecond, Burst float64 }

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Parts of the overage and of the slack, which are the bound of a window beyond the limit itself.
// The parts of each add up to 1.
const (
	leaseOverage    = 3.0 / 8 // tokens that are spent up to a term after their grant
	depthOverage    = 3.0 / 8 // depth of the buckets beyond the burst
	fallbackOverage = 1.0 / 4 // nodes that reach no owner
	depthSlack      = 1.0 / 2
	overdraftSlack  = 1.0 / 4
	fallbackSlack   = 1.0 / 4
	// prefetchOverage bounds the prefetched tokens that have not expired. They are among
	// those that leaseOverage and the depth cover.
	prefetchOverage = 1.0 / 2
)

// Bounds of the term of a lease. A shorter one would not outlast a call to another zone; a longer
// one would delay the effect of a lowered limit.
const (
	minTerm = 50 * time.Millisecond
	maxTerm = time.Second
)

// Term returns how long after it was requested a lease lasts.
func (r Rule) Term() time.Duration {
	term := time.Duration(leaseOverage * r.Overage * float64(r.Window))
	return min(max(term, minTerm), maxTerm)
}

// overage returns what a window may have beyond a limit, without the slack.
func (r Rule) overage(l Limit) float64 {
	return r.Overage * (l.PerSecond*r.Window.Seconds() + l.Burst)
}

// Allowed returns what a customer may use in a window.
func (r Rule) Allowed(l Limit) float64 {
	return l.PerSecond*r.Window.Seconds() + l.Burst + r.overage(l) + r.Slack
}

// share is the part of a limit that the owner of a zone grants.
type share struct {
	rate, depth, overdraft float64
	// termAccrual is what accrues in a term, prefetch the bound of the prefetched tokens that
	// have not expired.
	termAccrual, prefetch float64
}

// zoneShare returns the share of one of a number of zones.
func (r Rule) zoneShare(l Limit, zones int) share {
	z, overage := float64(max(zones, 1)), r.overage(l)
	return share{
		rate:        l.PerSecond / z,
		depth:       (l.Burst + depthOverage*overage + depthSlack*r.Slack) / z,
		overdraft:   overdraftSlack * r.Slack / z,
		termAccrual: l.PerSecond / z * r.Term().Seconds(),
		prefetch:    prefetchOverage * overage / z,
	}
}

// fallbackBucket returns the rate and the depth of a node that reaches no owner. Both together
// stay within its share in a window. nodes is the number of nodes that may be alive, 0 if it is
// not known: then there is no share.
func (r Rule) fallbackBucket(l Limit, nodes int) (rate, depth float64) {
	if nodes <= 0 {
		return 0, 0
	}
	part := (fallbackOverage*r.overage(l) + fallbackSlack*r.Slack) / float64(nodes)
	return part / 2 / r.Window.Seconds(), part / 2
}

// meter measures a rate as a moving average whose weights decay exponentially with the time
// constant meterTime.
type meter struct {
	amount float64
	at     time.Time
}

// meterTime is the time over which demand is averaged: long against the term of a lease, short
// against the periods of demand.
const meterTime = time.Second

func (m *meter) add(now time.Time, amount float64) { m.amount, m.at = m.decayed(now)+amount, now }

// perSecond returns the rate.
func (m *meter) perSecond(now time.Time) float64 { return m.decayed(now) / meterTime.Seconds() }

// decayed returns what is left of the amount now.
func (m *meter) decayed(now time.Time) float64 {
	if age := now.Sub(m.at); age > 0 {
		return m.amount * math.Exp(-age.Seconds()/meterTime.Seconds())
	}
	return m.amount
}

// bucket is a token bucket. Its level may be negative.
type bucket struct {
	rate, depth, level float64
	at                 time.Time
}

// fill adds what has accrued until now.
func (b *bucket) fill(now time.Time) {
	if age := now.Sub(b.at); age > 0 {
		b.level = min(b.depth, b.level+b.rate*age.Seconds())
		b.at = now
	}
}

// set replaces the rate and the depth from now on.
func (b *bucket) set(now time.Time, rate, depth float64) {
	b.fill(now)
	b.rate, b.depth = rate, depth
	b.level = min(b.level, depth)
}

// lease is a number of tokens that the owner of a zone has granted. zone is the index of the zone in
// Leases.zones; grantedAtMillis and authority are GrantedAtMillis and Authority of the response.
type lease struct {
	tokens          float64
	zone            int
	grantedAtMillis int64
	authority       uint64
	expires         time.Time
}

// unexpired removes the leases that have expired, and returns the others and the sum of their
// tokens. It reuses the array of leases.
func unexpired(now time.Time, leases []lease) (rest []lease, sum float64) {
	rest = leases[:0]
	for _, l := range leases {
		if now.Before(l.expires) {
			rest = append(rest, l)
			sum += l.tokens
		}
	}
	return rest, sum
}

// slidingIntervals is the number of intervals of a slidingSum. One of them is being filled; the
// others cover a term.
const slidingIntervals = 16

// slidingSum is the sum of the amounts of the last term, counted by intervals: an amount counts for
// a term, and for up to one interval longer.
type slidingSum struct {
	intervals [slidingIntervals]float64
	sum       float64
	// last is the number of the interval that is being filled.
	last int64
}

// advance removes the amounts that are older than the term. age is the time since the start of
// the first interval.
func (s *slidingSum) advance(age, term time.Duration) {
	current := int64(age / (term / (slidingIntervals - 1)))
	for n := 0; s.last < current && n < slidingIntervals; n++ {
		s.last++
		s.sum -= s.intervals[s.last%slidingIntervals]
		s.intervals[s.last%slidingIntervals] = 0
	}
	s.last = max(s.last, current)
}

// add adds an amount.
func (s *slidingSum) add(amount float64) {
	s.intervals[s.last%slidingIntervals] += amount
	s.sum += amount
}

// remove removes up to amount, the oldest first, and returns how much it has removed.
func (s *slidingSum) remove(amount float64) float64 {
	left := amount
	for n := int64(1); n <= slidingIntervals && left > 0; n++ {
		interval := &s.intervals[(s.last+n)%slidingIntervals]
		part := min(*interval, left)
		*interval -= part
		s.sum -= part
		left -= part
	}
	return amount - left
}
