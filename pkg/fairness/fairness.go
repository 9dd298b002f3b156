// Package fairness orders the requests of several customers by start-time fair queueing. It
// reads no clock and does no I/O.
//
// Each customer has a virtual time, which advances with each grant by the cost of the request: its
// tokens divided by the customer's weight. A common virtual time advances somewhat faster than the
// mean of the active customers. The start tag of a request is the virtual time of its customer plus
// the cost of the customer's requests before it. A request whose tag is at most the customer's
// slack ahead of the common time is within the customer's share and keeps the order that it has
// otherwise. Those above the share come behind, in the order of their tags.
package fairness

import (
	"maps"
	"slices"
	"time"

	"almondturn/pkg/customers"
)

const (
	// headroom is the factor by which the common time advances faster than the mean of the
	// active customers. Without it, the leads of customers with equal demand would grow as a
	// random walk does, and half of their requests would count as above the share.
	headroom = 1.25
	// burst is the slack of a customer in requests of its mean cost.
	burst = 6
	// maxLead bounds how far a customer's virtual time is ahead of the common one, as a multiple
	// of its slack. Beyond it the common time advances with the customer.
	maxLead = 2
	// forgetAfter is how long after its last request a customer counts as active.
	forgetAfter = 5 * time.Second
	// costSampleWeight is the weight of the last request in the mean cost.
	costSampleWeight = 0.1
	// maxCostRatio bounds the weight of one customer's mean cost in the mean over all, as a
	// multiple of the median, and the mean cost of a new customer, as a multiple of the mean.
	// Without it, a request that declares a huge number of tokens would raise the slack of all
	// customers.
	maxCostRatio = 8
)

// Weights holds the weights of customers by name. A customer that is not listed has weight 1.
type Weights map[string]float64

// of returns the weight of a customer.
func (w Weights) of(customer string) float64 {
	if weight := w[customer]; weight > 0 {
		return weight
	}
	return 1
}

// WeightsOf returns weights in proportion to the rates of the customers' quotas. Their mean is 1
// among the quotas of each unit, so that rates of different units stay comparable.
func WeightsOf(all []*customers.Customer) Weights {
	sum, n := map[bool]float64{}, map[bool]float64{}
	for _, c := range all {
		if c.Quota.Limited() {
			sum[c.Quota.Tokens] += c.Quota.PerSecond
			n[c.Quota.Tokens]++
		}
	}
	out := Weights{}
	for _, c := range all {
		if c.Quota.Limited() {
			out[c.Name] = c.Quota.PerSecond * n[c.Quota.Tokens] / sum[c.Quota.Tokens]
		}
	}
	return out
}

// Position is the place of a request in the fair order. The zero value is that of a request
// within its customer's share.
type Position struct {
	// Above is true if the request is above the customer's share.
	Above bool
	// Tag is the start tag of a request above the share, relative to the common time; 0
	// for others.
	Tag float64
}

// Compare orders positions: those within the share are equal and come first, the others
// follow in the order of their tags.
func (p Position) Compare(other Position) int {
	switch {
	case p.Tag < other.Tag: // the tag of a request above the share is positive
		return -1
	case p.Tag > other.Tag:
		return 1
	default:
		return 0
	}
}

// account is the state of an active customer.
type account struct {
	// virtual is the start tag of the customer's next request.
	virtual float64
	// meanCost is a moving average of the cost of its requests.
	meanCost float64
	lastSeen time.Time
	// nextTag is the start tag of the customer's next request in the ranking with the number
	// round.
	nextTag float64
	round   uint64
}

// Shares holds the active customers among requests that compete with each other.
type Shares struct {
	weights  Weights
	accounts map[string]*account
	// common is the common virtual time.
	common float64
	// meanCost is the mean of the accounts' meanCost, each bounded by maxCostRatio, and weight the
	// sum of their weights, as of the last update.
	meanCost, weight float64
	// meanTokens is a moving average of the tokens of the granted requests that declare them. It
	// is what a request counts that declares none.
	meanTokens float64
	// round is the number of the current ranking.
	round uint64
}

// New returns shares without active customers.
func New(w Weights) *Shares { return &Shares{weights: w, accounts: map[string]*account{}} }

// SetWeights replaces the weights for later requests.
func (s *Shares) SetWeights(w Weights) {
	s.weights = w
	s.update()
}

// cost returns the cost of a request in virtual time.
func (s *Shares) cost(customer string, tokens int) float64 {
	return s.counted(tokens) / s.weights.of(customer)
}

// counted returns the number of tokens for which a request counts.
func (s *Shares) counted(tokens int) float64 {
	if tokens > 0 {
		return float64(tokens)
	}
	return max(s.meanTokens, 1)
}

// Touch records that a customer has a request, granted or waiting, so that it is active. The
// customer may be empty for requests without one, which count as one customer.
func (s *Shares) Touch(now time.Time, customer string, tokens int) {
	s.touch(now, customer, tokens)
}

func (s *Shares) touch(now time.Time, customer string, tokens int) *account {
	a := s.accounts[customer]
	if a == nil {
		a = &account{meanCost: s.cost(customer, tokens)}
		if len(s.accounts) > 0 {
			a.meanCost = min(a.meanCost, maxCostRatio*s.meanCost)
		}
		s.accounts[customer] = a
		s.update()
	}
	a.virtual = max(a.virtual, s.common)
	a.lastSeen = now
	return a
}

// update sets meanCost and weight. It adds in a fixed order, so that equal requests are
// decided equally: the rounding of a sum depends on its order.
func (s *Shares) update() {
	s.meanCost, s.weight = 0, 0
	most := maxCostRatio * s.medianCost()
	for _, name := range slices.Sorted(maps.Keys(s.accounts)) {
		s.meanCost += min(s.accounts[name].meanCost, most)
		s.weight += s.weights.of(name)
	}
	s.meanCost /= float64(max(len(s.accounts), 1))
}

// medianCost returns the median of the accounts' mean costs, 0 without accounts.
func (s *Shares) medianCost() float64 {
	if len(s.accounts) == 0 {
		return 0
	}
	costs := make([]float64, 0, len(s.accounts))
	for _, a := range s.accounts {
		costs = append(costs, a.meanCost)
	}
	slices.Sort(costs)
	return costs[len(costs)/2]
}

// Forget removes the customers that are no longer active. It has to be called regularly, and reports
// whether a customer with a name is left.
func (s *Shares) Forget(now time.Time) bool {
	named := false
	for name, a := range s.accounts {
		if now.Sub(a.lastSeen) >= forgetAfter {
			delete(s.accounts, name)
			continue
		}
		named = named || name != ""
	}
	s.update()
	return named
}

// slack returns how far ahead of the common time a request within the share may start.
func (s *Shares) slack(a *account) float64 { return max(burst*a.meanCost, s.meanCost) }

// Charge records the grant of a request.
func (s *Shares) Charge(now time.Time, customer string, tokens int) {
	a := s.touch(now, customer, tokens)
	cost := s.cost(customer, tokens)
	a.meanCost += costSampleWeight * (cost - a.meanCost)
	a.virtual += cost
	s.common += headroom * s.counted(tokens) / s.weight
	if tokens > 0 {
		s.addTokens(float64(tokens))
	}
	s.common = max(s.common, a.virtual-maxLead*s.slack(a))
}

// addTokens adds the tokens of a request to their moving average.
func (s *Shares) addTokens(tokens float64) {
	if s.meanTokens == 0 {
		s.meanTokens = tokens
		return
	}
	s.meanTokens += costSampleWeight * (tokens - s.meanTokens)
}

// Refund takes back the charge of a request that was granted and did not run.
func (s *Shares) Refund(customer string, tokens int) {
	if a := s.accounts[customer]; a != nil {
		a.virtual = max(a.virtual-s.cost(customer, tokens), s.common)
	}
}

// Begin begins the ranking of requests that compete for the same slots; see Next.
func (s *Shares) Begin() { s.round++ }

// Next returns the position of the next of the requests of the ranking, which are passed in
// the order that they have otherwise. Touch must have been called for each. A customer that
// is the only active one is not above its share.
func (s *Shares) Next(customer string, tokens int) Position {
	a := s.accounts[customer]
	if a == nil || len(s.accounts) < 2 {
		return Position{}
	}
	if a.round != s.round {
		a.round, a.nextTag = s.round, max(a.virtual-s.common, 0)
	}
	tag := a.nextTag
	a.nextTag += s.cost(customer, tokens)
	if tag <= s.slack(a) {
		return Position{}
	}
	return Position{Above: true, Tag: tag}
}
