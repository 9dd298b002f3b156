package entry

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/boottime"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/quota"
	"almondturn/wire"
)

// newQuotaLeases returns the leases of a node, which has none. The node asks its own zone first;
// which one it asks second differs between nodes.
func newQuotaLeases(s *Settings) *quota.Leases {
	zones := slices.Clone(s.Zones)
	weight := func(z fleet.Zone) uint64 {
		if z == s.Zone {
			return 0
		}
		return max(fleet.RendezvousWeight(string(s.Node), string(z)), 1)
	}
	slices.SortFunc(zones, func(a, b fleet.Zone) int {
		if weight(a) < weight(b) {
			return -1
		}
		return 1
	})
	return quota.NewLeases(s.Quota.OrDefault(), zones)
}

// chargeQuota charges a request to the quota of its customer, and refuses it if that is used up.
func (n *Node) chargeQuota(j *job) *ErrorResponse {
	c := j.Customer
	if c == nil || !c.Quota.Limited() {
		return nil
	}
	limit := quota.Limit{PerSecond: c.Quota.PerSecond, Burst: c.Quota.Burst}
	cost := c.Cost(j.InputTokens + j.MaxOutputTokens)
	charge := n.quotas.Begin(boottime.Now(), c.Name, limit, cost)
	if m := n.quotas.Prefetch(boottime.Now()); m != nil {
		go n.prefetchQuotas(m)
	}
	n.askOwners(charge)
	asked, reached := charge.Owners()
	nodes := 0
	if asked > 0 && reached == 0 {
		nodes = n.links.sharingNodes()
	}
	after, ok := charge.Settle(boottime.Now(), nodes)
	if ok {
		j.charge = charge
		return nil
	}
	if asked > 0 { // otherwise a former denial holds, after which the tokens were returned
		go n.returnQuota(c.Name, true)
	}
	event.QuotaExceeded.Log(n.log).Str("request", j.ID).Str("customer", c.Name).Float64("tokens", cost).
		Int("asked", asked).Int("reached", reached).Dur("retry_after_ms", after).Send()
	return newErrorResponse(fault.QuotaExceeded, after, "the quota of the customer is used up")
}

// askOwners requests the tokens that a charge lacks from one owner after the other. It does not
// end with the request: what the owners have granted would be lost.
func (n *Node) askOwners(charge *quota.Charge) {
	ctx, cancel := context.WithTimeout(n.ctx, n.quotaTerm())
	defer cancel()
	for {
		sent := boottime.Now()
		zone, m := charge.Next(sent)
		if m == nil {
			return
		}
		response := n.requestQuota(ctx, zone, m)
		charge.Answer(sent, boottime.Now(), response)
	}
}

// quotaTerm returns how long a lease of tokens lasts.
func (n *Node) quotaTerm() time.Duration { return n.settings.Quota.OrDefault().Term() }

// refundQuota returns the tokens of a request that has ended, if no target can have run it.
func (n *Node) refundQuota(j *job) {
	if j.charge == nil || j.possibleRuns > 0 {
		return
	}
	j.charge.Refund(boottime.Now())
	n.returnQuota(j.Customer.Name, false)
}

// prefetchQuotas requests tokens from the owner of this node's zone.
func (n *Node) prefetchQuotas(m *wire.QuotaRequests) {
	sent := boottime.Now()
	n.quotas.Prefetched(sent, m, n.requestQuota(n.ctx, n.self.Zone, m))
}

// returnQuota returns the tokens that this node does not use to the owners. denied is true after a
// request that was refused.
func (n *Node) returnQuota(customer string, denied bool) {
	for _, r := range n.quotas.TakeSurplus(boottime.Now(), customer, denied) {
		if r.Zone == n.self.Zone && n.owner.IsOwner() {
			n.owner.LeaseQuota(r.Request)
			continue
		}
		n.links.sendToOwner(r.Zone, r.Request)
	}
}

// requestQuota requests tokens from the owner of a zone, which may be this node. It returns nil if
// the owner does not respond within half the term of a lease.
func (n *Node) requestQuota(ctx context.Context, zone fleet.Zone, m *wire.QuotaRequests) *wire.QuotaResponses {
	if zone == n.self.Zone && n.owner.IsOwner() {
		return n.owner.LeaseQuota(m)
	}
	ctx, cancel := context.WithTimeout(ctx, n.quotaTerm()/2)
	defer cancel()
	r, err := callOwner[*wire.QuotaResponses](ctx, n.links, zone, m)
	if err != nil {
		return nil
	}
	return r
}

// writeQuotas writes the metrics of the quotas of customers.
func (n *Node) writeQuotas(w io.Writer) {
	for _, s := range n.quotas.Stats(boottime.Now()) {
		fmt.Fprintf(w, "almondturn_quota_tokens_granted_total{customer=%q} %.0f\n", s.Customer, s.Granted)
		fmt.Fprintf(w, "almondturn_quota_rejected_total{customer=%q} %d\n", s.Customer, s.Rejected)
		fmt.Fprintf(w, "almondturn_quota_unspent_tokens{customer=%q} %.0f\n", s.Customer, s.Unspent)
	}
}
