package quota

import (
	"slices"
	"time"

	"almondturn/fleet"
)

// Preview is what a request of a customer would find at a node.
type Preview struct {
	// Held is the number of unspent tokens, Missing how many the request lacks.
	Held, Missing float64
	// Denied is true if the request would be rejected without a question to an owner.
	Denied bool
	// DeniedAt is when the owners last denied tokens, zero for never, DeniedTokens how many were
	// missing, and RetryAt when they expected to have them.
	DeniedAt, RetryAt time.Time
	DeniedTokens      float64
	// Zones holds the zones whose owners the request would ask, in order; nil if it asks none.
	Zones []fleet.Zone
}

// Peek returns what a request of a customer with a cost would find. It changes nothing.
func (l *Leases) Peek(now time.Time, name string, cost float64) Preview {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.customers[name]
	if b == nil {
		b = new(balance)
	}
	_, held := unexpired(now, slices.Clone(b.leases))
	p := Preview{Held: held, Missing: lacking(cost, held), DeniedAt: b.deniedAt, RetryAt: b.retryAt, DeniedTokens: b.deniedTokens}
	p.Denied = b.denies(now, p.Missing)
	if p.Missing > 0 && !p.Denied {
		p.Zones = slices.Clone(l.zones)
	}
	return p
}
