package entry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/boottime"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
	"almondturn/pkg/routeplan"
)

// preferenceReasons holds the reasons of zoneRank.preference for people.
var preferenceReasons = [...]string{
	loadedOwnZone:   "model loaded, zone of this node",
	loadedOtherZone: "model loaded",
	localCopy:       "a target has a copy of the weights",
	loadedFull:      "model loaded, no free slot",
	noCopy:          "weights only in the weight store",
	noOrders:        "no connected owner that may order loads",
	notAllowed:      "no replica allowed in the zone",
}

// planRoute returns where a request would go now. It takes nothing and changes nothing: what
// decides on requests is asked with functions that only read.
func (n *Node) planRoute(q routeplan.Query) *routeplan.Plan {
	q.Path, _, _ = strings.Cut(q.Path, "?")
	p := &routeplan.Plan{Node: string(n.self.ID), Zone: string(n.self.Zone), Ready: n.Ready(), Query: q}
	p.Configuration = routeplan.State{Version: n.version(), InForceMillis: n.configurationAge().Milliseconds(), AgeMillis: n.entriesAge(n.decoder.ConfigurationPrefix)}
	p.List.AgeMillis = n.entriesAge(n.decoder.TargetPrefix)
	table := n.table.Load()
	if table == nil || n.targetSet.Load() == nil {
		p.Refusal = "the configuration is not known yet (503)"
		return p
	}
	r := findRoute(table, q)
	if r == nil {
		p.Refusal = "no route for the host and path (404)"
		return p
	}
	j := newPlannedJob(table, r, q)
	n.planCustomer(p, j)
	p.Route = describeRoute(j)
	planService(p, j)
	switch {
	case p.Refusal != "":
	case j.engine:
		n.planEngine(p, j)
	default:
		n.planPlain(p, j)
	}
	return p
}

// newPlannedJob returns the job of the request that a query names.
func newPlannedJob(table *route.Table, r *route.Route, q routeplan.Query) *job {
	j := &job{table: table, arrived: time.Now(), Request: &Request{
		RequestInfo: RequestInfo{ID: q.Request, Model: q.Model, Adapter: q.Adapter, InputTokens: q.InputTokens, MaxOutputTokens: q.OutputTokens, OutputTokens: q.OutputTokens},
		Route:       r, Priority: r.Priority, Method: q.Method, Host: q.Host, URI: q.Path,
	}}
	j.deadline = j.arrived.Add(j.effectiveTimeout())
	return j
}

// planService sets the service of a request.
func planService(p *routeplan.Plan, j *job) {
	backends := j.Route.Backends
	j.service = j.Route.ChooseService(serviceHash(j.streamID()))
	if j.ID == "" && len(backends) > 1 {
		j.service = slices.MaxFunc(backends, func(a, b route.Backend) int { return a.Weight - b.Weight }).Service
		p.Notes = append(p.Notes, "the request identifier decides among the services; shown is the one with the largest weight")
	}
	j.engine = isEngineService(j.table, j.service)
	p.Service, p.Engine = j.service, j.engine
}

// findRoute returns the route of a query, nil for none.
func findRoute(t *route.Table, q routeplan.Query) *route.Route {
	if q.Route == "" {
		return t.Match(q.Host, q.Path)
	}
	for r := range t.Routes() {
		if r.Name == q.Route {
			return r
		}
	}
	return nil
}

// describeRoute returns the route of a request.
func describeRoute(j *job) *routeplan.Route {
	r := j.Route
	out := &routeplan.Route{
		Name: r.Name, Kind: r.Kind.String(), TimeoutMillis: r.Timeout.Milliseconds(), ObjectiveMillis: r.LatencyObjective.Milliseconds(),
		MaxAttempts: r.MaxAttempts, Resumable: r.Resumable, Priority: r.Priority, Rank: j.Priority,
	}
	for _, b := range r.Backends {
		out.Services = append(out.Services, routeplan.Backend{Service: b.Service, Weight: b.Weight})
	}
	return out
}

// planCustomer sets the customer of a request, and what its quota does with it.
func (n *Node) planCustomer(p *routeplan.Plan, j *job) {
	directory := j.table.Customers
	if directory == nil {
		if p.Query.Customer != "" {
			p.Notes = append(p.Notes, "the configuration has no customers")
		}
		return
	}
	c := directory.ByName(p.Query.Customer)
	j.Customer, j.Priority = c, c.RequestPriority(j.Route.Priority)
	if c == nil {
		if !j.Route.Anonymous || p.Query.Customer != "" {
			p.Refusal = "the route needs a customer, and none has this name (401)"
		}
		return
	}
	p.Customer = &routeplan.Customer{Name: c.Name, Limited: c.Quota.Limited()}
	if c.HasPriority {
		p.Customer.Priority = &c.Priority
	}
	if c.Quota.Limited() {
		n.planQuota(p, j)
	}
}

// planQuota sets what the quota of a request's customer does with it.
func (n *Node) planQuota(p *routeplan.Plan, j *job) {
	c, out, now := j.Customer, p.Customer, boottime.Now()
	out.Unit, out.PerSecond, out.Burst = "requests", c.Quota.PerSecond, c.Quota.Burst
	if c.Quota.Tokens {
		out.Unit = "tokens"
	}
	out.Cost = c.Cost(j.InputTokens + j.MaxOutputTokens)
	preview := n.quotas.Peek(now, c.Name, out.Cost)
	out.Held, out.Missing = preview.Held, preview.Missing
	for _, z := range preview.Zones {
		out.AsksZones = append(out.AsksZones, string(z))
	}
	if !preview.DeniedAt.IsZero() {
		out.LastDenial = &routeplan.Denial{
			AgeMillis: now.Sub(preview.DeniedAt).Milliseconds(), Missing: preview.DeniedTokens,
			RetryAfterMillis: max(preview.RetryAt.Sub(now).Milliseconds(), 0), InForce: preview.Denied,
		}
	}
	if preview.Denied {
		p.Refusal = "the quota of the customer is used up (429)"
	}
}

// planEngine sets the zones in the order in which a request tries them, and the targets that it
// may use without an owner.
func (n *Node) planEngine(p *routeplan.Plan, j *job) {
	for _, rank := range n.rankZones(j) {
		z := n.describeZone(rank.zone)
		z.Reason, z.BacklogSteps, z.Weight = preferenceReasons[rank.preference], rank.backlogSteps, rank.weight
		if rank.state != nil {
			z.OrdersAfterMillis = rank.state.OrdersAfterMillis
		}
		if rank.zone == n.self.Zone {
			z.View = n.ownerView(j)
		}
		p.Zones = append(p.Zones, z)
	}
	n.planTargets(p, j, n.reportedTargets(j))
	if !slices.ContainsFunc(p.Zones, func(z routeplan.Zone) bool { return z.View != nil }) {
		p.Notes = append(p.Notes, "only the owner of a zone knows its slots and queue: ask that node")
	}
}

// ownerView returns what the request would find at this node as the owner of its zone, nil if it
// is not the owner.
func (n *Node) ownerView(j *job) *routeplan.View {
	v, ok := n.owner.View(n.self.ID, n.slotRequest(j, false))
	if !ok {
		return nil
	}
	out := &routeplan.View{Waiting: v.Waiting, AgeMillis: v.SinceStep.Milliseconds()}
	for _, c := range v.Candidates {
		out.Targets = append(out.Targets, routeplan.Candidate{
			Target: c.Target, Cost: c.Cost, Running: c.Runs, Slots: c.Slots, PendingPrefillTokens: c.PendingPrefillTokens, Obstacle: c.Obstacle,
		})
	}
	return out
}

// planPlain sets the targets of a plain service in the order in which a request tries them.
func (n *Node) planPlain(p *routeplan.Plan, j *job) {
	for _, zone := range n.settings.Zones {
		p.Zones = append(p.Zones, n.describeZone(zone))
	}
	list := n.targetSet.Load().Service(j.service)
	n.planTargets(p, j, list)
	if _, pause := n.withoutPaused(list); len(p.Targets) == 0 && pause > 0 {
		p.Notes = append(p.Notes, fmt.Sprintf("the first pause ends in %d ms; the request waits if it has the time", pause.Milliseconds()))
	} else if len(p.Targets) == 0 {
		p.Refusal = fmt.Sprintf("no target of the service %q is left (503)", j.service)
	}
}

// planTargets sets the order of targets, and those that are left out.
func (n *Node) planTargets(p *routeplan.Plan, j *job, list []*inventory.Target) {
	now := time.Now()
	candidates, _ := n.withoutPaused(list)
	for _, u := range n.usages.peek(now, candidates, n.self.Zone, j.excluded) {
		t := routeplan.Target{
			Target: u.target.ID, Zone: string(u.target.Zone), Cost: u.cost.total(), Load: u.cost.load, Failures: u.cost.failures,
			OtherZone: u.cost.otherZone, Unreachable: u.cost.unreachable, InFlight: u.inFlight, Others: u.cost.others, Slots: u.cost.slots,
			ReportAgeMillis: ageMillis(now, u.reportedAt),
		}
		if u.reportsPace {
			t.Pace = &u.factor
		}
		if state := n.notices.State(noticeKey(u.target)); state.Limit.Named {
			t.Limit = &routeplan.Limit{PerSecond: state.Limit.PerSecond, AgeMillis: n.notices.Now().Sub(state.LimitAsOf).Milliseconds(), ShareWaitMillis: routeplan.UnknownAge}
			if wait, used := n.shares.peek(noticeKey(u.target)); used {
				t.Limit.ShareWaitMillis = wait.Milliseconds()
			}
		}
		p.Targets = append(p.Targets, t)
	}
	for _, t := range list {
		if reason, knownMillis := n.leftOutReason(j, t, candidates); reason != "" {
			p.LeftOut = append(p.LeftOut, routeplan.LeftOut{Target: t.ID, Zone: string(t.Zone), Reason: reason, AgeMillis: knownMillis})
		}
	}
}

// leftOutReason returns why a target gets no request, and for how many milliseconds that has been
// known. The reason is empty if it is among the candidates that take requests.
func (n *Node) leftOutReason(j *job, t *inventory.Target, candidates []*inventory.Target) (reason string, knownMillis int64) {
	state := n.notices.State(noticeKey(t))
	switch {
	case state.Leaving:
		return "has said that it leaves", n.notices.Now().Sub(state.LeavingSince).Milliseconds()
	case j.table.Drained[t.ID]:
		return "drained by operators", routeplan.UnknownAge
	case t.Draining:
		return "listed as draining", routeplan.UnknownAge
	case !slices.Contains(candidates, t):
		return fmt.Sprintf("has asked for a pause, %d ms left", n.notices.PauseLeft(t.ID).Milliseconds()), routeplan.UnknownAge
	}
	return "", 0
}

// describeZone returns what this node knows of the owner of a zone.
func (n *Node) describeZone(zone fleet.Zone) routeplan.Zone {
	z, now := routeplan.Zone{Zone: string(zone), AgeMillis: routeplan.UnknownAge}, time.Now()
	if zone == n.self.Zone && n.owner.IsOwner() {
		z.Owner, z.Reachable = string(n.self.ID), true
		if age, ok := n.owner.LastZoneStateAge(now); ok {
			z.AgeMillis = age.Milliseconds()
		}
		return z
	}
	link, _ := n.links.ownerLink(zone)
	if link == nil {
		return z
	}
	z.Owner, z.Reachable = string(link.owner.Node), link.conn.Load() != nil
	if at := link.stateAt.Load(); at != nil {
		z.AgeMillis = ageMillis(now, *at)
	}
	if !z.Reachable {
		z.DownMillis = ageMillis(now, *link.downSince.Load())
	}
	return z
}

// entriesAge returns the age of the copy of the entries with a prefix in milliseconds.
func (n *Node) entriesAge(prefix string) int64 {
	for _, w := range n.watches {
		if w.prefix == prefix && w.freshness.confirmedAt.Load() != 0 {
			return w.freshness.age().Milliseconds()
		}
	}
	return routeplan.UnknownAge
}

// ageMillis returns the age of a state in milliseconds.
func ageMillis(now, at time.Time) int64 {
	if at.IsZero() {
		return routeplan.UnknownAge
	}
	return max(now.Sub(at).Milliseconds(), 0)
}

// usageView is a target with its cost.
type usageView struct {
	target      *inventory.Target
	cost        targetCost
	inFlight    int
	reportedAt  time.Time
	factor      float64
	reportsPace bool
	tieBreak    uint64
}

// peek returns the targets among which acquire would choose, in its order. It counts nothing.
func (u *targetUsages) peek(now time.Time, candidates []*inventory.Target, zone fleet.Zone, exclude []string) []usageView {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []usageView
	for _, t := range candidates {
		if !takesRequests(t, exclude) {
			continue
		}
		usage := u.byTarget[t.ID]
		if usage == nil {
			usage = u.unused(t.ID)
		}
		factor, known := u.paces.Factor(now, t.ID)
		out = append(out, usageView{t, usage.cost(now, t, zone, factor, known), usage.inFlight, usage.reportedAt, factor, known, usage.tieBreak})
	}
	slices.SortStableFunc(out, func(a, b usageView) int {
		switch {
		case precedes(a.cost.total(), a.tieBreak, b.cost.total(), b.tieBreak):
			return -1
		case precedes(b.cost.total(), b.tieBreak, a.cost.total(), a.tieBreak):
			return 1
		}
		return 0
	})
	return out
}
