package entry

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/customers"
	"almondturn/pkg/inventory"
	"almondturn/pkg/notices"
	"almondturn/pkg/route"
	"almondturn/pkg/routeplan"
	"almondturn/pkg/zoneowner"
	"almondturn/wire"
)

// newPlanNode returns a node of the zone "a" with a plain service "desk" of four targets, and a
// service "engine" with the model "m1" in the zones "b" and "c".
func newPlanNode(t *testing.T) *Node {
	n, _ := newIdleNode(t)
	n.self.Zone = "a"
	n.settings.Zones = []fleet.Zone{"a", "b", "c"}
	n.quotas = newQuotaLeases(n.settings)
	routes := []*route.Route{
		{Name: "order", Host: "app", PathPrefix: "/order/", Kind: route.Unsafe, Priority: 1, Backends: []route.Backend{{Service: "desk", Weight: 1}}},
		{Name: "query", Host: "app", PathPrefix: "/query/", Kind: route.Stream, Anonymous: true, Backends: []route.Backend{{Service: "engine", Weight: 1}}},
	}
	table := route.NewTable(7, routes, map[string]*route.Service{
		"desk":   {Name: "desk"},
		"engine": {Name: "engine", Engine: &route.Engine{Slots: 4, Models: map[string]*route.Model{"m1": {Name: "m1"}}}},
	}, route.RequestLimits{})
	directory, err := customers.NewDirectory([]customers.Entry{{
		Customer: customers.Customer{Name: "north", Quota: customers.Quota{PerSecond: 100, Burst: 100, Tokens: true, PlainTokens: 200}}, Keys: []string{"secret-key"},
	}})
	require.NoError(t, err)
	table.Customers = directory
	n.table.Store(table)
	var list []*inventory.Target
	for _, zone := range n.settings.Zones {
		list = append(list, &inventory.Target{ID: "desk-" + string(zone), Service: "desk", Zone: zone, Slots: 4})
	}
	list = append(list, &inventory.Target{ID: "desk-old", Service: "desk", Zone: "a", Slots: 4, Draining: true})
	for _, zone := range n.settings.Zones[1:] {
		list = append(list, &inventory.Target{ID: "engine-" + string(zone), Service: "engine", Zone: zone, Slots: 4, Models: []inventory.LoadedModel{{Name: "m1"}}})
	}
	n.targetSet.Store(inventory.NewTargetSet(list))
	for _, zone := range n.settings.Zones[1:] {
		at := time.Now().Add(-300 * time.Millisecond)
		link := &ownerLink{zone: zone, owner: zoneowner.OwnerRecord{Node: fleet.NodeID("owner-" + zone)}}
		link.conn.Store(new(wire.Conn))
		link.state.Store(&wire.ZoneState{Zone: zone, Loaded: map[string][]string{"engine": {"m1"}}})
		link.stateAt.Store(&at)
		link.markDown(at)
		n.links.owners[zone] = link
	}
	return n
}

var (
	orderQuery  = routeplan.Query{Host: "app", Path: "/order/1?x=y", Customer: "north"}
	engineQuery = routeplan.Query{Host: "app", Path: "/query/1", Model: "m1"}
)

// targetNames returns the names of the targets of a plan, in order.
func targetNames(p *routeplan.Plan) []string {
	var out []string
	for _, t := range p.Targets {
		out = append(out, t.Target)
	}
	return out
}

// Guards against an explanation that orders targets unlike requests, or hides why one is left out.
func TestPlanOfAPlainServiceAgreesWithTheNextRequest(t *testing.T) {
	draining := map[string]string{"desk-old": "listed as draining"}
	for _, c := range []struct {
		name    string
		prepare func(n *Node)
		first   string
		leftOut map[string]string
	}{
		{"own zone", func(*Node) {}, "desk-a", draining},
		{"load", func(n *Node) {
			n.usages.get("desk-a").inFlight += 3
			n.usages.release(time.Now(), "desk-b", sendResult{kind: completed, info: ResponseInfo{Running: 3, Slots: 4}})
		}, "desk-c", draining},
		{"unreachable", func(n *Node) {
			n.usages.release(time.Now(), "desk-a", sendResult{kind: unreachable})
			n.usages.release(time.Now(), "desk-b", sendResult{kind: failedRun})
		}, "desk-c", draining},
		{"pace", func(n *Node) {
			for _, id := range []string{"desk-a", "desk-b", "desk-c"} {
				n.usages.get(id).inFlight += 2
			}
			for range 20 {
				n.usages.paces.Observe(time.Now(), "desk-a", 2.5)
			}
			n.usages.get("desk-b").inFlight++
		}, "desk-c", draining},
		{"pause and departure", func(n *Node) {
			n.notices.Record(notices.Key{Target: "desk-a"}, notices.Notice{Pause: time.Minute})
			n.notices.Record(notices.Key{Target: "desk-old"}, notices.Notice{Leaving: true})
			n.usages.get("desk-b").inFlight++
		}, "desk-c", map[string]string{"desk-a": "has asked for a pause", "desk-old": "has said that it leaves"}},
	} {
		n := newPlanNode(t)
		c.prepare(n)
		p := n.planRoute(orderQuery)
		require.Empty(t, p.Refusal, c.name)
		require.Len(t, p.LeftOut, len(c.leftOut), c.name)
		for _, l := range p.LeftOut {
			assert.Contains(t, l.Reason, c.leftOut[l.Target], c.name)
		}
		for _, target := range p.Targets {
			assert.InDelta(t, target.Cost, target.Load+target.Failures+target.OtherZone+target.Unreachable, 1e-9)
		}
		require.Equal(t, c.first, p.Targets[0].Target, c.name)
		// Each request excludes the targets before it, so that the whole order is compared.
		j := &job{Request: &Request{Route: n.table.Load().Match("app", "/order/1")}, service: "desk", deadline: time.Now().Add(time.Minute)}
		for _, name := range targetNames(p) {
			a, refusal := n.choosePlainTarget(t.Context(), j)
			require.Nil(t, refusal, c.name)
			assert.Equal(t, name, a.target.ID, c.name)
			j.excluded = append(j.excluded, a.target.ID)
		}
	}
}

// Guards against an explanation of zones that differs from the order in which requests ask them.
func TestPlanOfAnEngineServiceShowsTheOrderOfZones(t *testing.T) {
	for _, c := range []struct {
		name       string
		prepare    func(n *Node)
		preference map[fleet.Zone]int
	}{
		{"loaded in other zones", func(*Node) {}, map[fleet.Zone]int{"b": loadedOtherZone, "c": loadedOtherZone, "a": noOrders}},
		{"full", func(n *Node) {
			n.links.owners["b"].state.Store(&wire.ZoneState{Loaded: map[string][]string{"engine": {"m1"}}, Full: map[string][]string{"engine": {"m1"}}})
		}, map[fleet.Zone]int{"c": loadedOtherZone, "b": loadedFull, "a": noOrders}},
		{"no connection", func(n *Node) { n.links.owners["b"].conn.Store(nil) }, map[fleet.Zone]int{"c": loadedOtherZone, "a": noOrders, "b": noOrders}},
		{"not loaded", func(n *Node) { n.links.owners["c"].state.Store(&wire.ZoneState{OrdersAfterMillis: 40}) }, map[fleet.Zone]int{"b": loadedOtherZone, "c": noOrders, "a": noOrders}},
	} {
		n := newPlanNode(t)
		c.prepare(n)
		p := n.planRoute(engineQuery)
		j := &job{Request: &Request{RequestInfo: RequestInfo{Model: "m1"}}, table: n.table.Load(), service: "engine"}
		var zones []fleet.Zone
		for _, z := range p.Zones {
			zone := fleet.Zone(z.Zone)
			zones = append(zones, zone)
			assert.Equal(t, preferenceReasons[c.preference[zone]], z.Reason, "%s: zone %s", c.name, zone)
			link := n.links.owners[zone]
			assert.Equal(t, link != nil && link.conn.Load() != nil, z.Reachable, "%s: zone %s", c.name, zone)
			if link == nil {
				assert.EqualValues(t, routeplan.UnknownAge, z.AgeMillis)
			} else {
				assert.GreaterOrEqual(t, z.AgeMillis, int64(300), "the age of the state")
			}
		}
		assert.Equal(t, n.zoneOrder(j), zones, c.name)
		assert.ElementsMatch(t, []string{"engine-b", "engine-c"}, targetNames(p))
	}
}

// Guards against a plan for a request that is rejected before it has a target, and against keys
// in the output.
func TestPlanNamesRejectionsAndNoKeys(t *testing.T) {
	n := newPlanNode(t)
	for want, q := range map[string]routeplan.Query{
		"no route": {Host: "app", Path: "/other"},
		"(401)":    {Host: "app", Path: "/order/1", Customer: "secret-key"},
		"(503)":    {Route: "order", Customer: "north"},
	} {
		if want == "(503)" {
			n.targetSet.Store(inventory.NewTargetSet(nil))
		}
		assert.Contains(t, n.planRoute(q).Refusal, want)
	}
	n = newPlanNode(t)
	assert.Contains(t, n.planRoute(routeplan.Query{Route: "order"}).Refusal, "(401)")
	p := n.planRoute(orderQuery)
	assert.NotContains(t, fmt.Sprintf("%+v %+v", p, p.Customer), "secret-key")
	assert.InDelta(t, 200, p.Customer.Cost, 0)
	assert.Equal(t, []string{"a"}, p.Customer.AsksZones[:1])
	n.table.Store(nil)
	assert.Contains(t, n.planRoute(orderQuery).Refusal, "(503)")
}

// Guards against an explanation that takes a slot, a token or a permit, counts load or demand, or
// leaves entries for what it has looked at.
func TestPlanChangesNothing(t *testing.T) {
	n := newPlanNode(t)
	limited := notices.Key{Target: "desk-b"}
	n.notices.RecordLimit(limited, notices.RateLimit{Named: true, PerSecond: 2}, n.notices.Now())
	n.notices.RecordLimit(notices.Key{Target: "desk-c"}, notices.RateLimit{Named: true, PerSecond: 2}, n.notices.Now())
	n.shares.wait(limited, notices.RateLimit{Named: true, PerSecond: 2})
	n.usages.release(time.Now(), "desk-a", sendResult{kind: completed, info: ResponseInfo{Running: 2, Slots: 4, PacePercent: 70}})
	before := dumpState(n)
	for _, q := range []routeplan.Query{orderQuery, engineQuery, {Route: "order"}, {Route: "query", Model: "unknown", InputTokens: 9}, {Host: "x", Path: "/"}} {
		for range 20 {
			n.planRoute(q)
		}
	}
	time.Sleep(5 * time.Millisecond) // a bucket that fills would differ
	n.planRoute(orderQuery)
	assert.Equal(t, before, dumpState(n))
	n.usages.acquire(time.Now(), n.targetSet.Load().Service("desk"), "a", nil)
	assert.NotEqual(t, before, dumpState(n), "a request does change the state")
}

// dumpState returns all that a node reaches, as text. Contents of atomic pointers, which are
// replaced and not changed, count by their address.
func dumpState(n *Node) string {
	out, seen := new(strings.Builder), map[uintptr]bool{}
	var dump func(v reflect.Value)
	dump = func(v reflect.Value) {
		switch v.Kind() {
		case reflect.Pointer:
			if v.IsNil() || seen[v.Pointer()] {
				fmt.Fprint(out, v.IsNil(), ";")
				return
			}
			seen[v.Pointer()] = true
			dump(v.Elem())
		case reflect.Interface:
			if !v.IsNil() {
				dump(v.Elem())
			}
		case reflect.Struct:
			for i := range v.NumField() {
				fmt.Fprint(out, v.Type().Field(i).Name, ":")
				dump(v.Field(i))
			}
		case reflect.Slice, reflect.Array:
			for i := range v.Len() {
				dump(v.Index(i))
			}
		case reflect.Map:
			keys := v.MapKeys()
			slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
			for _, k := range keys {
				fmt.Fprint(out, k, "=")
				dump(v.MapIndex(k))
			}
		case reflect.Func, reflect.Chan:
		default:
			fmt.Fprint(out, v, ";")
		}
	}
	dump(reflect.ValueOf(n))
	return out.String()
}
