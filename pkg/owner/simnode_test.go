package owner

import (
	"fmt"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/peer"
	"almondturn/wire"
)

// simRoster is one version of a zone's roster.
type simRoster struct {
	epoch   fleet.Epoch
	members []fleet.NodeID
	owners  map[fleet.TargetID]fleet.NodeID // filled by owner
}

func (r simRoster) owner(id fleet.TargetID) fleet.NodeID {
	if owner, ok := r.owners[id]; ok {
		return owner
	}
	v := peer.View{}
	for _, n := range r.members {
		v.Roster = append(v.Roster, fleet.Node{ID: n})
	}
	owner, _ := v.TargetOwner(id)
	if r.owners != nil {
		r.owners[id] = owner
	}
	return owner
}

// simNode is one process with the machines of its zone's targets.
type simNode struct {
	w        *sim
	id       fleet.NodeID
	zone     fleet.Zone
	process  int
	paused   bool
	cut      bool // from the key-value service and its peers
	view     simRoster
	previous simRoster
	catalog  int // index into the world's catalogs
	gone     map[fleet.TargetID]bool
	machines map[fleet.TargetID]*Machine
}

func (n *simNode) restart() {
	n.process++
	n.paused = false
	n.machines = map[fleet.TargetID]*Machine{}
	n.previous = simRoster{}
	n.gone = map[fleet.TargetID]bool{}
	for _, e := range n.w.engines {
		if e.target.Zone != n.zone {
			continue
		}
		m := NewMachine(n.id, e.target.ID, simOptions(), FixedKeepAlive(simKeepAlive))
		m.hooks = n.w.hooks
		m.lastID = uint64(n.process) << 32
		n.machines[e.target.ID] = m
	}
}

func (n *simNode) learn(r simRoster) {
	if r.epoch <= n.view.epoch {
		return
	}
	n.previous = simRoster{}
	if r.epoch == n.view.epoch+1 {
		n.previous = n.view
	}
	n.view = r
}

func (n *simNode) env(id fleet.TargetID) Env {
	e := Env{
		Now: n.w.now, Epoch: n.view.epoch, Owner: n.view.owner(id) == n.id,
		EntryKnown: true, Platform: !n.cut && !n.w.kvDown, Catalog: n.w.catalogs[n.catalog],
		Target: n.w.engine(id).target, Gone: n.gone[id],
	}
	if n.previous.epoch != 0 {
		e.PreviousEpoch, e.PreviousOwner = n.previous.epoch, n.previous.owner(id)
	}
	for _, other := range n.w.nodes {
		if other.zone == n.zone {
			e.EntryNodes = append(e.EntryNodes, other.id)
		}
	}
	return e
}

// handle gives an event to a machine and queues the calls that follow.
func (n *simNode) handle(id fleet.TargetID, ev Event) {
	m := n.machines[id]
	for _, a := range m.Handle(n.env(id), ev) {
		n.w.act(n, id, a)
	}
}

// tick lets every machine of a running node see the time.
func (n *simNode) tick() {
	if n.paused {
		return
	}
	for _, e := range n.w.engines {
		if e.target.Zone == n.zone {
			n.handle(e.target.ID, Tick{})
		}
	}
}

// simCall is a call under way.
type simCall struct {
	node    *simNode
	process int
	target  fleet.TargetID
	action  Action
	// executed is set once the callee has done its part; event is then the
	// answer, nil while a load is running.
	executed bool
	event    Event
	// loading is the engine start on which the call's load runs.
	loading string
	sentAt  int // step
}

func (c *simCall) alive() bool { return c.process == c.node.process }

func (c *simCall) String() string {
	return fmt.Sprintf("%s/%d %s %T%+v executed=%v", c.node.id, c.process, c.target, c.action, c.action, c.executed)
}

// lateOrder is an order whose sender's call has returned; it may still
// reach the engine start it was sent to.
type lateOrder struct {
	order       SendOrder
	target      fleet.TargetID
	incarnation string
	node        *simNode
	process     int
	sentAt      int
}

func simCatalog(limits []int) *catalog.Snapshot {
	spec := &catalog.TeamSpec{Team: "team", Services: []catalog.ServiceSpec{{Name: "s"}}}
	svc := &spec.Services[0]
	for i, size := range []int64{6, 5, 4} {
		if limits[i] < 0 {
			continue
		}
		m := catalog.ModelSpec{Name: fmt.Sprintf("m%d", i), Version: "1", MemoryBytes: size, MaxReplicas: limits[i]}
		if i == 2 {
			m.Adapters = []catalog.AdapterSpec{{Name: "a", MemoryBytes: 1, MaxReplicas: max(limits[4], 0)}}
		}
		svc.Models = append(svc.Models, m)
	}
	if limits[3] >= 0 {
		svc.Models = append(svc.Models, catalog.ModelSpec{Name: "m1", Version: "2", MemoryBytes: 5, MaxReplicas: limits[3]})
	}
	return catalog.Build([]*catalog.TeamSpec{spec}, nil)
}

var simKeys = []fleet.ReplicaKey{
	{Service: "s", Model: "m0", Version: "1"},
	{Service: "s", Model: "m1", Version: "1"},
	{Service: "s", Model: "m1", Version: "2"},
	{Service: "s", Model: "m2", Version: "1"},
	{Service: "s", Model: "m2", Version: "1", Adapter: "a"},
}

func settledOf(a AnswerSettle) *wire.Settled { return &a.Settled }
