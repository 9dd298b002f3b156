package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/wire"
)

// place is leave to send a request to a target.
type place struct {
	target fleet.Target
	load   *targetLoad
	// home granted the place and wants to hear of its end; empty for a
	// place that this node took by itself.
	home fleet.NodeID
	cold bool
}

// congestion remembers the replicas whose home reported a queue.
type congestion struct {
	until sync.Map // fleet.ReplicaKey to time.Time
}

func (c *congestion) set(k fleet.ReplicaKey, until time.Time) { c.until.Store(k, until) }

func (c *congestion) active(k fleet.ReplicaKey, now time.Time) bool {
	t, ok := c.until.Load(k)
	if !ok {
		return false
	}
	if now.After(t.(time.Time)) {
		c.until.Delete(k)
		return false
	}
	return true
}

// handleCongested takes a home's word that requests wait for a replica.
func (d *Dispatcher) handleCongested(_ context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
	c := m.(*wire.Congested)
	valid := min(time.Duration(c.ValidMillis)*time.Millisecond, d.opts.CongestedFor)
	d.congested.set(c.Key, d.clock.Now().Add(valid))
	return &wire.Ack{}, nil
}

// acquire finds a place for the request: at a loaded replica directly while
// this node keeps within its share, or by a model home's grant. When no
// zone has one it asks again until the deadline, unless the replica may not
// be loaded at all. When the deadline ends the wait, the error is the reason
// why there was no place.
func (d *Dispatcher) acquire(ctx context.Context, r *Request, not exclusion) (place, error) {
	var reason error
	for {
		if p, ok := d.direct(r, not.exclude); ok {
			return p, nil
		}
		p, err := d.fromZones(ctx, r, not)
		switch {
		case err == nil:
			return p, nil
		case placeMayCome(r, err):
			reason = err
		case reason != nil && (ctx.Err() != nil || fault.KindOf(err) == fault.DeadlineExceeded):
			return place{}, reason
		default:
			return place{}, err
		}
		if !sleep(ctx, jitter(d.opts.PlacePause)) {
			return place{}, reason
		}
	}
}

// placeMayCome tells whether a place may come before the deadline although
// all zones have refused one.
func placeMayCome(r *Request, err error) bool {
	if r.Replica.MaxReplicas <= 0 {
		return false
	}
	switch fault.KindOf(err) {
	case fault.NoCapacity, fault.NoReplica, fault.PlatformUnavailable:
		return true
	default:
		return false
	}
}

// fromZones asks the homes of one zone after another. The error is the
// first zone's.
func (d *Dispatcher) fromZones(ctx context.Context, r *Request, not exclusion) (place, error) {
	own := d.view().Self.Zone
	var first error
	for _, zone := range d.zonesFor(r.Replica.Key) {
		hops := 1
		if zone == own {
			hops = 0
		}
		p, err := d.fromHomes(ctx, r, zone, not, hops)
		if err == nil {
			return p, nil
		}
		if first == nil {
			first = err
		}
		if ctx.Err() != nil || !otherZoneMayServe(err) {
			break
		}
	}
	return place{}, first
}

// zonesFor returns the zones in the order in which they are asked: those
// with the replica loaded, for adapters then those with the base model
// loaded, then the others; each time the own zone first. A place at a
// loaded replica comes sooner than a load.
func (d *Dispatcher) zonesFor(k fleet.ReplicaKey) []fleet.Zone {
	zones := append([]fleet.Zone{d.view().Self.Zone}, d.otherZones()...)
	rank := map[fleet.Zone]int{}
	if k.Adapter != "" {
		for _, c := range d.dir.Loaded(k.Base()) {
			rank[c.Target.Zone] = 1
		}
	}
	now := d.clock.Now()
	for _, c := range d.dir.Loaded(k) {
		if !d.loads.stale.active(staleKey{c.Target.ID, k}, c.Report, now) {
			rank[c.Target.Zone] = 2
		}
	}
	slices.SortStableFunc(zones, func(a, b fleet.Zone) int { return rank[b] - rank[a] })
	return zones
}

// otherZoneMayServe tells whether a refusal by the own zone leaves hope.
func otherZoneMayServe(err error) bool {
	switch fault.KindOf(err) {
	case fault.NoCapacity, fault.NoReplica, fault.Overloaded, fault.PlatformUnavailable:
		return true
	default:
		return false
	}
}

// direct takes a place at a loaded replica without asking the home.
func (d *Dispatcher) direct(r *Request, exclude []fleet.TargetID) (place, bool) {
	key := r.Replica.Key
	now := d.clock.Now()
	if d.congested.active(key, now) {
		return place{}, false
	}
	view := d.view()
	c, ok := d.loads.choose(d.dir.Loaded(key), choice{
		zone:    view.Self.Zone,
		service: key.Service,
		replica: key,
		exclude: exclude,
		now:     now,
		share:   liveIn(view.Live, view.Self.Zone),
	})
	if !ok {
		return place{}, false
	}
	load := d.loads.get(c.Target.ID)
	load.inflight.Add(1)
	return place{target: c.Target, load: load}, true
}

func liveIn(nodes []fleet.Node, zone fleet.Zone) int {
	n := 0
	for i := range nodes {
		if nodes[i].Zone == zone {
			n++
		}
	}
	return max(1, n)
}

// otherZones returns the zones with live nodes, without the own one.
func (d *Dispatcher) otherZones() []fleet.Zone {
	view := d.view()
	var out []fleet.Zone
	for _, n := range view.Live {
		if n.Zone != view.Self.Zone && !slices.Contains(out, n.Zone) {
			out = append(out, n.Zone)
		}
	}
	slices.Sort(out)
	return out
}

// fromHomes queues the request at the zone's homes of the replica, in the
// order in which they take each other's place. Only this node sends the
// request, so that queueing it twice does not run it twice.
func (d *Dispatcher) fromHomes(ctx context.Context, r *Request, zone fleet.Zone, not exclusion, hops int) (place, error) {
	var silent []fleet.NodeID
	for {
		home, ok := d.nextHome(zone, r.Replica.Key, silent)
		if !ok {
			return place{}, fault.New(fault.NoCapacity, "no node of zone %q could queue the request", zone)
		}
		p, err := d.fromHome(ctx, r, home, not, hops)
		if err == nil || ctx.Err() != nil || !homeFailed(err) {
			return p, err
		}
		event.HomeChanged.Log(&d.logger).Err(err).Str("home", string(home)).Str("request", r.ID).Send()
		silent = append(silent, home)
	}
}

func (d *Dispatcher) nextHome(zone fleet.Zone, k fleet.ReplicaKey, silent []fleet.NodeID) (fleet.NodeID, bool) {
	for _, id := range d.view().Homes(zone, k) {
		if !slices.Contains(silent, id) {
			return id, true
		}
	}
	return "", false
}

// homeFailed tells whether err means that the home did not decide.
func homeFailed(err error) bool {
	switch fault.KindOf(err) {
	case fault.ShuttingDown, fault.TargetUnreachable, fault.OutcomeUnknown, fault.Internal, fault.CallerGone:
		return true
	default:
		return false
	}
}

// fromHome waits at one home until it grants or refuses, asking again after
// each slice.
func (d *Dispatcher) fromHome(ctx context.Context, r *Request, home fleet.NodeID, not exclusion, hops int) (place, error) {
	key := r.Replica.Key
	for {
		ask := &wire.Acquire{
			RequestID:       r.ID,
			Key:             key,
			Team:            r.Identity.Team,
			Class:           int(r.Class),
			RemainingMillis: r.Deadline.Sub(d.clock.Now()).Milliseconds(),
			Exclude:         not.exclude,
			NotLoaded:       not.notLoaded,
			Hops:            hops,
		}
		grant, err := d.ask(ctx, home, ask)
		if err == nil && grant.Waiting && ctx.Err() != nil {
			err = fault.New(fault.CallerGone, "the request ended while it waited: %w", ctx.Err())
		}
		if err != nil {
			d.endGrant(home, &wire.GrantEnd{RequestID: r.ID, Key: key})
			return place{}, err
		}
		if grant.Queued > 0 {
			d.congested.set(key, d.clock.Now().Add(d.opts.CongestedFor))
		}
		if !grant.Waiting {
			return d.granted(home, grant), nil
		}
		if !slices.Contains(d.view().Homes(zoneOf(d.view().Live, home), key), home) {
			d.endGrant(home, &wire.GrantEnd{RequestID: r.ID, Key: key})
			return place{}, fault.New(fault.ShuttingDown, "home %s left", home)
		}
	}
}

func zoneOf(nodes []fleet.Node, id fleet.NodeID) fleet.Zone {
	for i := range nodes {
		if nodes[i].ID == id {
			return nodes[i].Zone
		}
	}
	return ""
}

func (d *Dispatcher) granted(home fleet.NodeID, g *wire.Grant) place {
	load := d.loads.get(g.Target.ID)
	p := place{target: g.Target, load: load, home: home, cold: g.Cold}
	if home != d.view().Self.ID {
		load.inflight.Add(1) // the home counts its own node's requests as granted
	}
	return p
}

// ask makes one call to a home, which must answer within the slice.
func (d *Dispatcher) ask(parent context.Context, home fleet.NodeID, m *wire.Acquire) (*wire.Grant, error) {
	ctx, cancel := context.WithTimeout(parent, d.opts.AcquireSlice+d.opts.AcquireGrace)
	defer cancel()
	answer, err := d.net.Call(ctx, home, m)
	if err != nil {
		if parent.Err() == nil && ctx.Err() != nil {
			return nil, fault.New(fault.TargetUnreachable, "home %s did not answer: %w", home, err)
		}
		return nil, err
	}
	grant, ok := answer.(*wire.Grant)
	if !ok {
		return nil, fault.New(fault.Internal, "home %s answered with message type %d", home, answer.Type())
	}
	return grant, nil
}

// release gives the place back. service is the time that the target took,
// 0 when it did not complete the request.
func (d *Dispatcher) release(r *Request, p place, service time.Duration) {
	self := d.view().Self.ID
	if p.home != self {
		p.load.inflight.Add(-1)
	}
	if p.home == "" {
		return
	}
	d.endGrant(p.home, &wire.GrantEnd{RequestID: r.ID, Key: r.Replica.Key, ServiceMillis: service.Milliseconds()})
}

// endGrant tells a home in the background. A home that does not hear of it
// takes the place back at the request's deadline.
func (d *Dispatcher) endGrant(home fleet.NodeID, m *wire.GrantEnd) {
	if home == d.view().Self.ID {
		d.home.Release(m)
		return
	}
	d.ends.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.opts.AcquireGrace)
		defer cancel()
		_, _ = d.net.Call(ctx, home, m)
	})
}
