package quota

import (
	"time"

	"almondturn/wire"
)

const (
	// reserveTime is the time for which the demand of the own zone is not granted to other
	// zones.
	reserveTime = 100 * time.Millisecond
	// unknownRetryAfter is the time to wait for a customer that the owner does not know yet.
	unknownRetryAfter = 200 * time.Millisecond
)

// Parts of the depth of a bucket.
const (
	// fullLevel is the part from which a bucket counts as full.
	fullLevel = 0.999
	// prefetchLevel is the part from which a node gets more than it lacks for a request.
	prefetchLevel = 0.5
)

// Accounts is the accounting of the owner of a zone, over one period of its authority. It is not
// safe for concurrent use.
type Accounts struct {
	rule      Rule
	zones     int
	authority uint64
	since     time.Time
	byName    map[string]*account
	// limited is true once limits were set.
	limited bool
}

// account is the account of a customer.
type account struct {
	limit  Limit
	share  share
	tokens bucket // starts empty
	// granted holds the tokens whose leases may not have expired, less the returned ones, and
	// prefetched those of them that no request waited for.
	granted, prefetched slidingSum
	// demand measures what the own zone requests, granted or not.
	demand meter
}

// NewAccounts returns the accounts of an owner of one of a number of zones. authority identifies the
// period of its authority, which began at a time, and is not 0.
func NewAccounts(rule Rule, zones int, authority uint64, since time.Time) *Accounts {
	return &Accounts{rule: rule, zones: zones, authority: authority, since: since, byName: map[string]*account{}}
}

// SetLimits replaces the limits of all customers by name. The bucket of a new account is empty: at
// the start of the authority if these are the first limits, which an owner may learn late, and now
// otherwise.
func (a *Accounts) SetLimits(now time.Time, limits map[string]Limit) {
	begin := now
	if !a.limited {
		begin, a.limited = a.since, len(limits) > 0
	}
	next := make(map[string]*account, len(limits))
	for name, l := range limits {
		acc := a.byName[name]
		if acc == nil || !acc.limit.Limited() {
			acc = &account{tokens: bucket{at: begin}}
		}
		acc.limit, acc.share = l, a.rule.zoneShare(l, a.zones)
		acc.tokens.set(begin, acc.share.rate, acc.share.depth)
		next[name] = acc
	}
	a.byName = next
}

// Lease grants tokens to a node.
func (a *Accounts) Lease(now time.Time, m *wire.QuotaRequest) wire.QuotaResponse {
	age, term := now.Sub(a.since), a.rule.Term()
	response := wire.QuotaResponse{TermMillis: term.Milliseconds(), GrantedAtMillis: age.Milliseconds(), Authority: a.authority}
	acc := a.byName[m.Customer]
	switch {
	case acc == nil:
		response.RetryAfterMillis = unknownRetryAfter.Milliseconds()
		return response
	case !acc.limit.Limited():
		response.Granted = m.Tokens
		return response
	}
	acc.advance(now, age, term)
	if m.ReturnedAuthority == a.authority && age-time.Duration(m.ReturnedFromMillis)*time.Millisecond <= term {
		acc.acceptReturned(m.Returned)
	}
	if !m.Foreign {
		acc.demand.add(now, m.Minimum)
	}
	response.Granted = acc.grantable(now, m)
	acc.tokens.level -= response.Granted
	acc.granted.add(response.Granted)
	acc.prefetched.add(max(response.Granted-m.Minimum, 0))
	if missing := m.Minimum - response.Granted; missing > 0 {
		response.RetryAfterMillis = acc.retryAfter(now, missing, a.rule.Window).Milliseconds() + 1
	}
	return response
}

// advance updates the account to now; age is that of the accounts. A window can have, beyond what
// accrues in it, the level and the leases that have not expired at its start. Without returned
// tokens, their sum is at most the depth plus what accrues in a term. The level is cut so that this
// also holds with them.
func (acc *account) advance(now time.Time, age, term time.Duration) {
	acc.tokens.fill(now)
	acc.granted.advance(age, term)
	acc.prefetched.advance(age, term)
	acc.tokens.level = min(acc.tokens.level, max(acc.share.depth+acc.share.termAccrual-acc.granted.sum, 0))
}

// acceptReturned moves returned tokens from the leases back to the bucket. These accounts must have
// granted them, and their leases must not have expired: otherwise other leases would count as
// returned.
func (acc *account) acceptReturned(tokens float64) {
	room := max(acc.tokens.depth-acc.tokens.level, 0)
	acc.tokens.level += min(acc.granted.remove(tokens), room)
}

// grantable returns how many tokens a request gets. More than its node lacks is granted only from a
// bucket that is at least prefetchLevel full: at the limit, others would lack it.
func (acc *account) grantable(now time.Time, m *wire.QuotaRequest) float64 {
	level := acc.tokens.level
	if level >= fullLevel*acc.share.depth && m.Minimum > level {
		return min(m.Minimum, level+acc.share.overdraft)
	}
	if m.Foreign {
		level -= min(acc.demand.perSecond(now)*reserveTime.Seconds(), acc.share.depth)
	}
	most := m.Minimum
	if acc.tokens.level >= prefetchLevel*acc.share.depth {
		most += min(max(m.Tokens-m.Minimum, 0), max(acc.share.prefetch-acc.prefetched.sum, 0))
	}
	return max(min(most, level), 0)
}

// retryAfter returns the time until missing tokens have accrued in this zone. Where demand exceeds
// the rate, those who ask share what accrues, and the time is longer in proportion.
func (acc *account) retryAfter(now time.Time, missing float64, most time.Duration) time.Duration {
	seconds := (missing - min(acc.tokens.level, 0)) / acc.share.rate * max(1, acc.demand.perSecond(now)/acc.share.rate)
	return time.Duration(min(seconds, most.Seconds()) * float64(time.Second))
}
