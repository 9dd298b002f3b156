package admin

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/gin-gonic/gin"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/membership"
)

// StatusAnswer answers GET /admin/v1/status.
type StatusAnswer struct {
	// Node is the node that answers; the rest is as it sees it.
	Node  fleet.NodeID `json:"node"`
	Zone  fleet.Zone   `json:"zone"`
	Epoch fleet.Epoch  `json:"epoch"`
	// PlatformUp is true while the node reaches the key-value service.
	PlatformUp bool `json:"platform_up"`
	// PlatformOlder is true when the service came back older than known, and
	// OlderTeams are the teams whose subtree there is older.
	PlatformOlder bool         `json:"platform_older"`
	OlderTeams    []fleet.Team `json:"older_teams,omitempty"`
	// InAgreement is true when all reached nodes have the same settings in force.
	InAgreement bool         `json:"in_agreement"`
	Zones       []ZoneStatus `json:"zones"`
	Nodes       []NodeStatus `json:"nodes"`
}

// ZoneStatus sums up one availability zone.
type ZoneStatus struct {
	Zone    fleet.Zone `json:"zone"`
	Nodes   int        `json:"nodes"`
	Reached int        `json:"reached"`
	Ready   int        `json:"ready"`
}

// NodeStatus is the state of one node.
type NodeStatus struct {
	Node fleet.NodeID `json:"node"`
	Zone fleet.Zone   `json:"zone"`
	// Live is false for a member that has not been heard of lately.
	Live bool `json:"live"`
	// Reached is false when the node did not answer in time.
	Reached   bool                  `json:"reached"`
	Ready     bool                  `json:"ready"`
	Revisions map[fleet.Team]uint64 `json:"revisions"`
}

// TargetsAnswer answers GET /admin/v1/targets.
type TargetsAnswer struct {
	Targets []Target `json:"targets"`
}

// DrainAnswer answers drain and undrain.
type DrainAnswer struct {
	Target fleet.TargetID `json:"target"`
	// Draining is true after a drain.
	Draining bool `json:"draining"`
}

// AcknowledgeAnswer answers an acknowledgement.
type AcknowledgeAnswer struct {
	Acknowledged bool `json:"acknowledged"`
}

// nodeStatus shows only the revisions that the operator may see.
func nodeStatus(n catalog.NodeRevisions, op operator) NodeStatus {
	out := NodeStatus{Node: n.Node.ID, Zone: n.Node.Zone, Live: true, Reached: n.Reached, Ready: n.Ready, Revisions: map[fleet.Team]uint64{}}
	for team, revision := range n.Revisions {
		if op.may(team) {
			out.Revisions[team] = revision
		}
	}
	return out
}

func (s *Server) status(c *gin.Context) error {
	op, err := s.authenticate(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.ApplyTimeout)
	defer cancel()
	view := s.view()
	answer := StatusAnswer{
		Node: s.self.ID, Zone: s.self.Zone, Epoch: view.Epoch,
		PlatformUp: view.PlatformUp, PlatformOlder: view.PlatformOlder || len(s.catalog.Older()) > 0,
	}
	for _, team := range s.catalog.Older() {
		if op.may(team) {
			answer.OlderTeams = append(answer.OlderTeams, team)
		}
	}
	nodes := s.catalog.InForce(ctx)
	answer.InAgreement = agree(nodes)
	for _, n := range nodes {
		answer.Nodes = append(answer.Nodes, nodeStatus(n, op))
	}
	answer.Nodes = append(answer.Nodes, s.unreachable(answer.Nodes)...)
	slices.SortStableFunc(answer.Nodes, func(a, b NodeStatus) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Node, b.Node))
	})
	answer.Zones = zoneStatuses(answer.Nodes)
	c.JSON(http.StatusOK, answer)
	return nil
}

// unreachable lists the members of all zones that are neither live nor in
// listed, which was taken from an earlier view.
func (s *Server) unreachable(listed []NodeStatus) []NodeStatus {
	live := map[fleet.NodeID]bool{s.self.ID: true}
	for _, n := range listed {
		live[n.Node] = true
	}
	for _, n := range s.view().Live {
		live[n.ID] = true
	}
	var out []NodeStatus
	for _, n := range s.members.Members() {
		if !live[n.ID] {
			out = append(out, NodeStatus{Node: n.ID, Zone: n.Zone})
		}
	}
	return out
}

// acknowledge accepts a key-value service that came back older, for rosters
// and replica slots; the settings of teams have restore.
func (s *Server) acknowledge(c *gin.Context) error {
	op, err := s.authorizeRoot(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.ApplyTimeout)
	defer cancel()
	err = s.members.Acknowledge(ctx)
	if errors.Is(err, membership.ErrNotOlder) {
		return fault.New(fault.BadRequest, "%w", err)
	}
	if err != nil {
		return fault.New(fault.PlatformUnavailable, "the key-value service does not answer: %w", err)
	}
	event.AdminAcknowledged.Log(&s.log).Str("author", author(c, op)).Send()
	c.JSON(http.StatusOK, AcknowledgeAnswer{Acknowledged: true})
	return nil
}

// agree tells whether all reached nodes have the same settings in force.
func agree(nodes []catalog.NodeRevisions) bool {
	reached := slices.DeleteFunc(slices.Clone(nodes), func(n catalog.NodeRevisions) bool { return !n.Reached })
	return !slices.ContainsFunc(reached, func(n catalog.NodeRevisions) bool { return n.Sum != reached[0].Sum })
}

// zoneStatuses sums nodes up, which are sorted by zone.
func zoneStatuses(nodes []NodeStatus) []ZoneStatus {
	var out []ZoneStatus
	for _, n := range nodes {
		if len(out) == 0 || out[len(out)-1].Zone != n.Zone {
			out = append(out, ZoneStatus{Zone: n.Zone})
		}
		z := &out[len(out)-1]
		z.Nodes++
		if n.Reached {
			z.Reached++
		}
		if n.Ready {
			z.Ready++
		}
	}
	return out
}

// listTargets shows the targets; of their replicas only those of services
// that the operator's teams have.
func (s *Server) listTargets(c *gin.Context) error {
	op, err := s.authenticate(c)
	if err != nil {
		return err
	}
	answer := TargetsAnswer{Targets: []Target{}}
	snap := s.catalog.Snapshot()
	hidden := func(k fleet.ReplicaKey) bool {
		_, team, _ := snap.Service(k.Service)
		return !op.may(team)
	}
	for _, t := range s.targets.Targets() {
		t.Slots = slices.DeleteFunc(slices.Clone(t.Slots), hidden)
		t.State.Replicas = slices.DeleteFunc(slices.Clone(t.State.Replicas), func(r fleet.ReplicaState) bool { return hidden(r.Key) })
		if !op.root {
			t.State.InMemory, t.State.OnDisk = nil, nil
		}
		answer.Targets = append(answer.Targets, t)
	}
	c.JSON(http.StatusOK, answer)
	return nil
}

func (s *Server) drain(c *gin.Context) error   { return s.setDrain(c, true) }
func (s *Server) undrain(c *gin.Context) error { return s.setDrain(c, false) }

// setDrain tells all nodes that a target takes no new work, or takes it again.
func (s *Server) setDrain(c *gin.Context, draining bool) error {
	op, err := s.authorizeRoot(c)
	if err != nil {
		return err
	}
	id := fleet.TargetID(c.Param("target"))
	if !slices.ContainsFunc(s.targets.Targets(), func(t Target) bool { return t.Target.ID == id }) {
		return fault.New(fault.UnknownPath, "target %q does not exist", id)
	}
	s.targets.Drain(id, !draining)
	event.AdminDrain.Log(&s.log).Str("target", string(id)).Bool("draining", draining).Str("author", author(c, op)).Send()
	c.JSON(http.StatusOK, DrainAnswer{Target: id, Draining: draining})
	return nil
}
