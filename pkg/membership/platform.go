package membership

import (
	"errors"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// directKnowledge is how long a call's outcome tells whether the key-value
// service is up, for a node that does not watch it.
const directKnowledge = 15 * time.Second

// writeStagger spreads the next writes of nodes whose writes met, by rank.
const writeStagger = 10 * time.Millisecond

// Read takes the result of ReadRosters: the records and the service's
// revision at that moment.
func (c *Core) Read(now time.Time, rosters []wire.Roster, revision platform.Revision, err error) []Action {
	s := &c.service
	s.reading = false
	if err != nil {
		s.failed = now
		s.nextRead = now.Add(c.opts.RetryInterval)
		return c.decide(now)
	}
	s.answered = now
	s.nextRead = now.Add(c.opts.PollInterval)
	if s.readFloor.generation != s.generation {
		s.nextRead = now
		return c.decide(now) // an acknowledgement came in between
	}
	stored := c.storedRoster(rosters)
	if out, ok := c.checkNotOlder(stored, uint64(revision)); !ok {
		return append(out, c.decide(now)...)
	}
	s.synced = true
	s.lastRead = now
	s.readRevision = uint64(revision)
	c.learnRevision(s.generation, uint64(revision))
	c.noteBehind(stored)
	return c.Told(now, rosters)
}

func (c *Core) storedRoster(rosters []wire.Roster) wire.Roster {
	for _, r := range rosters {
		if r.Zone == c.self.Zone {
			return r
		}
	}
	return wire.Roster{Zone: c.self.Zone}
}

// checkNotOlder raises the alarm when the read returned less than what was
// known at its start: the service is linearizable, so it has lost data.
func (c *Core) checkNotOlder(stored wire.Roster, revision uint64) ([]Action, bool) {
	s := &c.service
	behind := s.readFloor.isBehind(stored) && !s.repair
	if revision >= s.readFloor.revision && !behind {
		return nil, !s.older
	}
	if s.older {
		return nil, false
	}
	s.older = true
	return []Action{ServiceOlder{Known: s.readFloor.revision, Read: revision}, SendHeartbeats{}}, false
}

// FoundOlder raises the alarm for another package, whose call returned a
// lower revision than was known in that generation when the call began.
func (c *Core) FoundOlder(now time.Time, generation, known, read uint64) []Action {
	s := &c.service
	if s.older || generation != s.generation {
		return nil
	}
	s.older = true
	return append([]Action{ServiceOlder{Known: known, Read: read}, SendHeartbeats{}}, c.decide(now)...)
}

// noteBehind prepares the rewrite of a record that, after an
// acknowledgement, is behind the roster in force.
func (c *Core) noteBehind(stored wire.Roster) {
	s := &c.service
	if !s.repair {
		return
	}
	if s.readFloor.isBehind(stored) && c.roster.Epoch == s.readFloor.epoch {
		c.roster.Revision = stored.Revision
		return
	}
	s.repair = false
}

// isBehind tells whether the stored record lacks the roster that was in
// force when the read started.
func (f *readFloor) isBehind(stored wire.Roster) bool {
	return stored.Epoch < f.epoch || (stored.Epoch == f.epoch && stored.WriteID != f.writeID)
}

// Watched takes one change in that the watch has delivered.
func (c *Core) Watched(now time.Time, r wire.Roster) []Action {
	c.service.answered = now
	if c.service.older {
		return nil
	}
	c.learnRevision(c.service.generation, r.Revision)
	known := c.epochOf(r.Zone)
	out := c.Told(now, []wire.Roster{r})
	if r.Epoch > known {
		out = append(out, Broadcast{Zone: c.self.Zone, Message: &wire.RosterUpdate{Rosters: []wire.Roster{r}}})
	}
	return out
}

func (c *Core) epochOf(zone fleet.Zone) fleet.Epoch {
	if zone == c.self.Zone {
		return c.roster.Epoch
	}
	return c.others[zone].Epoch
}

// WatchEnded tells that the watch failed; it starts again after a read.
func (c *Core) WatchEnded(now time.Time) []Action {
	s := &c.service
	s.watching = false
	s.synced = false
	s.nextWatch = now.Add(c.opts.RetryInterval)
	if !s.failed.After(s.answered) {
		s.nextRead = now
	}
	return c.decide(now)
}

// Written takes the result of WriteRoster.
func (c *Core) Written(now time.Time, revision platform.Revision, err error) []Action {
	s := &c.service
	s.writing = false
	if err == nil {
		s.answered = now
		s.repair = false
		r := s.written
		r.Revision = uint64(revision)
		r.Generation = s.generation
		c.learnRevision(s.generation, r.Revision)
		told := Broadcast{Message: &wire.RosterUpdate{Rosters: []wire.Roster{r}}}
		return append([]Action{told}, c.Told(now, []wire.Roster{r})...)
	}
	if errors.Is(err, platform.ErrUnavailable) {
		s.failed = now
		s.nextWrite = now.Add(c.opts.RetryInterval)
		return c.decide(now)
	}
	// A conflict or a lost answer: the record decides, and until it is read
	// back nothing is written.
	s.synced = false
	s.nextRead = now
	s.nextWrite = now.Add(time.Duration(c.Rank(now, "write")) * writeStagger)
	return c.decide(now)
}

// ReportService tells the outcome of a call that another package has made,
// and the revision that it returned, if any.
func (c *Core) ReportService(now time.Time, up bool, revision platform.Revision) {
	if !up {
		c.service.failed = now
		return
	}
	c.service.answered = now
	c.learnRevision(c.service.generation, uint64(revision))
}

// platformKnownUp tells whether this node itself reaches the service.
func (c *Core) platformKnownUp(now time.Time) bool {
	s := &c.service
	return s.answered.After(s.failed) && now.Sub(s.answered) < directKnowledge
}

// platformUp tells whether the service is reached by this node or, when it
// makes no calls, by another node of its zone.
func (c *Core) platformUp(now time.Time) bool {
	s := &c.service
	if c.platformKnownUp(now) {
		return true
	}
	if now.Sub(s.failed) < directKnowledge && s.failed.After(s.answered) {
		return false
	}
	for _, n := range c.nodes {
		if n.Zone == c.self.Zone && n.last.Platform && c.live(now, n) {
			return true
		}
	}
	return false
}

// learnRevision keeps the highest revision known. A higher generation means
// that an operator has acknowledged a loss: counting starts again there.
func (c *Core) learnRevision(generation, revision uint64) {
	s := &c.service
	switch {
	case generation > s.generation:
		s.generation = generation
		s.revision = revision
		s.older = false
		s.repair = c.roster.Epoch > 0
		s.synced = false
		s.nextRead = time.Time{}
	case generation == s.generation:
		s.revision = max(s.revision, revision)
	}
}

// Acknowledge accepts a service that came back older, at the revision that
// it has now. The rosters in force are written to it again with higher epochs.
func (c *Core) Acknowledge(now time.Time, revision platform.Revision) []Action {
	next := c.service.generation + 1
	c.learnRevision(next, uint64(revision))
	told := Broadcast{Message: &wire.Acknowledge{Generation: next, Revision: uint64(revision)}}
	return append([]Action{told, SendHeartbeats{}}, c.decide(now)...)
}

// Acknowledged takes in that an operator acknowledged at another node.
func (c *Core) Acknowledged(now time.Time, a wire.Acknowledge) []Action {
	c.learnRevision(a.Generation, a.Revision)
	return c.decide(now)
}
