package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// writeFreshness is the greatest age of the read that a write is based on.
const writeFreshness = 2 * time.Second

// decide returns what the present state asks for.
func (c *Core) decide(now time.Time) []Action {
	c.changed = true
	c.forgivePause(now)
	out := c.decideWatch(now)
	if w, ok := c.decideWrite(now); ok {
		out = append(out, w)
	}
	if c.wantsRead(now) {
		out = append(out, c.startRead())
	}
	return out
}

// decideWatch keeps the zone's first nodes watching the rosters.
func (c *Core) decideWatch(now time.Time) []Action {
	s := &c.service
	watch := c.Rank(now, "watch") < c.opts.Watchers
	switch {
	case watch && !s.watching && s.synced && !s.older && !now.Before(s.nextWatch):
		s.watching = true
		return []Action{StartWatch{After: platform.Revision(s.readRevision)}}
	case s.watching && (!watch || s.older):
		s.watching = false
		return []Action{StopWatch{}}
	}
	return nil
}

// Rank returns this node's place among the live nodes of its zone for a
// duty, 0 first. A leaving node has no duty.
func (c *Core) Rank(now time.Time, duty string) int {
	if c.leaving {
		return len(c.nodes) + 1
	}
	return slices.Index(fleet.Ranked(c.liveInZone(now), duty+"/"+string(c.self.Zone)), c.self.ID)
}

func (c *Core) liveInZone(now time.Time) []fleet.NodeID {
	out := []fleet.NodeID{c.self.ID}
	for id, n := range c.nodes {
		if n.Zone == c.self.Zone && c.live(now, n) {
			out = append(out, id)
		}
	}
	return out
}

func (c *Core) live(now time.Time, n *node) bool {
	return n.confirmed && !n.last.Leaving && c.silentFor(now, n) == 0
}

// wantsRead tells whether the rosters have to be read: until the first
// success, after writes that did not succeed, and regularly by the watchers.
func (c *Core) wantsRead(now time.Time) bool {
	s := &c.service
	return !s.reading && !s.writing && !now.Before(s.nextRead) && (!s.synced || s.watching)
}

func (c *Core) startRead() Action {
	s := &c.service
	s.reading = true
	s.readFloor = readFloor{generation: s.generation, revision: s.revision, epoch: c.roster.Epoch, writeID: c.roster.WriteID}
	return ReadRosters{}
}

// decideWrite proposes the next roster when the present one is wrong.
func (c *Core) decideWrite(now time.Time) (Action, bool) {
	s := &c.service
	if s.writing || s.older || !s.synced || c.superseded || now.Before(s.nextWrite) {
		return nil, false
	}
	members := c.wantedMembers(now)
	if slices.Equal(members, c.roster.Members) && !s.repair {
		return nil, false
	}
	if s.reading || now.Sub(s.lastRead) > writeFreshness {
		c.wantFreshRead(now)
		return nil, false
	}
	s.writing = true
	s.written = wire.Roster{
		Zone:    c.self.Zone,
		Epoch:   c.roster.Epoch + 1,
		WriteID: c.writeID(now),
		Members: members,
	}
	return WriteRoster{Roster: s.written, Expect: platform.Revision(c.roster.Revision)}, true
}

// wantFreshRead asks for a read before the write, so that nothing is written
// to a service that has come back older. After a failed call the wait for
// the next one still holds.
func (c *Core) wantFreshRead(now time.Time) {
	s := &c.service
	s.synced = false
	if s.answered.After(s.failed) {
		s.nextRead = now
	}
}

// writeID is unique: the incarnation is, and the epoch and time tell the
// writes of one process apart.
func (c *Core) writeID(now time.Time) string {
	return fmt.Sprintf("%s/%s/%d/%d", c.self.ID, c.self.Incarnation, c.roster.Epoch+1, now.UnixNano())
}

// wantedMembers returns the members that the roster should have, in order.
func (c *Core) wantedMembers(now time.Time) []fleet.Node {
	evict := c.toEvict(now)
	var out []fleet.Node
	for _, m := range c.roster.Members {
		if !slices.Contains(evict, m.ID) && (m.ID != c.self.ID || !c.leaving) {
			out = append(out, m)
		}
	}
	if !c.isMember() && c.mayJoin(now) {
		out = slices.DeleteFunc(out, func(m fleet.Node) bool { return m.ID == c.self.ID })
		out = append(out, c.self)
		slices.SortFunc(out, func(a, b fleet.Node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return out
}

// mayJoin tells whether the node may add itself. A node that does not hear at
// least half of the members, both ways, waits: they would remove it again.
// One that was removed waits too, so that it never contends with a member
// that does not hear it.
func (c *Core) mayJoin(now time.Time) bool {
	if c.leaving || c.superseded || now.Before(c.rejoin) {
		return false
	}
	members, heard := 0, 0
	for _, m := range c.roster.Members {
		if m.ID == c.self.ID {
			continue
		}
		members++
		if c.hearEachOther(now, m.ID) {
			heard++
		}
	}
	return 2*heard >= members || !now.Before(c.joinAlone)
}

// hearEachOther tells whether a node is heard and does not find this one silent.
func (c *Core) hearEachOther(now time.Time, id fleet.NodeID) bool {
	n := c.nodes[id]
	if n == nil || !n.confirmed || c.silentFor(now, n) > 0 {
		return false
	}
	return !slices.Contains(n.last.Silent, c.self.ID)
}

// toEvict returns the members that this node may remove now.
func (c *Core) toEvict(now time.Time) []fleet.NodeID {
	if !c.isMember() || c.leaving {
		return nil
	}
	reached, unreached := c.reach(now)
	var out []fleet.NodeID
	for _, id := range unreached {
		if c.mayEvict(now, id, reached) {
			out = append(out, id)
		}
	}
	if len(out) == 0 {
		c.evictSince = time.Time{}
		return nil
	}
	if c.evictSince.IsZero() {
		c.evictSince = now
	}
	rank := slices.Index(fleet.Ranked(reached, "evict/"+string(c.self.Zone)), c.self.ID)
	if now.Sub(c.evictSince) < time.Duration(rank)*c.opts.EvictStagger {
		return nil
	}
	return out
}

// reach splits the members into those heard from, this node included, and
// the silent ones.
func (c *Core) reach(now time.Time) (reached, unreached []fleet.NodeID) {
	for _, m := range c.roster.Members {
		if m.ID == c.self.ID || !c.silent(now, m.ID) {
			reached = append(reached, m.ID)
		} else {
			unreached = append(unreached, m.ID)
		}
	}
	return reached, unreached
}

// mayEvict tells whether a silent member may be removed: at least half of
// the other reachable members find it silent too, and this side has the
// majority of the roster, or the member has been silent for long under the
// same roster.
func (c *Core) mayEvict(now time.Time, id fleet.NodeID, reached []fleet.NodeID) bool {
	others, agree := 0, 0
	for _, o := range reached {
		if o == c.self.ID {
			continue
		}
		others++
		if slices.Contains(c.nodes[o].last.Silent, id) {
			agree++
		}
	}
	if 2*agree < others {
		return false
	}
	if c.hasMajority(reached) {
		return true
	}
	silent := c.silentFor(now, c.nodes[id])
	return min(silent, now.Sub(c.inForce)) > c.opts.EvictAloneAfter
}

// hasMajority tells whether the reached members are more than half of the
// roster; of two halves the one with the first member in order counts.
func (c *Core) hasMajority(reached []fleet.NodeID) bool {
	all := len(c.roster.Members)
	if 2*len(reached) != all {
		return 2*len(reached) > all
	}
	ids := make([]fleet.NodeID, 0, all)
	for _, m := range c.roster.Members {
		ids = append(ids, m.ID)
	}
	first, _ := fleet.Owner(ids, "evict/"+string(c.self.Zone))
	return slices.Contains(reached, first)
}

// greet returns what a newly connected node is told.
func (c *Core) greet(id fleet.NodeID) []Action {
	out := []Action{Send{To: id, Message: c.Rosters()}}
	var strangers []fleet.Node
	for _, n := range c.nodes {
		if n.connected && n.ID != id && !c.inRosters(n.ID) {
			strangers = append(strangers, n.Node)
		}
	}
	if len(strangers) > 0 {
		out = append(out, Send{To: id, Message: &wire.PeerList{Nodes: strangers}})
	}
	return out
}

func (c *Core) inRosters(id fleet.NodeID) bool {
	has := func(r wire.Roster) bool {
		return slices.ContainsFunc(r.Members, func(m fleet.Node) bool { return m.ID == id })
	}
	if has(c.roster) {
		return true
	}
	for _, r := range c.others {
		if has(r) {
			return true
		}
	}
	return false
}

// Rosters returns all rosters known, as peers are told of them.
func (c *Core) Rosters() *wire.RosterUpdate {
	out := &wire.RosterUpdate{}
	if c.roster.Epoch > 0 {
		out.Rosters = append(out.Rosters, c.roster)
	}
	for _, r := range c.others {
		out.Rosters = append(out.Rosters, r)
	}
	slices.SortFunc(out.Rosters, func(a, b wire.Roster) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	return out
}
