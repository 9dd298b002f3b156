package routeplan

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes the plan for a terminal. Control characters in names are replaced.
func (p *Plan) WriteText(w io.Writer) error {
	var out bytes.Buffer
	line := func(format string, args ...any) { fmt.Fprintf(&out, format+"\n", args...) }
	line("node %s in zone %s, %s; nothing was sent", printable(p.Node), printable(p.Zone), readiness(p.Ready))
	line("configuration: version %d, in force for %s, copy confirmed %s ago", p.Configuration.Version, millis(p.Configuration.InForceMillis), millis(p.Configuration.AgeMillis))
	line("target list: copy confirmed %s ago", millis(p.List.AgeMillis))
	if r := p.Route; r != nil {
		line("route: %s, %s, timeout %s, objective %s, attempts %d, priority %d, rank %d%s", printable(r.Name), r.Kind, millis(r.TimeoutMillis), millis(r.ObjectiveMillis), r.MaxAttempts, r.Priority, r.Rank, resumable(r.Resumable))
	}
	if c := p.Customer; c != nil {
		line("customer: %s", c.text())
	}
	if p.Service != "" {
		line("service: %s, %s%s", printable(p.Service), kind(p.Engine), p.weights())
	}
	for _, write := range []func(io.Writer){p.writeZones, p.writeViews, p.writeTargets, p.writeLeftOut} {
		t := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
		write(t)
		_ = t.Flush() // writes to a buffer
	}
	for _, note := range p.Notes {
		line("note: %s", note)
	}
	line("result: %s", p.result())
	_, err := w.Write(out.Bytes())
	return err
}

// result returns where the request goes first.
func (p *Plan) result() string {
	switch {
	case p.Refusal != "":
		return "rejected: " + p.Refusal
	case !p.Engine && len(p.Targets) > 0 && p.Targets[0].Limit != nil:
		return fmt.Sprintf("target %s, if its limit permits; otherwise the next one", printable(p.Targets[0].Target))
	case !p.Engine && len(p.Targets) > 0:
		return "target " + printable(p.Targets[0].Target)
	}
	for _, z := range p.Zones {
		if z.Reachable && z.View != nil && len(z.View.Targets) > 0 && z.View.Targets[0].Obstacle == "" {
			return fmt.Sprintf("the owner of zone %s, this node, grants a slot at target %s unless others wait", printable(z.Zone), printable(z.View.Targets[0].Target))
		}
		if z.Reachable {
			return fmt.Sprintf("the owner of zone %s is asked first, and chooses the target", printable(z.Zone))
		}
	}
	if len(p.Targets) > 0 {
		return "no owner is reachable: after a wait for one, target " + printable(p.Targets[0].Target)
	}
	return "waits for an owner or a target"
}

// writeZones writes the zones, in the order in which they are asked for an engine service.
func (p *Plan) writeZones(w io.Writer) {
	if len(p.Zones) == 0 {
		return
	}
	if p.Engine {
		fmt.Fprintln(w, "ZONE\tOWNER\tREACHABLE\tSTATE AGE\tBACKLOG STEPS\tREASON")
	} else {
		fmt.Fprintln(w, "ZONE\tOWNER\tREACHABLE\tSTATE AGE")
	}
	for _, z := range p.Zones {
		owner, reachable, reason := z.Owner, "yes", z.Reason
		if owner == "" {
			owner = "unknown"
		}
		if !z.Reachable {
			reachable = "no"
			if z.DownMillis > 0 {
				reachable = "no, for " + millis(z.DownMillis)
			}
		}
		if z.OrdersAfterMillis > 0 {
			reason = strings.TrimPrefix(fmt.Sprintf("%s; may order loads after %s", reason, millis(z.OrdersAfterMillis)), "; ")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s", printable(z.Zone), printable(owner), reachable, millis(z.AgeMillis))
		if p.Engine {
			fmt.Fprintf(w, "\t%d\t%s", z.BacklogSteps, reason)
		}
		fmt.Fprintln(w)
	}
}

// writeViews writes what the owners of zones would find.
func (p *Plan) writeViews(w io.Writer) {
	for _, z := range p.Zones {
		if z.View == nil {
			continue
		}
		fmt.Fprintf(w, "owner of zone %s: %d requests wait for the model, list of its targets %s old\n", printable(z.Zone), z.View.Waiting, millis(z.View.AgeMillis))
		if len(z.View.Targets) > 0 {
			fmt.Fprintln(w, "TARGET\tCOST\tRUNNING\tSLOTS\tPENDING PREFILL\tOBSTACLE")
		}
		for _, t := range z.View.Targets {
			obstacle := t.Obstacle
			if obstacle == "" {
				obstacle = "-"
			}
			fmt.Fprintf(w, "%s\t%.1f\t%d\t%d\t%d\t%s\n", printable(t.Target), t.Cost, t.Running, t.Slots, t.PendingPrefillTokens, obstacle)
		}
	}
}

// writeTargets writes the targets that may get the request.
func (p *Plan) writeTargets(w io.Writer) {
	if len(p.Targets) > 0 && p.Engine {
		fmt.Fprintln(w, "without an owner, by the last reports:")
	}
	if len(p.Targets) > 0 {
		fmt.Fprintln(w, "TARGET\tZONE\tCOST\t= LOAD\t+ FAILURES\t+ OTHER ZONE\t+ UNREACHABLE\tIN USE\tSLOTS\tREPORT AGE\tPACE\tLIMIT")
	}
	for _, t := range p.Targets {
		pace, limit := "-", "-"
		if t.Pace != nil {
			pace = fmt.Sprintf("%.2f", *t.Pace)
		}
		if l := t.Limit; l != nil {
			limit = fmt.Sprintf("%g/s, named %s ago", l.PerSecond, millis(l.AgeMillis))
			if l.ShareWaitMillis > 0 {
				limit += ", without an owner in " + millis(l.ShareWaitMillis)
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%d + %.1f\t%d\t%s\t%s\t%s\n", printable(t.Target), printable(t.Zone), t.Cost, t.Load, t.Failures, t.OtherZone, t.Unreachable,
			t.InFlight, t.Others, t.Slots, millis(t.ReportAgeMillis), pace, limit)
	}
}

// writeLeftOut writes the targets that get no request.
func (p *Plan) writeLeftOut(w io.Writer) {
	if len(p.LeftOut) > 0 {
		fmt.Fprintln(w, "LEFT OUT\tZONE\tKNOWN FOR\tREASON")
	}
	for _, t := range p.LeftOut {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", printable(t.Target), printable(t.Zone), millis(t.AgeMillis), t.Reason)
	}
}

// text returns the customer and its quota in one line.
func (c *Customer) text() string {
	name := printable(c.Name)
	if c.Priority != nil {
		name += fmt.Sprintf(", priority %d", *c.Priority)
	}
	if !c.Limited {
		return name + ", no limit"
	}
	s := fmt.Sprintf("%s, %.0f %s/s and a burst of %.0f over all nodes; the request counts %.0f, %.0f held here", name, c.PerSecond, c.Unit, c.Burst, c.Cost, c.Held)
	if len(c.AsksZones) > 0 {
		s += fmt.Sprintf(", asks the owners of %s for %.0f", printable(strings.Join(c.AsksZones, ", ")), c.Missing)
	}
	if d := c.LastDenial; d != nil {
		s += fmt.Sprintf("; last denial %s ago, %.0f missing", millis(d.AgeMillis), d.Missing)
		if d.RetryAfterMillis > 0 {
			s += ", retry after " + millis(d.RetryAfterMillis)
		}
	}
	return s
}

// weights returns the services of a route and their weights, empty unless there are several.
func (p *Plan) weights() string {
	if p.Route == nil || len(p.Route.Services) < 2 {
		return ""
	}
	var parts []string
	for _, b := range p.Route.Services {
		parts = append(parts, fmt.Sprintf("%s %d", printable(b.Service), b.Weight))
	}
	return "; by weight among " + strings.Join(parts, ", ")
}

func readiness(ready bool) string {
	if ready {
		return "ready"
	}
	return "not ready for clients"
}

func resumable(yes bool) string {
	if yes {
		return ", resumable"
	}
	return ""
}

func kind(engine bool) string {
	if engine {
		return "engine"
	}
	return "plain"
}

// millis returns a duration in milliseconds as text, "-" for UnknownAge.
func millis(ms int64) string {
	switch {
	case ms < 0:
		return "-"
	case ms < 10_000:
		return fmt.Sprintf("%d ms", ms)
	default:
		return fmt.Sprintf("%d s", ms/1000)
	}
}

// printable returns a name with control characters replaced, so that it does not change the terminal
// or the table.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r <= 0x9f {
			return '?'
		}
		return r
	}, s)
}
