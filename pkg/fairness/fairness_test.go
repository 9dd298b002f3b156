package fairness

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/customers"
)

var start = time.Unix(1_700_000_000, 0)

// request is a waiting request.
type request struct {
	customer string
	tokens   int
}

// queue returns n requests of 100 tokens of a customer.
func queue(customer string, n int) []request {
	out := make([]request, n)
	for i := range out {
		out[i] = request{customer, 100}
	}
	return out
}

// charge charges a customer for n requests of 100 tokens.
func charge(s *Shares, customer string, n int) {
	for range n {
		s.Charge(start, customer, 100)
	}
}

// positions returns the positions of requests.
func positions(s *Shares, requests []request) []Position {
	out := make([]Position, len(requests))
	s.Begin()
	for i, r := range requests {
		out[i] = s.Next(r.customer, r.tokens)
	}
	return out
}

// rank touches and ranks requests, and returns the number of those of each customer that are above
// its share.
func rank(s *Shares, now time.Time, requests []request) map[string]int {
	for _, r := range requests {
		s.Touch(now, r.customer, r.tokens)
	}
	above := map[string]int{}
	for i, p := range positions(s, requests) {
		if p.Above {
			above[requests[i].customer]++
		}
	}
	return above
}

// Load: 100 requests of one customer and 3 of another wait. Guards against a long queue of one
// customer that counts as within its share, and against one that comes in its own order.
func TestLongQueueOfOneCustomerIsAboveItsShare(t *testing.T) {
	s := New(nil)
	requests := append(queue("a", 100), queue("b", 3)...)
	assert.Equal(t, map[string]int{"a": 100 - burst - 1}, rank(s, start, requests))
	p := positions(s, requests)
	for i := range 99 {
		assert.LessOrEqual(t, p[i].Compare(p[i+1]), 0)
	}
	assert.Negative(t, p[102].Compare(p[99]))
}

// Guards against a single customer that counts as above its share, whatever it asks for.
func TestOnlyActiveCustomerIsWithinItsShare(t *testing.T) {
	s := New(nil)
	assert.Empty(t, rank(s, start, queue("a", 100)))
	s.Touch(start, "b", 100)
	assert.NotEmpty(t, rank(s, start, queue("a", 100)))
	now := start.Add(forgetAfter)
	s.Touch(now, "a", 100)
	assert.True(t, s.Forget(now))
	assert.Empty(t, rank(s, now, queue("a", 100)))
}

// Load: one customer is served 1,000 requests while another sends none. Guards against an idle
// time that counts as credit, and against a debt without bounds for capacity that was free.
func TestIdleCustomerHasNoCreditAndABusyOneNoLongDebt(t *testing.T) {
	s := New(nil)
	s.Touch(start, "idle", 100)
	charge(s, "busy", 1000)
	both := append(queue("idle", 100), queue("busy", 100)...)
	assert.LessOrEqual(t, s.accounts["busy"].virtual-s.common, maxLead*burst*100.0)
	assert.Equal(t, map[string]int{"idle": 100 - burst - 1, "busy": 100}, rank(s, start, both))
	charge(s, "idle", 3*maxLead*burst)
	assert.Equal(t, 100-burst-1, rank(s, start, both)["busy"], "it has no lead any more")
}

// Load: customers whose weights differ by 10 are served in proportion to them. Guards against
// a large customer at its usual demand that counts as above its share.
func TestServiceInProportionToWeightsIsWithinTheShare(t *testing.T) {
	weighted, equal := New(Weights{"large": 10, "small": 1}), New(nil)
	both := append(queue("large", 3), queue("small", 3)...)
	for range 200 {
		for _, s := range []*Shares{weighted, equal} {
			charge(s, "large", 10)
			charge(s, "small", 1)
		}
		assert.Empty(t, rank(weighted, start, both))
	}
	assert.Equal(t, map[string]int{"large": 3}, rank(equal, start, both))
}

// Guards against requests that a target did not execute and that still count.
func TestRequestThatDidNotRunIsNotCharged(t *testing.T) {
	s := New(nil)
	s.Touch(start, "other", 100)
	for range 1000 {
		s.Charge(start, "a", 100)
		s.Refund("a", 100)
		s.Charge(start, "other", 100)
	}
	s.Refund("unknown", 100)
	assert.NotContains(t, rank(s, start, append(queue("a", 3), queue("other", 3)...)), "a")
}

// Guards against state that grows with the names that requests have had.
func TestStateIsBoundedByTheActiveCustomers(t *testing.T) {
	s := New(nil)
	now := start
	for i := range 10_000 {
		s.Charge(now, fmt.Sprint("c", i), 100)
		now = now.Add(forgetAfter / 10)
		assert.True(t, s.Forget(now))
		assert.LessOrEqual(t, len(s.accounts), 10)
	}
	s.Touch(now, "", 100)
	assert.False(t, s.Forget(now.Add(forgetAfter-1)), "no customer with a name is left")
	assert.Len(t, s.accounts, 1)
	assert.False(t, s.Forget(now.Add(forgetAfter)))
	assert.Empty(t, s.accounts)
}

// Guards against weights that compare tokens with requests, and against a customer without
// a quota that has no weight.
func TestWeightsAreTheQuotasOfOneUnit(t *testing.T) {
	w := WeightsOf([]*customers.Customer{
		{Name: "a", Quota: customers.Quota{PerSecond: 3000, Tokens: true}},
		{Name: "b", Quota: customers.Quota{PerSecond: 1000, Tokens: true}},
		{Name: "c", Quota: customers.Quota{PerSecond: 8}},
		{Name: "d"},
	})
	assert.Equal(t, Weights{"a": 1.5, "b": 0.5, "c": 1}, w)
	assert.InDelta(t, 1, w.of("d"), 0)
	assert.InDelta(t, 1, w.of(""), 0)
}

// Guards against a request that declares a huge number of tokens, and was never granted, after which
// nobody counted as above its share.
func TestHugeDeclaredCostDoesNotRaiseTheAllowanceOfOthers(t *testing.T) {
	s := New(nil)
	charge(s, "large", 50)
	for range 5 {
		charge(s, "a", 1)
		charge(s, "b", 1)
	}
	before := rank(s, start, queue("large", 40))["large"]
	require.Positive(t, before)
	s.Touch(start, "huge", 1_000_000_000)
	assert.InDelta(t, before, rank(s, start, queue("large", 40))["large"], 3)
}

// Guards against a customer that declares no tokens and is therefore never above its share.
func TestUndeclaredTokensCountAsTheMean(t *testing.T) {
	s := New(nil)
	for range 20 {
		s.Charge(start, "declares", 600)
	}
	assert.InDelta(t, s.cost("declares", 600), s.cost("silent", 0), 1)
}
