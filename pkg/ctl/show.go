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

// reportPut prints how far an accepted change has come.
func (r *runner) reportPut(put *operators.PutResponse, body []byte, waited bool) error {
	if r.args.Output == outputJSON {
		if err := r.print(body); err != nil {
			return err
		}
	} else {
		r.writePut(put)
	}
	if waited && (!put.InForce || len(put.Unreachable) > 0) {
		return fmt.Errorf("team %q at revision %d: %w", put.Team, put.Revision, errNotInForce)
	}
	return nil
}

func (r *runner) writePut(put *operators.PutResponse) {
	state := "accepted"
	if put.InForce {
		state += ", in force on all reachable nodes"
	}
	fmt.Fprintf(r.env.Stdout, "team %s: revision %d %s\n", put.Team, put.Revision, state)
	for _, n := range put.Lagging {
		fmt.Fprintf(r.env.Stdout, "  not yet on node %s: change %d is in force there\n", n.Node, n.Change)
	}
	for _, zone := range put.Unreachable {
		fmt.Fprintf(r.env.Stdout, "  zone %s: not reachable\n", zone)
	}
}

// show fetches a page, and prints it as JSON or by text.
func show[T any](ctx context.Context, r *runner, path string, text func(*T, *tabwriter.Writer)) error {
	answer, err := r.client.do(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if r.args.Output == outputJSON {
		return r.print(answer.body)
	}
	var page T
	if err := json.Unmarshal(answer.body, &page); err != nil {
		return fmt.Errorf("answer of the node: %w", err)
	}
	w := tabwriter.NewWriter(r.env.Stdout, 0, 0, 2, ' ', 0)
	text(&page, w)
	return w.Flush()
}

func (r *runner) history(ctx context.Context, team string) error {
	return show(ctx, r, teamPath(team)+"/history", func(h *operators.HistoryResponse, w *tabwriter.Writer) {
		fmt.Fprintln(w, "REVISION\tTIME\tAUTHOR\tWRITE")
		for _, p := range h.Revisions {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", p.Revision, p.Time.UTC().Format(time.RFC3339), p.Author, p.WriteID)
		}
	})
}

func (r *runner) status(ctx context.Context) error {
	return show(ctx, r, apiRoot+"/status", func(s *operators.StatusResponse, w *tabwriter.Writer) {
		fmt.Fprintf(w, "as seen by node %s in zone %s: change %d, %s\n", s.Node, s.Zone, s.Change, revisions(s.Revisions))
		agreement := "all reached nodes have the same settings in force"
		if !s.InAgreement {
			agreement = "NODES DIFFER in the settings in force"
		}
		fmt.Fprintln(w, agreement)
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

func nodeState(n operators.NodeStatus) string {
	if n.Ready {
		return "ready"
	}
	return "starting"
}

func revisions(m map[fleet.Team]uint64) string {
	var out []string
	for _, team := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s=%d", team, m[team]))
	}
	return strings.Join(out, " ")
}

func (r *runner) targets(ctx context.Context) error {
	return show(ctx, r, apiRoot+"/targets", func(t *operators.TargetsResponse, w *tabwriter.Writer) {
		fmt.Fprintln(w, "TARGET\tZONE\tSERVICE\tSTATE\tMODELS")
		for _, x := range t.Targets {
			state := "in service"
			if x.Draining {
				state = "draining"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", x.Target, x.Zone, x.Service, state, strings.Join(x.Models, " "))
		}
	})
}
