package zoneowner

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/pkg/customers"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
	"almondturn/pkg/scheduler"
	"almondturn/wire"
)

// fullZones are three zones, each with one target with 16 slots and the same model, and nodes
// that request slots as package entry does. A run takes a second.
type fullZones struct {
	now        time.Time
	schedulers []*scheduler.Scheduler
	// full is the broadcast state, which is renewed each 100 ms.
	full []bool
	ends []map[scheduler.RunID]time.Time
	// objectives are those of the requests by zone, and served counts the requests that were
	// granted, and inTime those within their objective.
	objectives     []map[scheduler.Ticket]time.Duration
	served, inTime int
}

func newFullZones() *fullZones {
	z := &fullZones{now: time.Unix(1_700_000_000, 0), full: make([]bool, 3)}
	e := &route.Engine{Slots: 16, CacheTokens: 1_000_000, WeightsMB: 100, Models: map[string]*route.Model{"m": {Name: "m", WeightsMB: 40, WeightStoreLoadTime: time.Minute}}}
	for i := range 3 {
		s := scheduler.New(0)
		s.SetCustomers(new(customers.Directory)) // the wait is named where the configuration has customers
		s.SetServices(map[string]*route.Service{"s": {Name: "s", Engine: e}})
		s.SetTargets(z.now, []*inventory.Target{{ID: fmt.Sprint(i), Service: "s", Slots: 16, Models: []inventory.LoadedModel{{Name: "m"}}}})
		s.ReportReceived(z.now, fmt.Sprint(i), inventory.Report{Models: []inventory.LoadedModel{{Name: "m"}}})
		z.schedulers = append(z.schedulers, s)
		z.ends = append(z.ends, map[scheduler.RunID]time.Time{})
		z.objectives = append(z.objectives, map[scheduler.Ticket]time.Duration{})
	}
	return z
}

// step runs a step of a zone and returns the refusal of a request, nil if there is none.
func (z *fullZones) step(zone int, of scheduler.Ticket) (refusal *scheduler.Refusal) {
	for _, a := range z.schedulers[zone].Step(z.now) {
		switch a := a.(type) {
		case scheduler.Grant:
			z.served++
			if a.Waited <= z.objectives[zone][a.Ticket] {
				z.inTime++
			}
			z.ends[zone][a.Run] = z.now.Add(time.Second)
		case scheduler.Refusal:
			if a.Ticket == of {
				refusal = &a
			}
		}
	}
	return refusal
}

func (z *fullZones) submit(zone int, objective time.Duration, lastResort bool) *scheduler.Refusal {
	ticket := z.schedulers[zone].Submit(z.now, scheduler.Request{
		Service: "s", Model: "m", InputTokens: 800, OutputTokens: 300, OtherZonesRefused: lastResort,
		LatencyObjective: objective, ObjectiveAt: z.now.Add(objective), Deadline: z.now.Add(12 * time.Second),
	})
	z.objectives[zone][ticket] = objective
	return z.step(zone, ticket)
}

// request requests a slot for a node of a zone: from its own zone, the others with free slots and
// then the full ones, and at last from the first zone of lastResort.
func (z *fullZones) request(home int, objective time.Duration, lastResort func([]Referral) []fleet.Zone) {
	order := []int{0, 1, 2}
	slices.SortStableFunc(order, func(a, b int) int { return z.rank(home, a) - z.rank(home, b) })
	var referrals []Referral
	for _, zone := range order {
		refusal := z.submit(zone, objective, false)
		if refusal == nil || refusal.Reason != scheduler.TryOtherZone {
			return
		}
		referrals = append(referrals, Referral{fleet.Zone(fmt.Sprint(zone)), refusalResponse(*refusal)})
	}
	z.submit(int(lastResort(referrals)[0][0]-'0'), objective, true)
}

func (z *fullZones) rank(home, zone int) int {
	switch {
	case z.full[zone]:
		return 2
	case zone != home:
		return 1
	default:
		return 0
	}
}

// play plays 20 s of a demand in requests per second, in groups of 3, three quarters of
// which have an objective of 400 ms and the others of 2.5 s.
func (z *fullZones) play(seed int64, demand func(second float64) float64, lastResort func([]Referral) []fleet.Zone) (offered int) {
	rnd := rand.New(rand.NewSource(seed))
	for tick := range 20 * 100 {
		z.now = z.now.Add(10 * time.Millisecond)
		for i, s := range z.schedulers {
			for _, id := range slices.Sorted(maps.Keys(z.ends[i])) {
				if !z.now.Before(z.ends[i][id]) {
					s.RunEnded(z.now, id, scheduler.Completed)
					delete(z.ends[i], id)
				}
			}
			z.step(i, 0)
			if tick%10 == 0 {
				z.full[i] = len(s.Summary(z.now).Full["s"]) > 0
			}
		}
		if rnd.Float64() >= demand(float64(tick)/100)/3/100 {
			continue
		}
		for range 3 {
			offered++
			objective := 400 * time.Millisecond
			if rnd.Intn(4) == 0 {
				objective = 2500 * time.Millisecond
			}
			z.request(rnd.Intn(3), objective, lastResort)
		}
	}
	return offered
}

// inOrder is the order of the last resort as it was before waits were compared.
func inOrder(referrals []Referral) []fleet.Zone {
	for i := range referrals {
		referrals[i].Response = &wire.SlotResponse{}
	}
	return LastResort(referrals)
}

// Load: 0.8, 1 and 1.25 times the capacity of three zones, with peaks and without. Guards against
// one queue for the requests of all zones, and against a choice that serves fewer of them.
func TestRequestsThatAllZonesReferAreQueuedWhereTheyAreServedSoonest(t *testing.T) {
	for _, mean := range []float64{38, 48, 60} {
		for _, amplitude := range []float64{0, 0.55} {
			t.Run(fmt.Sprintf("%v a second, amplitude %v", mean, amplitude), func(t *testing.T) {
				demand := func(second float64) float64 { return mean * (1 + amplitude*math.Sin(2*math.Pi*second/17)) }
				var served, inTime [2]int
				offered := 0
				for seed := range int64(3) {
					for i, lastResort := range []func([]Referral) []fleet.Zone{inOrder, LastResort} {
						z := newFullZones()
						offered = z.play(seed, demand, lastResort)
						served[i] += z.served
						inTime[i] += z.inTime
					}
				}
				t.Logf("served %d, before %d, in time %d, before %d, of about %d", served[1], served[0], inTime[1], inTime[0], 3*offered)
				assert.GreaterOrEqual(t, served[1], served[0])
				assert.GreaterOrEqual(t, inTime[1], inTime[0])
			})
		}
	}
}
