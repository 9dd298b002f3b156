package scheduler

import (
	"slices"
	"time"

	"almondturn/pkg/customers"
	"almondturn/pkg/fairness"
)

// shareKey identifies requests whose customers share slots with each other.
type shareKey struct {
	service  string
	priority int
}

// shareKey returns the key of the shares that the request counts for.
func (r *Request) shareKey() shareKey { return shareKey{r.Service, r.Priority} }

// SetCustomers sets the customers of the configuration, nil for none. Their quotas are their
// weights in the fair order.
func (s *Scheduler) SetCustomers(d *customers.Directory) {
	s.customerWeights = nil
	if d != nil {
		s.customerWeights = fairness.WeightsOf(d.All())
	}
	for _, shares := range s.shares {
		shares.SetWeights(s.customerWeights)
	}
}

// hasCustomers reports whether the configuration has customers.
func (s *Scheduler) hasCustomers() bool { return s.customerWeights != nil }

// recordCustomer records that a customer has a request. Without one, nothing is recorded until
// a request of the same service and priority has one.
func (s *Scheduler) recordCustomer(now time.Time, r *Request) {
	shares := s.shares[r.shareKey()]
	if shares == nil {
		if r.Customer == "" {
			return
		}
		shares = fairness.New(s.customerWeights)
		s.shares[r.shareKey()] = shares
	}
	shares.Touch(now, r.Customer, r.tokens())
}

// chargeCustomer records the grant of a request.
func (s *Scheduler) chargeCustomer(now time.Time, r *Request) {
	if shares := s.shares[r.shareKey()]; shares != nil {
		shares.Charge(now, r.Customer, r.tokens())
	}
}

// refundCustomer takes back the charge of a run that its target did not execute.
func (s *Scheduler) refundCustomer(service string, r *run, o Outcome) {
	shares := s.shares[shareKey{service, r.priority}]
	if shares == nil || r.adopted {
		return
	}
	switch o {
	case Unreachable, NotLoaded, Busy, NotSent:
		shares.Refund(r.customer, r.tokens)
	}
}

// fairOrderInterval is the least time between two computations of the fair order, which visit all
// waiting requests. Steps may follow each other sooner.
const fairOrderInterval = 10 * time.Millisecond

// orderFairly sets the position of each waiting request among those of other customers, and
// sorts the queues by it. A request that came since the last computation counts as within its
// customer's share until the next one.
func (s *Scheduler) orderFairly(now time.Time) {
	if len(s.shares) == 0 || now.Sub(s.fairlyOrderedAt) < fairOrderInterval {
		return
	}
	s.fairlyOrderedAt = now
	s.updateActiveCustomers(now)
	s.setPositions()
	for _, q := range s.queues {
		slices.SortFunc(q.waiters, compareUrgency)
	}
}

// updateActiveCustomers records the customers of the waiting requests, and removes those that are
// no longer active.
func (s *Scheduler) updateActiveCustomers(now time.Time) {
	for _, w := range s.waiters {
		s.recordCustomer(now, &w.Request)
	}
	for k, shares := range s.shares {
		if !shares.Forget(now) {
			delete(s.shares, k)
		}
	}
}

// setPositions sets the position of each waiting request. Requests for one model compete for the
// same replicas.
func (s *Scheduler) setPositions() {
	type rankingKey struct {
		shares *fairness.Shares
		model  string
	}
	competing := map[rankingKey][]*waiter{}
	for _, w := range s.waiters {
		w.position = fairness.Position{}
		if shares := s.shares[w.shareKey()]; shares != nil {
			k := rankingKey{shares, w.Model}
			competing[k] = append(competing[k], w)
		}
	}
	for k, waiters := range competing {
		slices.SortFunc(waiters, compareUrgency)
		k.shares.Begin()
		for _, w := range waiters {
			w.position = k.shares.Next(w.Customer, w.tokens())
		}
	}
}
