package operators

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/gin-gonic/gin"

	"almondturn/fleet"
	"almondturn/pkg/entry"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/inventory"
)

// StatusResponse is the answer to GET /admin/v1/status.
type StatusResponse struct {
	// Node is the node that answers; the rest is as it sees it.
	Node fleet.NodeID `json:"node"`
	Zone fleet.Zone   `json:"zone"`
	// Change is the number of the last change in force on the node.
	Change int64 `json:"change"`
	// Revisions are those in force on the node, by team.
	Revisions map[fleet.Team]uint64 `json:"revisions"`
	// InAgreement is true when all reached nodes have the same settings in force.
	InAgreement bool         `json:"in_agreement"`
	Zones       []ZoneStatus `json:"zones"`
}

// ZoneStatus sums up one availability zone.
type ZoneStatus struct {
	Zone fleet.Zone `json:"zone"`
	// Owner is empty when no owner of the zone was reached.
	Owner fleet.NodeID `json:"owner"`
	Nodes []NodeStatus `json:"nodes"`
}

// NodeStatus is the state of one node.
type NodeStatus struct {
	Node   fleet.NodeID `json:"node"`
	Ready  bool         `json:"ready"`
	Change int64        `json:"change"`
}

// Target is one row of TargetsResponse.
type Target struct {
	Target  string     `json:"target"`
	Service string     `json:"service"`
	Zone    fleet.Zone `json:"zone"`
	Addr    string     `json:"addr"`
	// Draining is true while the target leaves or operators have drained it.
	Draining bool     `json:"draining"`
	Models   []string `json:"models"`
}

// TargetsResponse is the answer to GET /admin/v1/targets.
type TargetsResponse struct {
	Targets []Target `json:"targets"`
}

// DrainResponse is the answer to a drain and to its reversal.
type DrainResponse struct {
	Target string `json:"target"`
	// Draining is true after a drain.
	Draining bool `json:"draining"`
}

func (s *Server) getStatus(c *gin.Context) error {
	op, err := s.authenticate(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.ApplyTimeout)
	defer cancel()
	self := s.node.Self()
	answer := StatusResponse{Node: self.ID, Zone: self.Zone, Change: s.changeInForce(), Revisions: map[fleet.Team]uint64{}, InAgreement: true}
	for team, revision := range s.snapshot().Revisions {
		if op.mayAccess(team) {
			answer.Revisions[team] = revision
		}
	}
	for _, z := range s.node.Status(ctx) {
		row := newZoneStatus(z)
		for _, n := range row.Nodes {
			answer.InAgreement = answer.InAgreement && n.Change == answer.Change
		}
		answer.Zones = append(answer.Zones, row)
	}
	slices.SortFunc(answer.Zones, func(a, b ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	c.JSON(http.StatusOK, answer)
	return nil
}

// change returns the number of the last change in force on this node.
func (s *Server) changeInForce() int64 {
	if t := s.node.Table(); t != nil {
		return t.Version
	}
	return 0
}

func newZoneStatus(z entry.ZoneStatus) ZoneStatus {
	out := ZoneStatus{Zone: z.Zone, Owner: z.Owner, Nodes: []NodeStatus{}}
	for _, n := range z.Nodes {
		out.Nodes = append(out.Nodes, NodeStatus{n.ID, n.Ready, n.Version})
	}
	slices.SortFunc(out.Nodes, func(a, b NodeStatus) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

func (s *Server) listTargets(c *gin.Context) error {
	op, err := s.authenticate(c)
	if err != nil {
		return err
	}
	answer := TargetsResponse{Targets: []Target{}}
	view := s.node.Targets()
	if view == nil {
		view = inventory.NewView(nil)
	}
	snap := s.snapshot()
	view.All(func(t *inventory.Target) {
		row := Target{Target: t.ID, Service: t.Service, Zone: t.Zone, Addr: t.Addr, Draining: t.Draining, Models: []string{}}
		_, team, known := snap.Service(fleet.Service(t.Service))
		if !op.root && (!known || !op.mayAccess(team)) {
			return
		}
		for _, m := range t.Models {
			row.Models = append(row.Models, m.Name)
		}
		slices.Sort(row.Models)
		answer.Targets = append(answer.Targets, row)
	})
	slices.SortFunc(answer.Targets, func(a, b Target) int { return cmp.Compare(a.Target, b.Target) })
	c.JSON(http.StatusOK, answer)
	return nil
}

func (s *Server) drainTarget(c *gin.Context) error   { return s.setDrain(c, true) }
func (s *Server) undrainTarget(c *gin.Context) error { return s.setDrain(c, false) }

// setDrain records a drain in the key-value service, from where all nodes
// learn it. What is not listed cannot be drained; a drain of a target that is
// gone can be taken back.
func (s *Server) setDrain(c *gin.Context, draining bool) error {
	op, err := s.authorizeRoot(c)
	if err != nil {
		return err
	}
	id := c.Param("target")
	view := s.node.Targets()
	if listed := view != nil && view.Target(id) != nil; draining && !listed {
		return fault.New(fault.UnknownPath, "target %q does not exist", id)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request.Context()), s.opts.ApplyTimeout)
	defer cancel()
	if err := s.repository.Drain(ctx, id, draining); err != nil {
		return err
	}
	event.TargetDrained.Log(s.log).Str("target", id).Bool("draining", draining).Str("author", author(c, op)).Send()
	c.JSON(http.StatusOK, DrainResponse{Target: id, Draining: draining})
	return nil
}
