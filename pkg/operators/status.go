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

// StatusResponse is the response body of GET /admin/v1/status.
type StatusResponse struct {
	// Node is the node that responds; the other fields are the status as this
	// node sees it.
	Node fleet.NodeID `json:"node"`
	Zone fleet.Zone   `json:"zone"`
	// Change is the number of the last change in force on the node, which is also the
	// version of its configuration.
	Change int64 `json:"change"`
	// Revisions are the revisions in force on the node, by team; only those of teams
	// that the operator may access.
	Revisions map[fleet.Team]uint64 `json:"revisions"`
	// InAgreement is true if all nodes that were reached have the same settings in
	// force.
	InAgreement bool         `json:"in_agreement"`
	Zones       []ZoneStatus `json:"zones"`
}

// ZoneStatus is the status of one availability zone as JSON, made from an
// entry.ZoneStatus.
type ZoneStatus struct {
	Zone fleet.Zone `json:"zone"`
	// Owner is empty if no owner of the zone was reached.
	Owner fleet.NodeID `json:"owner"`
	Nodes []NodeStatus `json:"nodes"`
}

// NodeStatus is the status of one node as JSON, made from an entry.NodeStatus.
type NodeStatus struct {
	Node  fleet.NodeID `json:"node"`
	Ready bool         `json:"ready"`
	// Change is the number of the last change in force on the node: the Version in
	// entry.NodeStatus.
	Change int64 `json:"change"`
}

// Target describes one target in a TargetsResponse.
type Target struct {
	Target  string     `json:"target"`
	Service string     `json:"service"`
	Zone    fleet.Zone `json:"zone"`
	Addr    string     `json:"addr"`
	// Draining is true while the target is being removed, or after operators have
	// drained it.
	Draining bool `json:"draining"`
	// Models are the names of the loaded models, sorted.
	Models []string `json:"models"`
}

// TargetsResponse is the response body of GET /admin/v1/targets. It lists the
// targets of the services that the operator may access, ordered by identifier.
type TargetsResponse struct {
	Targets []Target `json:"targets"`
}

// DrainResponse is the response body of a drain and of its reversal, undrain.
type DrainResponse struct {
	Target string `json:"target"`
	// Draining is true after a drain, false after an undrain.
	Draining bool `json:"draining"`
}

// getStatus handles GET /admin/v1/status, for operators with any token.
func (s *Server) getStatus(c *gin.Context) error {
	op, err := s.authenticate(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.OperationTimeout)
	defer cancel()
	self := s.node.Self()
	resp := StatusResponse{Node: self.ID, Zone: self.Zone, Change: s.changeInForce(), Revisions: map[fleet.Team]uint64{}, InAgreement: true}
	for team, revision := range s.snapshot().Revisions {
		if op.mayAccess(team) {
			resp.Revisions[team] = revision
		}
	}
	for _, z := range s.node.Status(ctx) {
		zone := newZoneStatus(z)
		for _, n := range zone.Nodes {
			resp.InAgreement = resp.InAgreement && n.Change == resp.Change
		}
		resp.Zones = append(resp.Zones, zone)
	}
	slices.SortFunc(resp.Zones, func(a, b ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	c.JSON(http.StatusOK, resp)
	return nil
}

// changeInForce returns the number of the last change in force on this node, 0
// before the first.
func (s *Server) changeInForce() int64 {
	if t := s.node.Table(); t != nil {
		return t.Version
	}
	return 0
}

// newZoneStatus returns the status of a zone as operators receive it, with the nodes
// ordered by identifier.
func newZoneStatus(z entry.ZoneStatus) ZoneStatus {
	out := ZoneStatus{Zone: z.Zone, Owner: z.Owner, Nodes: []NodeStatus{}}
	for _, n := range z.Nodes {
		out.Nodes = append(out.Nodes, NodeStatus{n.ID, n.Ready, n.Version})
	}
	slices.SortFunc(out.Nodes, func(a, b NodeStatus) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// listTargets handles GET /admin/v1/targets.
func (s *Server) listTargets(c *gin.Context) error {
	op, err := s.authenticate(c)
	if err != nil {
		return err
	}
	resp := TargetsResponse{Targets: []Target{}}
	targets := s.node.Targets()
	if targets == nil {
		targets = inventory.NewTargetSet(nil)
	}
	snap := s.snapshot()
	targets.ForEach(func(t *inventory.Target) {
		row := Target{Target: t.ID, Service: t.Service, Zone: t.Zone, Addr: t.Addr, Draining: t.Draining, Models: []string{}}
		_, team, known := snap.Service(fleet.Service(t.Service))
		if !op.root && (!known || !op.mayAccess(team)) {
			return
		}
		for _, m := range t.Models {
			row.Models = append(row.Models, m.Name)
		}
		slices.Sort(row.Models)
		resp.Targets = append(resp.Targets, row)
	})
	slices.SortFunc(resp.Targets, func(a, b Target) int { return cmp.Compare(a.Target, b.Target) })
	c.JSON(http.StatusOK, resp)
	return nil
}

// drainTarget handles POST /admin/v1/targets/:target/drain.
func (s *Server) drainTarget(c *gin.Context) error { return s.setDrain(c, true) }

// undrainTarget handles POST /admin/v1/targets/:target/undrain.
func (s *Server) undrainTarget(c *gin.Context) error { return s.setDrain(c, false) }

// setDrain records in the key-value service, from which all nodes receive it, that
// a target is drained or no longer drained. It requires the root token. Only a
// listed target can be drained, but the drain of a removed target can be ended.
func (s *Server) setDrain(c *gin.Context, draining bool) error {
	op, err := s.authorizeRoot(c)
	if err != nil {
		return err
	}
	id := c.Param("target")
	targets := s.node.Targets()
	if listed := targets != nil && targets.Target(id) != nil; draining && !listed {
		return fault.New(fault.UnknownPath, "target %q does not exist", id)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request.Context()), s.opts.OperationTimeout)
	defer cancel()
	if err := s.repository.Drain(ctx, id, draining); err != nil {
		return err
	}
	event.TargetDrained.Log(s.log).Str("target", id).Bool("draining", draining).Str("author", author(c, op)).Send()
	c.JSON(http.StatusOK, DrainResponse{Target: id, Draining: draining})
	return nil
}
