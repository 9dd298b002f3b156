// Package membership keeps a node's view of the others: the roster of its
// zone, which decides who owns targets, and the nodes heard from recently.
//
// Core decides, as a state machine without I/O; Service runs it.
package membership

import (
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/wire"
)

// Core is the membership state machine of one node. Its methods take the
// time and an event, and return what is to be done. It does no I/O and is
// not safe for concurrent use.
type Core struct {
	opts Options
	self fleet.Node

	// roster is that of the node's own zone, others those of the other zones.
	roster  wire.Roster
	inForce time.Time // since when roster is in force here
	others  map[fleet.Zone]wire.Roster
	nodes   map[fleet.NodeID]*node

	lastTick time.Time
	sequence uint64 // of heartbeats
	service  serviceState

	leaving    bool
	superseded bool // a later process has this node's identifier
	wasMember  bool
	evictions  int       // times that this node was removed while running
	joinAlone  time.Time // when it may join although it hears too few
	rejoin     time.Time // when it may join again after it was removed
	evictSince time.Time // since when there are members to remove
	nextFetch  time.Time
	changed    bool // the view may have changed
}

// node is what is known of another node.
type node struct {
	fleet.Node
	heard     time.Time // the last heartbeat, or when it was first named
	confirmed bool      // a heartbeat has arrived
	connected bool
	lost      time.Time // the end of the last connection
	last      wire.Heartbeat
}

// become takes the description of a node in. What a former process of the
// node said, such as its count of heartbeats, does not hold for a new one.
func (n *node) become(who fleet.Node) {
	if n.Incarnation != who.Incarnation {
		n.confirmed = false
		n.last = wire.Heartbeat{}
	}
	n.Node = who
}

// serviceState is what is known of the key-value service.
type serviceState struct {
	// generation and revision are the highest known by this node.
	generation uint64
	revision   uint64
	older      bool
	// repair is set after an acknowledgement until the record is rewritten.
	repair bool

	answered time.Time // the last call that was executed
	failed   time.Time // the last call that was not
	synced   bool      // one read has succeeded

	reading      bool
	readFloor    readFloor
	lastRead     time.Time
	readRevision uint64 // of the last read
	nextRead     time.Time
	writing      bool
	written      wire.Roster // what is being written
	nextWrite    time.Time
	watching     bool
	nextWatch    time.Time
}

// readFloor is what a linearizable read must at least return, noted at its start.
type readFloor struct {
	generation uint64
	revision   uint64
	epoch      fleet.Epoch
	writeID    string
}

// NewCore returns the state of a node that has just started.
func NewCore(opts Options, self fleet.Node, now time.Time) *Core {
	return &Core{
		opts:      opts,
		self:      self,
		roster:    wire.Roster{Zone: self.Zone},
		others:    map[fleet.Zone]wire.Roster{},
		nodes:     map[fleet.NodeID]*node{},
		lastTick:  now,
		joinAlone: now.Add(opts.JoinAloneAfter),
	}
}

// Tick lets time pass.
func (c *Core) Tick(now time.Time) []Action {
	c.forgivePause(now)
	c.forget(now)
	c.lastTick = now
	return c.decide(now)
}

// forgivePause resets the silence of all nodes when this process itself did
// not run for a while: it could not have heard them.
func (c *Core) forgivePause(now time.Time) {
	if now.Sub(c.lastTick) < c.opts.SuspicionTimeout/2 {
		return
	}
	for _, n := range c.nodes {
		n.heard = now
		n.lost = now
	}
	c.evictSince = time.Time{}
}

// forget drops nodes that are in no roster and have been gone for long.
func (c *Core) forget(now time.Time) {
	for id, n := range c.nodes {
		gone := now.Sub(n.heard) > c.opts.ForgetAfter && now.Sub(n.lost) > c.opts.ForgetAfter
		if !n.connected && gone && !c.inRosters(id) {
			delete(c.nodes, id)
		}
	}
}

// Connected tells that a node has a connection.
func (c *Core) Connected(now time.Time, who fleet.Node) []Action {
	n := c.node(now, who)
	n.become(who)
	n.connected = true
	n.heard = now
	return append(c.greet(who.ID), c.decide(now)...)
}

// Lost tells that the last connection to a node has ended.
func (c *Core) Lost(now time.Time, id fleet.NodeID) []Action {
	if n := c.nodes[id]; n != nil && n.connected {
		n.connected = false
		n.lost = now
	}
	return c.decide(now)
}

// Heard takes a heartbeat in.
func (c *Core) Heard(now time.Time, who fleet.Node, hb wire.Heartbeat) []Action {
	n := c.node(now, who)
	news := !n.confirmed || n.Node != who || c.silentFor(now, n) > 0 ||
		hb.Leaving != n.last.Leaving || hb.Platform != n.last.Platform
	if n.confirmed && n.Incarnation == who.Incarnation && hb.Sequence < n.last.Sequence {
		return nil // delayed on a connection that was replaced
	}
	n.become(who)
	n.heard = now
	n.confirmed = true
	n.connected = true
	n.last = hb
	c.learnRevision(hb.Generation, hb.MaxRevision)
	if hb.PlatformOlder && hb.Generation == c.service.generation {
		c.service.older = true
	}
	var out []Action
	if who.Zone == c.self.Zone && hb.Epoch > c.roster.Epoch && now.After(c.nextFetch) {
		c.nextFetch = now.Add(c.opts.RetryInterval)
		out = append(out, FetchRosters{From: who.ID})
	}
	if !news {
		return out // the next tick looks at the rest
	}
	return append(out, c.decide(now)...)
}

// Named tells of nodes that a peer knows.
func (c *Core) Named(now time.Time, nodes []fleet.Node) []Action {
	for _, n := range nodes {
		if n.ID != c.self.ID {
			c.node(now, n)
		}
	}
	return c.decide(now)
}

// Told takes rosters in that a peer has read or written.
func (c *Core) Told(now time.Time, rosters []wire.Roster) []Action {
	var out []Action
	for _, r := range rosters {
		if c.adopt(now, r) && r.Zone == c.self.Zone {
			out = append(out, RosterAdopted{Roster: r})
		}
	}
	return append(out, c.decide(now)...)
}

// node returns the state of a node, new when it is named the first time.
func (c *Core) node(now time.Time, who fleet.Node) *node {
	n := c.nodes[who.ID]
	if n == nil {
		n = &node{Node: who, heard: now, lost: now}
		c.nodes[who.ID] = n
	}
	return n
}

// adopt puts a roster in force when its epoch is higher than known.
func (c *Core) adopt(now time.Time, r wire.Roster) bool {
	if r.Zone != c.self.Zone {
		if r.Epoch <= c.others[r.Zone].Epoch {
			return false
		}
		c.others[r.Zone] = r
		c.nameMembers(now, r)
		return true
	}
	if r.Epoch == c.roster.Epoch && r.WriteID == c.roster.WriteID && r.Revision > c.roster.Revision {
		c.roster.Revision = r.Revision
	}
	if r.Epoch <= c.roster.Epoch {
		return false
	}
	c.roster = r
	c.inForce = now
	c.nameMembers(now, r)
	c.evictSince = time.Time{}
	c.noteOwnPlace(now)
	return true
}

func (c *Core) nameMembers(now time.Time, r wire.Roster) {
	for _, m := range r.Members {
		if m.ID != c.self.ID {
			c.node(now, m)
		}
	}
}

// noteOwnPlace follows whether this node is a member of the new roster.
func (c *Core) noteOwnPlace(now time.Time) {
	i := slices.IndexFunc(c.roster.Members, func(m fleet.Node) bool { return m.ID == c.self.ID })
	switch {
	case i >= 0 && c.roster.Members[i] == c.self:
		c.wasMember = true
	case i >= 0 && c.wasMember && c.roster.Members[i].Incarnation > c.self.Incarnation:
		c.superseded = true
	case i < 0 && c.wasMember && !c.leaving:
		c.evictions++
		c.rejoin = now.Add(c.backOff(c.opts.RetryInterval))
		c.joinAlone = now.Add(c.backOff(c.opts.JoinAloneAfter))
	}
}

// backOff doubles a wait with each removal of this node, up to JoinAloneMax.
func (c *Core) backOff(wait time.Duration) time.Duration {
	return min(wait<<min(c.evictions, 16), c.opts.JoinAloneMax)
}

// isMember tells whether this very process is in the roster in force.
func (c *Core) isMember() bool { return slices.Contains(c.roster.Members, c.self) }

// silentFor returns how long a node has been silent, or 0 when it is not.
func (c *Core) silentFor(now time.Time, n *node) time.Duration {
	unheard := now.Sub(n.heard)
	if unheard > c.opts.SuspicionTimeout {
		return unheard
	}
	if lost := now.Sub(n.lost); !n.connected && lost > c.opts.LostTimeout {
		return max(lost, 1)
	}
	return 0
}

func (c *Core) silent(now time.Time, id fleet.NodeID) bool {
	n := c.nodes[id]
	return n == nil || c.silentFor(now, n) > 0
}

// Leave begins the planned departure: the node removes itself from the roster.
func (c *Core) Leave(now time.Time) []Action {
	c.leaving = true
	return append([]Action{SendHeartbeats{}}, c.decide(now)...)
}

// Heartbeat returns the next heartbeat.
func (c *Core) Heartbeat(now time.Time) wire.Heartbeat {
	c.forgivePause(now)
	c.sequence++
	hb := wire.Heartbeat{
		Epoch:         c.roster.Epoch,
		Sequence:      c.sequence,
		Leaving:       c.leaving,
		Platform:      c.platformKnownUp(now),
		MaxRevision:   c.service.revision,
		Generation:    c.service.generation,
		PlatformOlder: c.service.older,
	}
	for id, n := range c.nodes {
		if n.Zone == c.self.Zone && c.silentFor(now, n) > 0 {
			hb.Silent = append(hb.Silent, id)
		}
	}
	slices.Sort(hb.Silent)
	return hb
}
