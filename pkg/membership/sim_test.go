package membership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/kv"
	"almondturn/wire"
)

// simStep is the virtual time between two looks at every node.
const simStep = 250 * time.Millisecond

// sim runs cores over a network and a service whose faults the test sets.
// Nothing in it runs by itself: step lets virtual time pass.
type sim struct {
	now   time.Time
	store *kv.Store
	nodes map[fleet.NodeID]*simNode
	// cut holds the directed pairs that do not hear each other.
	cut map[[2]fleet.NodeID]bool
	// platformCut holds the nodes that do not reach the service.
	platformCut map[fleet.NodeID]bool
	writeIDs    map[rosterID]string // to write identifier
	starts      int
	steps       int
	failures    []string
	lossy       bool // the service has lost data: an epoch may return
}

type rosterID struct {
	zone  fleet.Zone
	epoch fleet.Epoch
}

type simNode struct {
	core     *Core
	paused   bool
	inbox    []func(now time.Time) []Action
	watching bool
	watched  platform.Revision
	epoch    fleet.Epoch
}

func newSim() *sim {
	s := &sim{
		now:         time.Unix(1_000_000, 0),
		nodes:       map[fleet.NodeID]*simNode{},
		cut:         map[[2]fleet.NodeID]bool{},
		platformCut: map[fleet.NodeID]bool{},
		writeIDs:    map[rosterID]string{},
	}
	s.store = kv.New(s)
	return s
}

// Now implements platform.Clock.
func (s *sim) Now() time.Time { return s.now }

// start runs a process; a node of that identifier is replaced.
func (s *sim) start(id fleet.NodeID, zone fleet.Zone) {
	s.starts++
	self := fleet.Node{ID: id, Zone: zone, Incarnation: fmt.Sprintf("%s-%06d", id, s.starts), Addr: string(id) + ":1"}
	s.kill(id)
	s.nodes[id] = &simNode{core: NewCore(DefaultOptions(), self, s.now)}
	for _, other := range s.ids() {
		if other == id || s.cut[[2]fleet.NodeID{id, other}] || s.cut[[2]fleet.NodeID{other, id}] {
			continue
		}
		s.connect(id, other)
		s.connect(other, id)
	}
}

// connect tells one node that another has a connection.
func (s *sim) connect(at, who fleet.NodeID) {
	core, node := s.nodes[at].core, s.nodes[who].core.self
	s.post(at, func(now time.Time) []Action { return core.Connected(now, node) })
}

// kill ends a process; the others see its connections end.
func (s *sim) kill(id fleet.NodeID) {
	if s.nodes[id] == nil {
		return
	}
	delete(s.nodes, id)
	for _, other := range s.ids() {
		core := s.nodes[other].core
		s.post(other, func(now time.Time) []Action { return core.Lost(now, id) })
	}
}

func (s *sim) ids() []fleet.NodeID {
	var out []fleet.NodeID
	for id := range s.nodes {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (s *sim) partition(a, b []fleet.NodeID) {
	for _, x := range a {
		for _, y := range b {
			s.cut[[2]fleet.NodeID{x, y}] = true
			s.cut[[2]fleet.NodeID{y, x}] = true
		}
	}
}

func (s *sim) heal() {
	s.cut = map[[2]fleet.NodeID]bool{}
	s.platformCut = map[fleet.NodeID]bool{}
	s.store.SetFaults(kv.Faults{})
	for _, n := range s.nodes {
		n.paused = false
	}
}

// run lets time pass.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	s.steps++
	for _, id := range s.ids() {
		n := s.nodes[id]
		if n.paused {
			continue
		}
		inbox := n.inbox
		n.inbox = nil
		for _, event := range inbox {
			s.do(id, event(s.now))
		}
		s.watch(id)
		s.do(id, n.core.Tick(s.now))
		if s.steps%4 == 0 {
			hb := n.core.Heartbeat(s.now)
			s.broadcast(id, "", &hb)
		}
		s.check(id)
	}
}

// check looks after every step for a broken promise.
func (s *sim) check(id fleet.NodeID) {
	n := s.nodes[id]
	r := n.core.roster
	if r.Epoch < n.epoch {
		s.failures = append(s.failures, fmt.Sprintf("%s: epoch fell from %d to %d", id, n.epoch, r.Epoch))
	}
	n.epoch = r.Epoch
	key := rosterID{zone: r.Zone, epoch: r.Epoch}
	if known, ok := s.writeIDs[key]; ok && known != r.WriteID && !s.lossy {
		s.failures = append(s.failures, fmt.Sprintf("%s: two rosters at %v: %q and %q", id, key, known, r.WriteID))
	}
	s.writeIDs[key] = r.WriteID
}

func (s *sim) post(to fleet.NodeID, event func(now time.Time) []Action) {
	if n := s.nodes[to]; n != nil {
		n.inbox = append(n.inbox, event)
	}
}

func (s *sim) send(from, to fleet.NodeID, m wire.Message) {
	target := s.nodes[to]
	if target == nil || s.cut[[2]fleet.NodeID{from, to}] {
		return
	}
	core, sender := target.core, s.nodes[from].core.self
	s.post(to, func(now time.Time) []Action {
		switch m := m.(type) {
		case *wire.Heartbeat:
			return core.Heard(now, sender, *m)
		case *wire.RosterUpdate:
			return core.Told(now, m.Rosters)
		case *wire.PeerList:
			return core.Named(now, m.Nodes)
		case *wire.Acknowledge:
			return core.Acknowledged(now, *m)
		}
		return nil
	})
}

func (s *sim) broadcast(from fleet.NodeID, zone fleet.Zone, m wire.Message) {
	for _, id := range s.ids() {
		if id != from && (zone == "" || s.nodes[id].core.self.Zone == zone) {
			s.send(from, id, m)
		}
	}
}

func (s *sim) do(id fleet.NodeID, actions []Action) {
	n := s.nodes[id]
	for _, a := range actions {
		switch a := a.(type) {
		case ReadRosters:
			rosters, revision, err := s.read(id)
			s.post(id, func(now time.Time) []Action { return n.core.Read(now, rosters, revision, err) })
		case WriteRoster:
			revision, err := s.write(id, a)
			s.post(id, func(now time.Time) []Action { return n.core.Written(now, revision, err) })
		case StartWatch:
			n.watching, n.watched = true, a.After
		case StopWatch:
			n.watching = false
		case FetchRosters:
			if from := s.nodes[a.From]; from != nil && !from.paused && !s.cut[[2]fleet.NodeID{id, a.From}] {
				s.send(a.From, id, from.core.Rosters())
			}
		case Send:
			s.send(id, a.To, a.Message)
		case Broadcast:
			s.broadcast(id, a.Zone, a.Message)
		}
	}
}

var errCut = fmt.Errorf("cut off: %w", platform.ErrUnavailable)

func (s *sim) read(id fleet.NodeID) ([]wire.Roster, platform.Revision, error) {
	return s.readAfter(id, 0)
}

// readAfter returns the rosters that have changed after a revision.
func (s *sim) readAfter(id fleet.NodeID, after platform.Revision) ([]wire.Roster, platform.Revision, error) {
	if s.platformCut[id] {
		return nil, 0, errCut
	}
	entries, revision, err := s.store.List(context.Background(), rosterPrefix)
	var out []wire.Roster
	for _, e := range entries {
		if e.ModRevision <= after {
			continue
		}
		r, decodeErr := decodeRoster(e)
		err = errors.Join(err, decodeErr)
		out = append(out, r)
	}
	return out, revision, err
}

func (s *sim) write(id fleet.NodeID, w WriteRoster) (platform.Revision, error) {
	if s.platformCut[id] {
		return 0, errCut
	}
	value, err := encodeRoster(w.Roster)
	if err != nil {
		return 0, err
	}
	return s.store.CompareAndSwap(context.Background(), rosterKey(w.Roster.Zone), value, w.Expect, 0)
}

// watch delivers what has changed since the last step.
func (s *sim) watch(id fleet.NodeID) {
	n := s.nodes[id]
	if !n.watching {
		return
	}
	rosters, revision, err := s.readAfter(id, n.watched)
	if err != nil {
		n.watching = false
		s.do(id, n.core.WatchEnded(s.now))
		return
	}
	for _, r := range rosters {
		s.do(id, n.core.Watched(s.now, r))
	}
	n.watched = revision
}

// acknowledge is what an operator does at the first node that shows the alarm.
func (s *sim) acknowledge() {
	for _, id := range s.ids() {
		n := s.nodes[id]
		if !n.core.service.older || n.paused {
			continue
		}
		_, revision, err := s.read(id)
		if err == nil {
			s.do(id, n.core.Acknowledge(s.now, revision))
		}
		return
	}
}

// forgetRosters drops the record of epochs: a restored service that only
// new nodes reach may give an epoch out again, which only the engines' own
// fencing numbers can show.
func (s *sim) forgetRosters() { s.lossy = true }

// view returns a node's view.
func (s *sim) view(id fleet.NodeID) *peer.View { return s.nodes[id].core.View(s.now) }

// settled tells why the nodes of a zone do not agree on a roster of exactly
// themselves, or returns an empty string.
func (s *sim) settled(zone fleet.Zone) string {
	var want []fleet.NodeID
	for _, id := range s.ids() {
		if s.nodes[id].core.self.Zone == zone {
			want = append(want, id)
		}
	}
	var epoch fleet.Epoch
	for _, id := range want {
		v := s.view(id)
		var got []fleet.NodeID
		for _, m := range v.Roster {
			got = append(got, m.ID)
		}
		if !slices.Equal(got, want) || !v.Member {
			return fmt.Sprintf("%s: roster %v at epoch %d, member %t, want %v", id, got, v.Epoch, v.Member, want)
		}
		if epoch != 0 && v.Epoch != epoch {
			return fmt.Sprintf("%s: epoch %d, others %d", id, v.Epoch, epoch)
		}
		epoch = v.Epoch
	}
	return ""
}
