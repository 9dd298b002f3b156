package quota

import (
	"time"

	"almondturn/fleet"
	"almondturn/wire"
)

// Charge is the charge of one request. It is used by one goroutine at a time.
type Charge struct {
	leases *Leases
	name   string
	limit  Limit
	cost   float64
	// held holds the tokens of the charge. sum is their number, some of which may have
	// expired.
	held []lease
	sum  float64
	// asked is the number of zones that were asked, reached the number of owners that
	// responded.
	asked, reached int
	// retryAfter is the shortest time that an owner has given, or the rest of an earlier one
	// if denied is true.
	retryAfter time.Duration
	// denied is true if an earlier denial of the owners holds, so that none is asked.
	denied bool
	// prefetches is true while a request of this charge also asks for prefetched tokens.
	prefetches bool
	// settled is true from Settle until Refund if the request may run.
	settled bool
}

// roundingError is the largest rounding error of a sum of partial grants, as a share of the
// request's cost.
const roundingError = 1e-9

// Begin begins the charge of a request of a customer with the tokens that the node holds.
func (l *Leases) Begin(now time.Time, name string, limit Limit, cost float64) *Charge {
	c := &Charge{leases: l, name: name, limit: limit, cost: cost}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.balance(name)
	b.demand.add(now, cost)
	b.requests.add(now, 1)
	c.held, c.sum = b.take(now, cost)
	switch {
	case b.denies(now, c.lacks()):
		c.denied, c.retryAfter = true, b.retryAt.Sub(now)
	case c.lacks() == 0:
		l.markDue(now, b, name)
	}
	return c
}

// denies reports whether the last denial of the owners holds for a request that lacks so many
// tokens.
func (b *balance) denies(now time.Time, missing float64) bool {
	return missing > 0 && now.Before(b.deniedUntil) && missing >= b.deniedTokens
}

// markDue marks a customer for the next prefetch if its tokens are used up soon. l.mu must be
// held.
func (l *Leases) markDue(now time.Time, b *balance, name string) {
	wanted := b.wanted(now, l.rule.Term())
	if wanted == 0 {
		return
	}
	if b.held(now) < wanted/2 {
		l.due[name] = true
	}
}

// lacks returns how many tokens are missing.
func (c *Charge) lacks() float64 { return lacking(c.cost, c.sum) }

// lacking returns how many tokens a sum lacks of the cost of a request.
func lacking(cost, sum float64) float64 {
	if missing := cost - sum; missing > cost*roundingError {
		return missing
	}
	return 0
}

// Next returns the next zone to ask and the request for its owner; nil if there is none. Each
// must be followed by Answer.
func (c *Charge) Next(now time.Time) (fleet.Zone, *wire.QuotaRequests) {
	l := c.leases
	if c.denied || c.lacks() == 0 || c.asked == len(l.zones) {
		return "", nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m := wire.QuotaRequest{Customer: c.name, Tokens: c.lacks(), Minimum: c.lacks(), Foreign: c.asked > 0}
	if b := l.balance(c.name); !b.prefetching && !l.prefetching {
		wanted := b.wanted(now, l.rule.Term())
		b.prefetching, c.prefetches = wanted > 0, wanted > 0
		m.Tokens += wanted
	}
	c.asked++
	return l.zones[c.asked-1], &wire.QuotaRequests{Requests: []wire.QuotaRequest{m}}
}

// Answer records the response to the request of Next that was sent at a time, nil if there is
// none.
func (c *Charge) Answer(sent, now time.Time, r *wire.QuotaResponses) {
	l := c.leases
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.balance(c.name)
	if c.prefetches {
		b.prefetching, c.prefetches = false, false
	}
	if r == nil || r.NotOwner || len(r.Responses) != 1 {
		return
	}
	response := r.Responses[0]
	c.reached++
	if after := time.Duration(response.RetryAfterMillis) * time.Millisecond; after > 0 && (c.retryAfter == 0 || after < c.retryAfter) {
		c.retryAfter = after
	}
	b.granted += response.Granted
	granted := l.newLease(0, c.asked-1, sent, response)
	if response.Granted <= 0 || !now.Before(granted.expires) {
		return
	}
	granted.tokens = min(response.Granted, c.cost-c.sum)
	c.held, c.sum = append(c.held, granted), c.sum+granted.tokens
	if granted.tokens = response.Granted - granted.tokens; granted.tokens > 0 {
		b.put(granted)
	}
}

// Settle ends the charge. It returns true if the request may run, and otherwise the time after
// which to retry. nodes is the number of nodes that may be alive; it is used if no owner has
// responded.
func (c *Charge) Settle(now time.Time, nodes int) (retryAfter time.Duration, ok bool) {
	l := c.leases
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.balance(c.name)
	c.held, c.sum = unexpired(now, c.held)
	missing := c.lacks()
	if missing > 0 && c.asked > 0 && c.reached == 0 {
		c.retryAfter, ok = b.fallBack(now, l.rule, c.limit, nodes, missing)
	}
	if missing == 0 || ok {
		c.settled = true
		return 0, true
	}
	b.rejected++
	b.put(c.held...)
	c.held = nil
	c.retryAfter = max(c.retryAfter/time.Duration(max(c.reached, 1)), time.Millisecond)
	if !c.denied {
		b.deniedAt, b.retryAt, b.deniedTokens = now, now.Add(c.retryAfter), missing
		b.deniedUntil = now.Add(min(c.retryAfter, maxDenialTime))
	}
	return c.retryAfter, false
}

// fallBack takes tokens from the node's share without owners, or returns the time until they are
// there.
func (b *balance) fallBack(now time.Time, rule Rule, limit Limit, nodes int, tokens float64) (time.Duration, bool) {
	rate, depth := rule.fallbackBucket(limit, nodes)
	if b.fallback == nil {
		b.fallback = &bucket{at: now}
	}
	b.fallback.set(now, rate, depth)
	if missing := tokens - b.fallback.level; missing > 0 {
		// An owner is more likely to be back before that.
		return time.Duration(min(missing/rate, maxTerm.Seconds()) * float64(time.Second)), false
	}
	b.fallback.level -= tokens
	return 0, true
}

// Owners returns the number of owners that were asked and of those that have responded.
func (c *Charge) Owners() (asked, reached int) { return c.asked, c.reached }

// Refund returns the tokens of a request that may run and did not, as far as their leases last.
func (c *Charge) Refund(now time.Time) {
	l := c.leases
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.settled {
		return
	}
	c.settled = false
	rest, _ := unexpired(now, c.held)
	l.balance(c.name).put(rest...)
	c.held = nil
}
