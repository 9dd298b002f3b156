// Package dev runs a whole small deployment in one process for trials, and
// prints how to use it.
package dev

import (
	"context"
	"fmt"
	"io"
	"time"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/config"
	"almondturn/pkg/standin/engine"
	"almondturn/pkg/standin/site"
	"almondturn/pkg/standin/weights"
	"almondturn/pkg/trial"
)

// Options are the settings of a trial deployment.
type Options struct {
	// Port is the first callers' port; the zones take consecutive ports,
	// and operators' ports follow at Port+100.
	Port int
}

const (
	operatorPortOffset = 100
	enginesPerZone     = 2
	// nonFencingEvery makes every third engine ignore fencing numbers.
	nonFencingEvery = 3
	startTimeout    = 30 * time.Second
)

// Run starts the deployment, prints how to use it, and stops it gracefully
// when ctx ends.
func Run(ctx context.Context, o Options, out io.Writer) error {
	t, err := trial.Start(ctx, options(o))
	if err != nil {
		return err
	}
	if err := prepare(ctx, t); err != nil {
		_ = t.Stop(context.WithoutCancel(ctx))
		return err
	}
	usage(out, t)
	<-ctx.Done()
	_, _ = fmt.Fprintln(out, "stopping: requests in progress finish first")
	return t.Stop(context.WithoutCancel(ctx))
}

func options(o Options) trial.Options {
	built := 0
	return trial.Options{
		Site: site.Options{
			Zones:          []fleet.Zone{"hobart", "kingston", "sorell"},
			EnginesPerZone: enginesPerZone,
			PlainPerZone:   1,
			PlainService:   "bookings",
			Engine: func(id fleet.TargetID, _ fleet.Zone, _ int) engine.Options {
				built++
				opts := engine.DefaultOptions(id)
				opts.ChecksFencing = built%nonFencingEvery != 0
				return opts
			},
			Store: weights.Options{LoadsPerSecond: 7, FullSpeedLoads: 4},
			VMLag: time.Second,
		},
		NodesPerZone:  1,
		CallersPort:   o.Port,
		OperatorsPort: o.Port + operatorPortOffset,
		Configure:     func(c *config.Config) { c.Log = config.Log{Level: "error", Pretty: true} },
	}
}

// prepare applies the example settings and waits until all nodes serve.
func prepare(ctx context.Context, t *trial.Trial) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	files, err := examples.Dev()
	if err != nil {
		return err
	}
	if err := t.Apply(ctx, files); err != nil {
		return err
	}
	return t.AwaitServing(ctx, len(files))
}

const usageText = `
almondturn runs here: one node per zone, stand-ins for everything else.

A streamed answer from a model that is not loaded yet:

  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -d '{"model":"tea-small@1","stream":true,"messages":[{"role":"user","content":"Which halls dance on Friday?"}]}'

A seat hold, which runs at most once however often it is sent:

  curl http://%[1]s/services/bookings/seats -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: seat-1' -d '{"hall":"Kingston","row":2}'

What operators see:

  go run ./cmd/almondturnctl --server http://%[4]s --token %[5]s status

Ctrl-C stops gracefully.
`

func usage(out io.Writer, t *trial.Trial) {
	for _, n := range t.Nodes() {
		_, _ = fmt.Fprintf(out, "node %s: callers http://%s, operators http://%s\n", n.ID(), n.CallersAddr(), n.OperatorsAddr())
	}
	for _, g := range t.Site.Targets {
		_, _ = fmt.Fprintf(out, "target %s (%s): http://%s\n", g.ID, g.Kind, g.Addr)
	}
	_, _ = fmt.Fprintf(out, "platform: %s\n", t.Site.PlatformURL)
	_, _ = fmt.Fprintf(out, usageText, t.Nodes()[0].CallersAddr(), examples.DevListingKey, examples.DevBookingsKey, t.Nodes()[0].OperatorsAddr(), examples.DevRootToken)
}
