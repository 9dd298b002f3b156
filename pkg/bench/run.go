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

// Main runs the command with its arguments and returns the exit code.
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
		err = a.check()
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

// Run sends the load and prints the result.
func Run(ctx context.Context, a *Args, out io.Writer) error {
	if len(a.Compare) == 2 {
		return compare(out, a.Compare[0], a.Compare[1])
	}
	s := &setup{urls: a.URL, models: a.Model, direct: a.Direct}
	if a.Trial {
		var err error
		if s, err = startTrial(ctx, a); err != nil {
			return err
		}
		defer s.stop()
	}
	report := Report{Args: *a}
	if s.direct != "" {
		c := newClient(a, []string{s.direct}, true)
		report.Series = append(report.Series, measure(ctx, a, out, "direct", s.models[:1], c))
	}
	if a.Trial {
		if err := s.warm(ctx, a); err != nil {
			return err
		}
	}
	stopProfile, err := profile(a.Profile)
	if err != nil {
		return err
	}
	before := s.loads()
	report.Series = append(report.Series, measure(ctx, a, out, "almondturn", s.models, newClient(a, s.urls, false)))
	stopProfile()
	report.Loads = s.loads() - before
	report.print(out)
	return save(a, &report)
}

func save(a *Args, r *Report) error {
	if a.Plot != "" {
		if err := plotFirst(a.Plot, r.Series); err != nil {
			return err
		}
	}
	if a.JSON != "" {
		return r.write(a.JSON)
	}
	return nil
}

// measure sends the whole plan one way.
func measure(ctx context.Context, a *Args, out io.Writer, name string, models []string, c *client) Series {
	defer c.close()
	p := plan(a, models, len(c.urls))
	_, _ = fmt.Fprintf(out, "%s: %d requests, shape %s\n", name, len(p), a.Shape)
	cpu, start := cpuTime(), time.Now()
	results := send(ctx, p, a.Limit, c.one)
	return summarize(name, results, time.Since(start), cpuTime()-cpu)
}

func profile(path string) (stop func(), err error) {
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

// cpuTime returns the processor time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
