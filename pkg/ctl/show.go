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
	"almondturn/pkg/admin"
)

// reportPut prints how far an accepted change has come.
func (r *runner) reportPut(put *admin.PutAnswer, body []byte, waited bool) error {
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

func (r *runner) writePut(put *admin.PutAnswer) {
	state := "accepted"
	if put.Unchanged {
		state = "unchanged"
	}
	if put.InForce {
		state += ", in force on all reachable nodes"
	}
	fmt.Fprintf(r.env.Stdout, "team %s: revision %d %s\n", put.Team, put.Revision, state)
	for _, n := range put.Lagging {
		why := "no answer"
		if n.Reached {
			why = fmt.Sprintf("has revision %d", n.Revisions[put.Team])
		}
		fmt.Fprintf(r.env.Stdout, "  not yet on node %s in zone %s: %s\n", n.Node, n.Zone, why)
	}
	for _, n := range put.Unreachable {
		fmt.Fprintf(r.env.Stdout, "  not yet on node %s in zone %s: not reachable\n", n.Node, n.Zone)
	}
	for _, s := range put.Surplus {
		fmt.Fprintf(r.env.Stdout, "  zone %s still holds %d of %d replicas of %s; the limit is %d\n", s.Zone, s.Held, s.Total, s.Replica, s.Limit)
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
	return show(ctx, r, teamPath(team)+"/history", func(h *admin.HistoryAnswer, w *tabwriter.Writer) {
		fmt.Fprintln(w, "REVISION\tTIME\tAUTHOR\tWRITE")
		for _, p := range h.Revisions {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", p.Revision, p.Time.UTC().Format(time.RFC3339), p.Author, p.WriteID)
		}
	})
}

func (r *runner) restore(ctx context.Context, team string) error {
	answer, err := r.client.do(ctx, request{method: http.MethodPost, path: teamPath(team) + "/restore?wait=5s"})
	if err != nil {
		return err
	}
	var put admin.PutAnswer
	if err := json.Unmarshal(answer.body, &put); err != nil {
		return fmt.Errorf("answer of the node: %w", err)
	}
	return r.reportPut(&put, answer.body, true)
}

func (r *runner) status(ctx context.Context) error {
	return show(ctx, r, apiRoot+"/status", func(s *admin.StatusAnswer, w *tabwriter.Writer) {
		fmt.Fprintf(w, "as seen by node %s in zone %s, epoch %d\n", s.Node, s.Zone, s.Epoch)
		fmt.Fprintf(w, "key-value service: %s\n", platformState(s))
		agreement := "all reached nodes have the same settings in force"
		if !s.InAgreement {
			agreement = "NODES DIFFER in the settings in force"
		}
		fmt.Fprintln(w, agreement)
		fmt.Fprintln(w, "ZONE\tNODES\tREACHED\tREADY")
		for _, z := range s.Zones {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", z.Zone, z.Nodes, z.Reached, z.Ready)
		}
		fmt.Fprintln(w, "NODE\tZONE\tSTATE\tREVISIONS")
		for _, n := range s.Nodes {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", n.Node, n.Zone, nodeState(n), revisions(n.Revisions))
		}
	})
}

func platformState(s *admin.StatusAnswer) string {
	switch {
	case s.PlatformOlder:
		return fmt.Sprintf("OLDER than the settings in force %v; see almondturnctl restore", s.OlderTeams)
	case s.PlatformUp:
		return "reachable"
	}
	return "NOT REACHABLE; settings cannot be changed"
}

func nodeState(n admin.NodeStatus) string {
	switch {
	case !n.Live:
		return "not reachable"
	case !n.Reached:
		return "no answer"
	case n.Ready:
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
	return show(ctx, r, apiRoot+"/targets", func(t *admin.TargetsAnswer, w *tabwriter.Writer) {
		fmt.Fprintln(w, "TARGET\tZONE\tKIND\tSTATE\tOWNER\tRUNNING\tWAITING\tREPLICAS")
		for _, x := range t.Targets {
			var keys []string
			for _, rep := range x.State.Replicas {
				keys = append(keys, fmt.Sprintf("%s(%s)", rep.Key, rep.Phase))
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", x.Target.ID, x.Target.Zone, x.Target.Kind, targetState(x), x.Owner, x.State.Running, x.State.Waiting, strings.Join(keys, " "))
		}
	})
}

func targetState(t admin.Target) string {
	switch {
	case t.Unreachable:
		return "unreachable"
	case t.Target.Leaving || t.State.Leaving:
		return "leaving"
	}
	return "in service"
}
