package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/operators"
)

// reportAccepted prints where an accepted change is in force; body is the JSON of
// accepted. If waited is true, it returns errNotInForce unless the change is in force
// on all nodes of all zones.
func (r *runner) reportAccepted(accepted *operators.PutResponse, body []byte, waited bool) error {
	if r.args.Output == outputJSON {
		if err := r.print(body); err != nil {
			return err
		}
	} else {
		r.printAccepted(accepted)
	}
	if waited && (!accepted.InForce || len(accepted.Unreachable) > 0) {
		return fmt.Errorf("team %q at revision %d: %w", accepted.Team, accepted.Revision, errNotInForce)
	}
	return nil
}

// printAccepted prints an accepted change as text. The printed change of a node is the
// number of the last change in force there; it counts the changes of all teams and the
// drains, while a revision counts the changes of one team.
func (r *runner) printAccepted(accepted *operators.PutResponse) {
	progress := "accepted"
	if accepted.InForce {
		progress += ", in force on all reachable nodes"
	}
	fmt.Fprintf(r.env.Stdout, "team %s: revision %d %s\n", accepted.Team, accepted.Revision, progress)
	for _, n := range accepted.Lagging {
		fmt.Fprintf(r.env.Stdout, "  not yet on node %s: change %d is in force there\n", n.Node, n.Change)
	}
	for _, zone := range accepted.Unreachable {
		fmt.Fprintf(r.env.Stdout, "  zone %s: not reachable\n", zone)
	}
}

// show requests path and prints the response: as JSON with --output json, otherwise by
// writeText, whose cells are aligned in columns.
func show[T any](ctx context.Context, r *runner, path string, writeText func(*T, *tabwriter.Writer)) error {
	resp, err := r.client.sendToAny(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if r.args.Output == outputJSON {
		return r.print(resp.body)
	}
	var decoded T
	if err := json.Unmarshal(resp.body, &decoded); err != nil {
		return fmt.Errorf("response of the node: %w", err)
	}
	w := tabwriter.NewWriter(r.env.Stdout, 0, 0, 2, ' ', 0)
	writeText(&decoded, w)
	return w.Flush()
}

// history prints the stored revisions of a team's settings, newest first, one a line.
// The first one is the accepted one.
func (r *runner) history(ctx context.Context, team string) error {
	return show(ctx, r, teamPath(team)+"/history", func(h *operators.HistoryResponse, w *tabwriter.Writer) {
		fmt.Fprintln(w, "REVISION\tTIME\tAUTHOR\tWRITE")
		for _, rev := range h.Revisions {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", rev.Revision, rev.Time.UTC().Format(time.RFC3339), rev.Author, rev.WriteID)
		}
	})
}

// status prints the owner and the nodes of each zone, and whether all nodes have the
// same settings in force.
func (r *runner) status(ctx context.Context) error {
	return show(ctx, r, apiRoot+"/status", func(s *operators.StatusResponse, w *tabwriter.Writer) {
		fmt.Fprintf(w, "as seen by node %s in zone %s: change %d, %s\n", s.Node, s.Zone, s.Change, formatRevisions(s.Revisions))
		summary := "all reached nodes have the same settings in force"
		if !s.InAgreement {
			summary = "NODES DIFFER in the settings in force"
		}
		fmt.Fprintln(w, summary)
		fmt.Fprintln(w, "ZONE\tOWNER\tNODE\tSTATE\tCHANGE")
		for _, z := range s.Zones {
			if z.Owner == "" {
				fmt.Fprintf(w, "%s\tNOT REACHABLE\t\t\t\n", z.Zone)
			}
			for _, n := range z.Nodes {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", z.Zone, z.Owner, n.Node, nodeState(n), n.Change)
			}
		}
	})
}

// nodeState returns the text of a node's state.
func nodeState(n operators.NodeStatus) string {
	if n.Ready {
		return "ready"
	}
	return "starting"
}

// formatRevisions returns the revision of each team as team=revision, in the order of
// the names.
func formatRevisions(revisions map[fleet.Team]uint64) string {
	var parts []string
	for _, team := range slices.Sorted(maps.Keys(revisions)) {
		parts = append(parts, fmt.Sprintf("%s=%d", team, revisions[team]))
	}
	return strings.Join(parts, " ")
}

// targets prints the targets that the node knows, one a line.
func (r *runner) targets(ctx context.Context) error {
	return show(ctx, r, apiRoot+"/targets", func(resp *operators.TargetsResponse, w *tabwriter.Writer) {
		fmt.Fprintln(w, "TARGET\tZONE\tSERVICE\tSTATE\tMODELS")
		for _, t := range resp.Targets {
			state := "in service"
			if t.Draining {
				state = "draining"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", t.Target, t.Zone, t.Service, state, strings.Join(t.Models, " "))
		}
	})
}
