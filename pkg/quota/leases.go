package quota

import (
	"sync"
	"time"

	"almondturn/fleet"
	"almondturn/wire"
)

// maxDenialTime is how long a node rejects requests without asking the owners again.
const maxDenialTime = 100 * time.Millisecond

// Parts of a term, for prefetched tokens.
const (
	// prefetchPart is the part of a term whose demand a node keeps tokens for. The rest is left
	// for tokens to be spent in.
	prefetchPart = 0.5
	// minPrefetched is the least number of usual requests that are prefetched: with less, most
	// requests would still wait for an owner.
	minPrefetched = 2
)

// Leases holds the tokens that owners have leased to a node. Its methods may be called concurrently.
type Leases struct {
	rule Rule
	// zones holds the zones in the order in which they are asked, the node's own first.
	zones []fleet.Zone

	mu        sync.Mutex // guards all below
	customers map[string]*balance
	// due holds the customers whose tokens are to be prefetched. prefetching is true while
	// a prefetch is in progress.
	due         map[string]bool
	prefetching bool
}

// balance is what a node holds for a customer.
type balance struct {
	// leases are ordered by their ends.
	leases []lease
	// demand measures the tokens of the requests, requests their number.
	demand, requests meter
	// deniedAt is the time of the last denial, zero for none. deniedUntil is when the owners are
	// asked again for deniedTokens or more; retryAt is when the tokens are there.
	deniedAt, deniedUntil, retryAt time.Time
	deniedTokens                   float64
	// prefetching is true while a charge asks for prefetched tokens, too.
	prefetching bool
	// fallback is the node's share without owners; nil before it is needed.
	fallback *bucket
	// granted counts the tokens from owners, rejected the requests.
	granted  float64
	rejected int
}

// NewLeases returns the tokens of a node, which has none. zones holds the zones in the order in
// which to ask them, the node's own first.
func NewLeases(rule Rule, zones []fleet.Zone) *Leases {
	return &Leases{rule: rule, zones: zones, customers: map[string]*balance{}, due: map[string]bool{}}
}

// balance returns the balance of a customer. l.mu must be held.
func (l *Leases) balance(name string) *balance {
	b := l.customers[name]
	if b == nil {
		b = new(balance)
		l.customers[name] = b
	}
	return b
}

// held removes the leases that have expired, and returns the tokens of the others.
func (b *balance) held(now time.Time) (sum float64) {
	b.leases, sum = unexpired(now, b.leases)
	return sum
}

// take removes at most most tokens, those whose leases end first, and returns them with their sum.
func (b *balance) take(now time.Time, most float64) (taken []lease, sum float64) {
	b.held(now)
	for len(b.leases) > 0 && sum < most {
		first := &b.leases[0]
		if sum+first.tokens > most {
			part := *first
			part.tokens = most - sum
			first.tokens -= part.tokens
			return append(taken, part), most
		}
		taken, sum = append(taken, *first), sum+first.tokens
		b.leases = b.leases[1:]
	}
	return taken, sum
}

// put adds leases, ordered by their ends.
func (b *balance) put(leases ...lease) {
	for _, l := range leases {
		i := len(b.leases)
		for i > 0 && l.expires.Before(b.leases[i-1].expires) {
			i--
		}
		b.leases = append(b.leases, lease{})
		copy(b.leases[i+1:], b.leases[i:])
		b.leases[i] = l
	}
}

// wanted returns how many tokens a customer's demand needs in prefetchPart of a term, 0 if that
// is worth too few requests.
func (b *balance) wanted(now time.Time, term time.Duration) float64 {
	if b.requests.perSecond(now)*prefetchPart*term.Seconds() < minPrefetched {
		return 0
	}
	return b.demand.perSecond(now) * prefetchPart * term.Seconds()
}

// Prefetch returns the next request to the owner of the own zone, for the customers whose tokens
// are used up soon; nil if there is none. Each must be followed by Prefetched.
func (l *Leases) Prefetch(now time.Time) *wire.QuotaRequests {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.prefetching || len(l.due) == 0 {
		return nil
	}
	m := new(wire.QuotaRequests)
	for name := range l.due {
		b := l.customers[name]
		if tokens := b.wanted(now, l.rule.Term()) - b.held(now); tokens > 0 {
			m.Requests = append(m.Requests, wire.QuotaRequest{Customer: name, Tokens: tokens})
		}
	}
	clear(l.due)
	if len(m.Requests) == 0 {
		return nil
	}
	l.prefetching = true
	return m
}

// Prefetched records the response to a request of Prefetch that was sent at a time, nil if there
// is none.
func (l *Leases) Prefetched(sent time.Time, m *wire.QuotaRequests, r *wire.QuotaResponses) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prefetching = false
	if r == nil || len(r.Responses) != len(m.Requests) {
		return
	}
	for i, response := range r.Responses {
		b := l.balance(m.Requests[i].Customer)
		b.granted += response.Granted
		b.put(l.newLease(response.Granted, 0, sent, response))
	}
}

// newLease returns the lease of tokens of a response to a request that was sent to a zone at a
// time.
func (l *Leases) newLease(tokens float64, zone int, sent time.Time, r wire.QuotaResponse) lease {
	expires := sent.Add(min(time.Duration(r.TermMillis)*time.Millisecond, l.rule.Term()))
	return lease{tokens, zone, r.GrantedAtMillis, r.Authority, expires}
}

// Return returns tokens to the owner of a zone.
type Return struct {
	Zone    fleet.Zone
	Request *wire.QuotaRequests
}

// TakeSurplus removes the tokens of a customer that its demand at this node does not use before
// their leases end, and returns the requests that return them to the owners that have granted
// them. After a denial it removes all tokens: they would expire before there are enough.
func (l *Leases) TakeSurplus(now time.Time, name string, denied bool) []Return {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.customers[name]
	if b == nil || len(b.leases) == 0 {
		return nil
	}
	held := b.held(now)
	if !denied {
		held -= b.wanted(now, l.rule.Term())
	}
	surplus, _ := b.take(now, held)
	byZone := make([]wire.QuotaRequest, len(l.zones))
	for _, unused := range surplus {
		m := &byZone[unused.zone]
		if unused.authority != m.ReturnedAuthority {
			// An owner accepts only what it has granted itself.
			*m = wire.QuotaRequest{ReturnedFromMillis: unused.grantedAtMillis, ReturnedAuthority: unused.authority}
		}
		m.ReturnedFromMillis = min(m.ReturnedFromMillis, unused.grantedAtMillis)
		m.Returned += unused.tokens
	}
	var out []Return
	for i, m := range byZone {
		if m.Returned > 0 {
			m.Customer, m.Foreign = name, i > 0
			out = append(out, Return{l.zones[i], &wire.QuotaRequests{Requests: []wire.QuotaRequest{m}}})
		}
	}
	return out
}

// Stats is what a node has counted for a customer.
type Stats struct {
	Customer string
	// Granted is the number of tokens from owners, Unspent that of those that it holds.
	Granted, Unspent float64
	Rejected         int
}

// Stats returns the counts of all customers with requests, in no particular order.
func (l *Leases) Stats(now time.Time) []Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Stats, 0, len(l.customers))
	for name, b := range l.customers {
		out = append(out, Stats{name, b.granted, b.held(now), b.rejected})
	}
	return out
}
