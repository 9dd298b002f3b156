package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

// Main runs the command with argv, the arguments after the command's name. It
// returns the exit code: 0, 1 if the arguments are invalid, 2 if the run fails.
// Errors are written to stderr.
func Main(ctx context.Context, argv []string, stdout, stderr io.Writer) int {
	var a Args
	p, err := arg.NewParser(arg.Config{Program: "almondturnctl bench"}, &a)
	if err == nil {
		err = p.Parse(argv)
	}
	if errors.Is(err, arg.ErrHelp) {
		p.WriteHelp(stdout)
		return 0
	}
	if err == nil {
		err = a.validate()
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "almondturnctl bench:", err)
		return 1
	}
	if err := Run(ctx, &a, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, "almondturnctl bench:", err)
		return 2
	}
	return 0
}

// Run sends the load that a describes and writes the results to out and to the
// files that a names. With two files in a.Compare it compares these instead and
// sends no load. A local cluster is stopped before Run returns. A request that fails
// is no error of Run, but counted in the report. The directly measured target gets
// requests for the first model only, since that of a local cluster has no other model
// loaded.
func Run(ctx context.Context, a *Args, out io.Writer) error {
	if len(a.Compare) == 2 {
		return compareReports(out, a.Compare[0], a.Compare[1])
	}
	s := &systemUnderTest{urls: a.URL, models: a.Model, directURL: a.Direct}
	if a.Trial {
		var err error
		if s, err = startLocalCluster(ctx, a); err != nil {
			return err
		}
		defer s.stop()
	}
	report := Report{Args: *a}
	if s.directURL != "" {
		c := newClient(a, []string{s.directURL}, true)
		report.Series = append(report.Series, measure(ctx, a, out, "direct", s.models[:1], c))
	}
	if a.Trial {
		if err := s.warmUp(ctx, a); err != nil {
			return err
		}
	}
	stopProfile, err := startProfile(a.Profile)
	if err != nil {
		return err
	}
	before := s.loadCount()
	report.Series = append(report.Series, measure(ctx, a, out, "almondturn", s.models, newClient(a, s.urls, false)))
	stopProfile()
	report.Loads = s.loadCount() - before
	report.print(out)
	return saveReport(a, &report)
}

// saveReport writes the plot and the JSON file, if they are asked for.
func saveReport(a *Args, r *Report) error {
	if a.Plot != "" {
		if err := plotTimeToFirstToken(a.Plot, r.Series); err != nil {
			return err
		}
	}
	if a.JSON != "" {
		return r.writeFile(a.JSON)
	}
	return nil
}

// measure sends the plan of a.Shape with the client, which it closes, and
// returns the results as a series of the given name.
func measure(ctx context.Context, a *Args, out io.Writer, name string, models []string, c *client) Series {
	defer c.close()
	p := newPlan(a, models, len(c.urls))
	_, _ = fmt.Fprintf(out, "%s: %d requests, shape %s\n", name, len(p), a.Shape)
	cpu, start := cpuTime(), time.Now()
	results := runPlan(ctx, p, a.Limit, c.send)
	return summarize(name, results, time.Since(start), cpuTime()-cpu)
}

// startProfile starts a CPU profile into the file, unless path is empty. stop
// ends the profile and closes the file.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}

// cpuTime returns the user and system CPU time that this process has used, 0 if
// it can't be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
