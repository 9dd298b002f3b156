package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/wire"
)

// simCustomer is a customer in a simulation.
type simCustomer struct {
	limit Limit
	// usual is its demand in tokens per second, factor multiplies it.
	usual, factor float64
	costs         []float64
	spent         []spending
	requests      int
	rejected      int
}

// spending is a request that ran.
type spending struct {
	at     time.Duration
	tokens float64
}

// simOwner is the owner of a zone. Its authority begins at from and ends at until.
type simOwner struct {
	accounts    *Accounts
	from, until time.Duration
	// pausedUntil is when it goes on.
	pausedUntil time.Duration
}

// simNode is a node.
type simNode struct {
	zone   int
	weight float64
	leases *Leases
}

// sim runs nodes and owners in virtual time. Calls take latency each way.
type sim struct {
	t         *testing.T
	rng       *rand.Rand
	rule      Rule
	now       time.Duration
	events    []simEvent // in the order in which they run
	zones     []fleet.Zone
	owners    []*simOwner
	nodes     []*simNode
	customers []*simCustomer
	// reaches reports whether a node reaches the owner of a zone; nil for all.
	reaches func(node, zone int) bool
	// notRun is the part of the charged requests that do not run, which shows after
	// notRunAfter.
	notRun      float64
	notRunAfter time.Duration
	calls       int
	authority   uint64
}

// simEvent is a function that runs at a time.
type simEvent struct {
	at time.Duration
	f  func()
}

const (
	simNodes   = 59
	simZones   = 3
	simLatency = 500 * time.Microsecond
)

// simEpoch is the time 0 of simulations.
var simEpoch = time.Unix(1000, 0)

// newSim returns the workload of the page: 59 nodes with uneven demand in 3 zones, 16
// customers, three of them large, with 1/1.8 of their rate as usual demand.
func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 7)), rule: Rule{8 * time.Second, 0.1, 17000}}
	for z := range simZones {
		s.zones = append(s.zones, fleet.Zone(fmt.Sprint("z", z)))
		s.owners = append(s.owners, &simOwner{until: math.MaxInt64})
	}
	for i := range simNodes {
		s.nodes = append(s.nodes, &simNode{zone: i % simZones, weight: math.Pow(s.rng.Float64(), 2) + 0.05})
	}
	for i := range 16 {
		c := &simCustomer{factor: 1, costs: []float64{1114, 1114, 1114, 2392, 200, 200, 5000}}
		rate := 4200 * math.Pow(1.12, float64(i))
		if i >= 13 {
			rate = []float64{60000, 90000, 130000}[i-13]
		}
		c.limit = Limit{rate, rate}
		c.usual = rate / 1.8
		s.customers = append(s.customers, c)
	}
	s.restart()
	return s
}

// restart makes all nodes and owners lose their state.
func (s *sim) restart() {
	s.restartNodes()
	for z := range s.owners {
		s.begin(z, s.now)
	}
}

// setDemand sets the demand of all customers as a multiple of their usual one.
func (s *sim) setDemand(factor float64) {
	for _, c := range s.customers {
		c.factor = factor
	}
}

// restartNodes makes all nodes lose their state.
func (s *sim) restartNodes() {
	for _, n := range s.nodes {
		zones := []fleet.Zone{s.zones[n.zone]}
		for z, name := range s.zones {
			if z != n.zone {
				zones = append(zones, name)
			}
		}
		n.leases = NewLeases(s.rule, zones)
	}
}

// begin makes a new owner of a zone whose authority begins at a time.
func (s *sim) begin(z int, from time.Duration) {
	s.authority++
	o := &simOwner{accounts: NewAccounts(s.rule, simZones, s.authority, simEpoch.Add(from)), from: from, until: math.MaxInt64}
	o.accounts.SetLimits(simEpoch.Add(from), s.limits())
	s.owners[z] = o
}

// limits returns the limits of the customers by name.
func (s *sim) limits() map[string]Limit {
	out := map[string]Limit{}
	for i, c := range s.customers {
		out[s.name(i)] = c.limit
	}
	return out
}

func (s *sim) name(i int) string { return fmt.Sprint("c", i) }

// at runs a function at a time, after those that were to run at the same time before.
func (s *sim) at(at time.Duration, f func()) {
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at > at })
	s.events = slices.Insert(s.events, i, simEvent{at, f})
}

// clock returns the time now.
func (s *sim) clock() time.Time { return simEpoch.Add(s.now) }

// run runs for a time with requests of all customers at all nodes.
func (s *sim) run(until time.Duration) {
	for i := range s.customers {
		s.at(s.now, func() { s.arrive(i, until) })
	}
	s.step(until)
	s.now = until
}

// step runs the events until a time.
func (s *sim) step(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.f()
	}
}

// settle runs all events that are left.
func (s *sim) settle() { s.step(math.MaxInt64) }

// arrive makes one request of a customer, and the next one.
func (s *sim) arrive(i int, until time.Duration) {
	c := s.customers[i]
	node := s.pickNode()
	cost := c.costs[s.rng.IntN(len(c.costs))]
	c.requests++
	s.charge(node, i, cost)
	mean := 0.0
	for _, x := range c.costs {
		mean += x / float64(len(c.costs))
	}
	perSecond := c.usual * c.factor / mean
	next := s.now + time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second))
	if next < until {
		s.at(next, func() { s.arrive(i, until) })
	}
}

// pickNode returns a node by weight. The demand of each zone has an amplitude of 0.27 and a
// period of 11 s, and the zones do not peak at the same time.
func (s *sim) pickNode() int {
	for {
		i := s.rng.IntN(len(s.nodes))
		n := s.nodes[i]
		wave := 1 + 0.27*math.Sin(2*math.Pi*(s.now.Seconds()/11+float64(n.zone)/simZones))
		if s.rng.Float64()*1.05*1.27 < n.weight*wave {
			return i
		}
	}
}

// charge charges a request at a node as an entry node does.
func (s *sim) charge(node, customer int, cost float64) {
	n, c := s.nodes[node], s.customers[customer]
	leases := n.leases
	ch := leases.Begin(s.clock(), s.name(customer), c.limit, cost)
	s.prefetch(node)
	var step func()
	step = func() {
		sent := s.clock()
		zone, m := ch.Next(sent)
		if m != nil {
			s.call(node, zone, m, func(r *wire.QuotaResponses) {
				ch.Answer(sent, s.clock(), r)
				step()
			})
			return
		}
		retryAfter, ok := ch.Settle(s.clock(), simNodes)
		if !ok {
			assert.Positive(s.t, retryAfter)
			c.rejected++
			s.giveBack(node, s.name(customer), true)
			return
		}
		if s.rng.Float64() < s.notRun {
			s.at(s.now+s.notRunAfter, func() {
				ch.Refund(s.clock())
				s.giveBack(node, s.name(customer), false)
			})
			return
		}
		c.spent = append(c.spent, spending{s.now, cost})
	}
	step()
}

// giveBack returns the tokens that a node does not use.
func (s *sim) giveBack(node int, name string, denied bool) {
	for _, r := range s.nodes[node].leases.TakeSurplus(s.clock(), name, denied) {
		s.call(node, r.Zone, r.Request, func(*wire.QuotaResponses) {})
	}
}

// prefetch does what a node does in the background.
func (s *sim) prefetch(node int) {
	n := s.nodes[node]
	leases, sent := n.leases, s.clock()
	if m := leases.Prefetch(sent); m != nil {
		s.call(node, s.zones[n.zone], m, func(r *wire.QuotaResponses) { leases.Prefetched(sent, m, r) })
	}
}

// call calls the owner of a zone.
func (s *sim) call(node int, zone fleet.Zone, m *wire.QuotaRequests, then func(*wire.QuotaResponses)) {
	s.calls++
	z := slices.Index(s.zones, zone)
	if s.reaches != nil && !s.reaches(node, z) {
		s.at(s.now+simLatency, func() { then(nil) })
		return
	}
	s.at(s.now+simLatency, func() {
		o := s.owners[z]
		s.at(max(s.now, o.pausedUntil), func() {
			r := new(wire.QuotaResponses)
			if o != s.owners[z] || s.now < o.from || s.now >= o.until {
				r.NotOwner = true
			} else {
				for i := range m.Requests {
					r.Responses = append(r.Responses, o.accounts.Lease(s.clock(), &m.Requests[i]))
				}
			}
			s.at(s.now+simLatency, func() { then(r) })
		})
	})
}

// most returns what a customer used at most in a window that begins at or after from.
func (s *sim) most(c *simCustomer, from time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, x := range c.spent {
		if x.at < from {
			first++
			continue
		}
		sum += x.tokens
		for c.spent[first].at <= x.at-s.rule.Window {
			sum -= c.spent[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

// checkRule checks the rule for all customers.
func (s *sim) checkRule() {
	s.t.Helper()
	for i, c := range s.customers {
		assert.LessOrEqual(s.t, s.most(c, 0), s.rule.Allowed(c.limit), "customer %d", i)
	}
}

// used returns what a customer used between two times.
func (c *simCustomer) used(from, to time.Duration) float64 {
	sum := 0.0
	for _, x := range c.spent {
		if x.at >= from && x.at < to {
			sum += x.tokens
		}
	}
	return sum
}
