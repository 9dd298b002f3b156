// Package dev runs a whole small deployment in one process for trials, and
// prints how to use it.
package dev

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/config"
	"almondturn/pkg/localcluster"
	"almondturn/platform/standin"
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
	startTimeout       = 30 * time.Second
)

// Run starts the deployment, prints how to use it, and stops it gracefully
// when ctx ends.
func Run(ctx context.Context, o Options, out io.Writer) error {
	t, err := localcluster.Start(localcluster.Options{
		Zones: []fleet.Zone{"hobart", "kingston", "sorell"}, NodesPerZone: 1, EnginesPerZone: enginesPerZone, PlainPerZone: 1,
		CallersPort: o.Port, OperatorsPort: o.Port + operatorPortOffset,
		Configure: func(c *config.Config) { c.Log.Level = "error" },
		Log:       os.Stderr,
	})
	if err != nil {
		return err
	}
	defer t.Stop()
	if err := prepare(ctx, t); err != nil {
		return err
	}
	usage(out, t)
	<-ctx.Done()
	_, _ = fmt.Fprintln(out, "stopping: requests in progress finish first")
	return nil
}

// prepare applies the example settings and waits until all nodes serve.
func prepare(ctx context.Context, t *localcluster.Cluster) error {
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

func usage(out io.Writer, t *localcluster.Cluster) {
	for _, n := range t.Nodes() {
		_, _ = fmt.Fprintf(out, "node %s: callers http://%s, operators http://%s\n", n.ID(), n.CallersAddr(), n.OperatorsAddr())
	}
	for _, list := range []map[string]*standin.Engine{t.Engines, t.Plains} {
		for _, id := range slices.Sorted(maps.Keys(list)) {
			_, _ = fmt.Fprintf(out, "target %s (%s): http://%s\n", id, list[id].Service, list[id].Addr())
		}
	}
	_, _ = fmt.Fprintf(out, "key-value service: http://%s\n", t.Store.Addr())
	_, _ = fmt.Fprintf(out, usageText, t.Nodes()[0].CallersAddr(), examples.DevListingKey, examples.DevBookingsKey, t.Nodes()[0].OperatorsAddr(), examples.DevRootToken)
}
