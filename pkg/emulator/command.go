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

// arguments of the command.
type arguments struct {
	Pattern []string `arg:"--pattern,separate" help:"pattern to play; repeat it for more, default: all"`
	Seeds   int      `arg:"--seeds" default:"4" help:"seeds to play each pattern with, from 0"`
	Plot    string   `arg:"--plot" placeholder:"FILE" help:"draw the cold starts as an SVG, PNG or PDF file"`
}

// Description is printed by --help.
func (arguments) Description() string {
	return "Plays patterns of load against simulated targets, with the nodes' scheduler and with a baseline\nthat serves in order of arrival and unloads the least recently used model."
}

// Policies by the name that the table shows.
var policies = []struct {
	name string
	make func() Policy
}{
	{"scheduler", func() Policy { return scheduler.New(0) }},
	{"baseline", func() Policy { return NewBaseline() }},
}

// Main runs the command and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "almondturnctl emulate"}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(stdout)
		return 0
	case err != nil:
		fmt.Fprintln(stderr, err)
		return 1
	}
	if err := run(ctx, &a, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

func run(ctx context.Context, a *arguments, out io.Writer) error {
	names := a.Pattern
	if len(names) == 0 {
		names = Patterns()
	}
	if a.Seeds < 1 {
		return fmt.Errorf("--seeds is %d, want 1 or more", a.Seeds)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "pattern\tpolicy\trequests\tin time\tlate\trefused\tlost\tbroken\tloads\tfrom store\tcold p50\tcold p99\tidle hours\tviolations\t")
	curves := map[string]plotter.XYs{}
	for _, name := range names {
		for _, policy := range policies {
			sum, err := play(ctx, name, a.Seeds, policy.make)
			if err != nil {
				return err
			}
			row(t, name, policy.name, &sum)
			curves[policy.name] = append(curves[policy.name], distribution(&sum)...)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if a.Plot == "" {
		return nil
	}
	return plotCurves(a.Plot, curves)
}

// play sums a pattern's results over the seeds.
func play(ctx context.Context, name string, seeds int, policy func() Policy) (Result, error) {
	var sum Result
	for seed := range seeds {
		if err := ctx.Err(); err != nil {
			return sum, err
		}
		c, err := NewConfig(name, uint64(seed))
		if err != nil {
			return sum, err
		}
		sum.add(Run(c, policy()))
	}
	return sum, nil
}

func row(w io.Writer, name, policy string, r *Result) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d ms\t%d ms\t%.2f\t%d\t\n", name, policy, r.Requests, r.InTime, r.Late, r.Refused, r.Lost,
		r.Broken, r.Loads, r.StoreLoads, r.Quantile(0.5).Milliseconds(), r.Quantile(0.99).Milliseconds(), r.IdleTime.Hours(), len(r.Violations))
}

// distribution returns the share of cold requests that began within a time.
func distribution(r *Result) plotter.XYs {
	var out plotter.XYs
	const points = 100
	for i := 1; i <= points; i++ {
		q := float64(i) / points
		out = append(out, plotter.XY{X: float64(r.Quantile(q)) / float64(time.Millisecond), Y: q})
	}
	return out
}

// plotShapes tell the policies apart without colours.
var plotShapes = map[string]draw.GlyphDrawer{"scheduler": draw.CircleGlyph{}, "baseline": draw.CrossGlyph{}}

func plotCurves(path string, curves map[string]plotter.XYs) error {
	p := plot.New()
	p.X.Label.Text = "time to the first event of a cold request, ms"
	p.Y.Label.Text = "share of cold requests, per pattern"
	for _, policy := range policies {
		points, err := plotter.NewScatter(curves[policy.name])
		if err != nil {
			return fmt.Errorf("plot %s: %w", policy.name, err)
		}
		points.Shape = plotShapes[policy.name]
		p.Add(points)
		p.Legend.Add(policy.name, points)
	}
	p.Add(plotter.NewGrid())
	return p.Save(7*vg.Inch, 4*vg.Inch, path)
}
