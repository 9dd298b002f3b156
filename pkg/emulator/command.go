package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"almondturn/pkg/scheduler"
)

// arguments are the arguments of the command.
type arguments struct {
	Pattern []string `arg:"--pattern,separate" help:"pattern to run; repeat it for several, default: all"`
	Seeds   int      `arg:"--seeds" default:"4" help:"number of seeds per pattern, from 0 on"`
	Plot    string   `arg:"--plot" placeholder:"FILE" help:"draw the cold-start latencies as an SVG, PNG or PDF file"`
}

// Description returns the text that go-arg prints above the flags on --help.
func (arguments) Description() string {
	return "Runs load patterns against simulated targets, with the nodes' scheduler and with a baseline\nthat serves in order of arrival and unloads the least recently used model."
}

// policies lists the compared policies with their names in the table and the
// plot. newPolicy returns a new policy for one run.
var policies = []struct {
	name      string
	newPolicy func() Policy
}{
	{"scheduler", func() Policy { return scheduler.New(0) }},
	{"baseline", func() Policy { return NewBaseline() }},
}

// Main runs the command "almondturnctl emulate" with argv, the arguments after
// the command's name, and returns its exit code: 0, or 1 after an error, which
// it writes to stderr. It stops between two runs when ctx ends.
func Main(ctx context.Context, argv []string, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "almondturnctl emulate"}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(stdout)
		return 0
	case err != nil:
		fmt.Fprintln(stderr, err)
		return 1
	}
	if err := runCommand(ctx, &a, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

// runCommand runs the patterns with all policies, writes the table to out, and
// the plot to a file if one is asked for.
func runCommand(ctx context.Context, a *arguments, out io.Writer) error {
	names := a.Pattern
	if len(names) == 0 {
		names = Patterns()
	}
	if a.Seeds < 1 {
		return fmt.Errorf("--seeds is %d, want 1 or more", a.Seeds)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "pattern\tpolicy\trequests\tin time\tlate\trefused\tlost\tbroken\tloads\tfrom store\tcold p50\tcold p99\tidle hours\tviolations\t")
	points := map[string]plotter.XYs{} // by policy, of all patterns
	for _, name := range names {
		for _, policy := range policies {
			sum, err := runPattern(ctx, name, a.Seeds, policy.newPolicy)
			if err != nil {
				return err
			}
			writeRow(t, name, policy.name, &sum)
			points[policy.name] = append(points[policy.name], coldStartDistribution(&sum)...)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if a.Plot == "" {
		return nil
	}
	return plotPoints(a.Plot, points)
}

// runPattern returns the sum of a pattern's results over the seeds from 0 to
// seeds-1. Each run gets a new policy.
func runPattern(ctx context.Context, name string, seeds int, newPolicy func() Policy) (Result, error) {
	var sum Result
	for seed := range seeds {
		if err := ctx.Err(); err != nil {
			return sum, err
		}
		c, err := NewConfig(name, uint64(seed))
		if err != nil {
			return sum, err
		}
		sum.add(Run(c, newPolicy()))
	}
	return sum, nil
}

// writeRow writes the line of the table for a pattern and a policy.
func writeRow(w io.Writer, name, policy string, r *Result) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d ms\t%d ms\t%.2f\t%d\t\n", name, policy, r.Requests, r.InTime, r.Late, r.Refused, r.Lost,
		r.Broken, r.Loads, r.StoreLoads, r.ColdStartQuantile(0.5).Milliseconds(), r.ColdStartQuantile(0.99).Milliseconds(), r.IdleTime.Hours(), len(r.Violations))
}

// coldStartDistribution returns the cumulative distribution of the cold-start
// latencies: X is the latency in milliseconds, Y the share of cold requests with
// at most that latency.
func coldStartDistribution(r *Result) plotter.XYs {
	var out plotter.XYs
	const points = 100
	for i := 1; i <= points; i++ {
		q := float64(i) / points
		out = append(out, plotter.XY{X: float64(r.ColdStartQuantile(q)) / float64(time.Millisecond), Y: q})
	}
	return out
}

// policyGlyphs distinguishes the policies in the plot without colours.
var policyGlyphs = map[string]draw.GlyphDrawer{"scheduler": draw.CircleGlyph{}, "baseline": draw.CrossGlyph{}}

// plotPoints draws the points of each policy, by its name, into a file whose
// format follows from the extension of path. The distributions of all patterns are
// drawn on top of each other, with the same glyph for each policy.
func plotPoints(path string, points map[string]plotter.XYs) error {
	p := plot.New()
	p.X.Label.Text = "time to the first event of a cold request, ms"
	p.Y.Label.Text = "share of cold requests, per pattern"
	for _, policy := range policies {
		scatter, err := plotter.NewScatter(points[policy.name])
		if err != nil {
			return fmt.Errorf("plot %s: %w", policy.name, err)
		}
		scatter.Shape = policyGlyphs[policy.name]
		p.Add(scatter)
		p.Legend.Add(policy.name, scatter)
	}
	p.Add(plotter.NewGrid())
	return p.Save(7*vg.Inch, 4*vg.Inch, path)
}
