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

// Leases holds the tokens of a node. Its methods may be called concurrently.
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

// balance is what a node holds of a customer.
type balance struct {
	lots []lot
	// demand is that of the requests, and requests their number.
	demand, requests meter
	// deniedAt is the time of the last denial, zero for none. deniedUntil is when the owners are
	// asked again for deniedTokens or more; retryAt is when the tokens are there.
	deniedAt, deniedUntil, retryAt time.Time
	deniedTokens                   float64
	// prefetching is true while a charge asks for prefetched tokens, too.
	prefetching bool
	// fallback is the node's share without owners; nil before it is needed.
	fallback *bucket
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

// take removes at most most tokens, those whose leases end first, and returns them with their sum.
func (b *balance) take(now time.Time, most float64) (taken []lot, sum float64) {
	b.lots, _ = unexpired(now, b.lots)
	for len(b.lots) > 0 && sum < most {
		first := &b.lots[0]
		if sum+first.tokens > most {
			part := *first
			part.tokens = most - sum
			first.tokens -= part.tokens
			return append(taken, part), most
		}
		taken, sum = append(taken, *first), sum+first.tokens
		b.lots = b.lots[1:]
	}
	return taken, sum
}

// put adds lots, in the order of the ends of their leases.
func (b *balance) put(lots ...lot) {
	for _, l := range lots {
		i := len(b.lots)
		for i > 0 && l.expires.Before(b.lots[i-1].expires) {
			i--
		}
		b.lots = append(b.lots, lot{})
		copy(b.lots[i+1:], b.lots[i:])
		b.lots[i] = l
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
		var held float64
		b.lots, held = unexpired(now, b.lots)
		if tokens := b.wanted(now, l.rule.Term()) - held; tokens > 0 {
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
func (l *Leases) Prefetched(sent, now time.Time, m *wire.QuotaRequests, r *wire.QuotaResponses) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prefetching = false
	if r == nil || len(r.Responses) != len(m.Requests) {
		return
	}
	for i, response := range r.Responses {
		b := l.balance(m.Requests[i].Customer)
		b.granted += response.Granted
		b.put(l.lot(response.Granted, 0, sent, response))
	}
}

// lot returns tokens of a response to a request that was sent to a zone at a time.
func (l *Leases) lot(tokens float64, zone int, sent time.Time, r wire.QuotaResponse) lot {
	expires := sent.Add(min(time.Duration(r.TermMillis)*time.Millisecond, l.rule.Term()))
	return lot{tokens, zone, r.GrantedAtMillis, r.Authority, expires}
}

// Return returns tokens to the owner of a zone.
type Return struct {
	Zone    fleet.Zone
	Request *wire.QuotaRequests
}

// Surplus removes the tokens of a customer that its demand at this node does not use before their
// leases end, and returns the requests that return them to the owners that have granted them.
// After a denial, that is all: kept tokens would expire before enough are there.
func (l *Leases) Surplus(now time.Time, name string, denied bool) []Return {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.customers[name]
	if b == nil || len(b.lots) == 0 {
		return nil
	}
	var held float64
	b.lots, held = unexpired(now, b.lots)
	if !denied {
		held -= b.wanted(now, l.rule.Term())
	}
	surplus, _ := b.take(now, held)
	byZone := make([]wire.QuotaRequest, len(l.zones))
	for _, lot := range surplus {
		m := &byZone[lot.zone]
		if lot.authority != m.ReturnedAuthority {
			// An owner accepts only what it has granted itself.
			*m = wire.QuotaRequest{ReturnedFromMillis: lot.granted, ReturnedAuthority: lot.authority}
		}
		m.ReturnedFromMillis = min(m.ReturnedFromMillis, lot.granted)
		m.Returned += lot.tokens
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
		var held float64
		b.lots, held = unexpired(now, b.lots)
		out = append(out, Stats{name, b.granted, held, b.rejected})
	}
	return out
}
