package zoneowner

import (
	"slices"
	"time"

	"almondturn/pkg/quota"
	"almondturn/pkg/route"
	"almondturn/wire"
)

// termQuotas are the accounts of a term for the quotas of customers.
type termQuotas struct {
	accounts *quota.Accounts
	// ordersFrom is that of the term when the accounts were made. It moves if another owner may
	// have been in between.
	ordersFrom time.Time
}

// LeaseQuota grants tokens of the quotas of customers from the zone's share. The response has
// NotOwner set if this node has no authority at present: two owners must not grant the same share.
// It does not wait for the whole handover delay of orders, which guards against orders that are still
// on their way, but for the part of it in which a former owner may still have authority: its lease may
// have been revoked, or the record of the last owner may be outdated.
func (o *Owner) LeaseQuota(m *wire.QuotaRequests) *wire.QuotaResponses {
	o.mu.Lock()
	defer o.mu.Unlock()
	now, t := o.cfg.BootClock(), o.term
	if t == nil || !o.hasAuthority(t, now) || now.Before(o.quotasFrom(t)) || !slices.Contains(o.cfg.Zones, o.cfg.Self.Zone) {
		return &wire.QuotaResponses{NotOwner: true}
	}
	if t.quotas.accounts == nil || !t.quotas.ordersFrom.Equal(t.ordersFrom) {
		t.quotas = termQuotas{quota.NewAccounts(o.cfg.Quota.OrDefault(), len(o.cfg.Zones), uint64(t.token), o.quotasFrom(t)), t.ordersFrom}
		t.quotas.accounts.SetLimits(now, o.quotaLimits)
	}
	r := &wire.QuotaResponses{Responses: make([]wire.QuotaResponse, len(m.Requests))}
	for i := range m.Requests {
		r.Responses[i] = t.quotas.accounts.Lease(now, &m.Requests[i])
	}
	return r
}

// quotasFrom returns when a term may begin to grant tokens: the end of the authority of former
// owners, and not before its own begin.
func (o *Owner) quotasFrom(t *term) time.Time {
	return latest(t.begun, t.ordersFrom.Add(-o.cfg.HandoverDelay-handoverMargin))
}

// authorizedAt reports whether a term has the authority, at a time by BootClock, to send orders. o.mu
// must be held.
func (o *Owner) authorizedAt(t *term, boot time.Time) bool {
	return o.hasAuthority(t, boot) && !boot.Before(t.ordersFrom)
}

// hasAuthority reports whether a term is the zone's owner at a time by BootClock, also during the
// handover delay of its orders. o.mu must be held.
func (o *Owner) hasAuthority(t *term, boot time.Time) bool {
	authorized := boot.Before(t.authority.validUntil(boot))
	if t.token.Era() != o.cfg.Store.Era() && !t.authority.unbroken(boot) {
		// The key-value service was restored. Another node may have been the owner
		// before that; reacquire decides.
		authorized = false
	}
	return o.term == t && !o.stopping && authorized
}

// setQuotaLimits replaces the limits of the customers. o.mu must be held.
func (o *Owner) setQuotaLimits(t *route.Table) {
	o.quotaLimits = nil
	if t.Customers != nil {
		o.quotaLimits = map[string]quota.Limit{}
		for _, c := range t.Customers.All() {
			o.quotaLimits[c.Name] = quota.Limit{PerSecond: c.Quota.PerSecond, Burst: c.Quota.Burst}
		}
	}
	if o.term != nil && o.term.quotas.accounts != nil {
		o.term.quotas.accounts.SetLimits(o.cfg.BootClock(), o.quotaLimits)
	}
}
