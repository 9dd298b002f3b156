// Package dev runs a small local cluster in one process, for trying out almondturn,
// and prints how to use it.
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

// Options holds the settings of the local cluster.
type Options struct {
	// Port is the callers' port of the first zone's node. Those of the other zones
	// use the following ports. A node's port for operators is 100 higher.
	Port int
}

const (
	// operatorPortOffset is the distance of a node's ports for operators and for
	// callers.
	operatorPortOffset = 100
	enginesPerZone     = 2
	// startTimeout bounds the time until all nodes serve the example settings.
	startTimeout = 30 * time.Second
)

// Run starts the cluster with the example settings, prints to out how to use it, and
// stops it gracefully when ctx ends. It returns an error if the cluster can't be
// started. Errors in the nodes' logs are written to standard error.
func Run(ctx context.Context, o Options, out io.Writer) error {
	cluster, err := localcluster.Start(localcluster.Options{
		Zones: []fleet.Zone{"hobart", "kingston", "sorell"}, NodesPerZone: 1, EnginesPerZone: enginesPerZone, PlainTargetsPerZone: 1,
		CallersPort: o.Port, OperatorsPort: o.Port + operatorPortOffset,
		Configure: func(c *config.Config) { c.Log.Level = "error" },
		Log:       os.Stderr,
	})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	if err := applyExamples(ctx, cluster); err != nil {
		return err
	}
	printUsage(out, cluster)
	<-ctx.Done()
	_, _ = fmt.Fprintln(out, "stopping: requests in progress finish first")
	return nil
}

// applyExamples applies the example settings and waits until all nodes serve them.
func applyExamples(ctx context.Context, cluster *localcluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	files, err := examples.Dev()
	if err != nil {
		return err
	}
	if err := cluster.Apply(ctx, files); err != nil {
		return err
	}
	return cluster.AwaitServing(ctx, len(files))
}

// usageText is a format into which printUsage inserts, by index: 1 the address for
// callers, 2 the API key of the service listing, 3 that of the service bookings, 4 the
// address for operators, 5 the root token.
const usageText = `
almondturn runs here: one node per zone, stand-ins for everything else.

A streamed response of a model that is not loaded yet:

  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -d '{"model":"tea-small@1","stream":true,"messages":[{"role":"user","content":"Which halls dance on Friday?"}]}'

A request to hold a seat, which runs at most once even if it is sent again:

  curl http://%[1]s/services/bookings/seats -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: seat-1' -d '{"hall":"Kingston","row":2}'

The status that operators see:

  go run ./cmd/almondturnctl --server http://%[4]s --token %[5]s status

Ctrl-C stops gracefully.
`

// printUsage prints the addresses of all nodes and targets, then examples of use.
func printUsage(out io.Writer, cluster *localcluster.Cluster) {
	for _, n := range cluster.Nodes() {
		_, _ = fmt.Fprintf(out, "node %s: callers http://%s, operators http://%s\n", n.ID(), n.CallersAddr(), n.OperatorsAddr())
	}
	for _, targets := range []map[string]*standin.Engine{cluster.Engines, cluster.PlainTargets} {
		for _, id := range slices.Sorted(maps.Keys(targets)) {
			_, _ = fmt.Fprintf(out, "target %s (%s): http://%s\n", id, targets[id].Service, targets[id].Addr())
		}
	}
	_, _ = fmt.Fprintf(out, "key-value service: http://%s\n", cluster.Store.Addr())
	_, _ = fmt.Fprintf(out, usageText, cluster.Nodes()[0].CallersAddr(), examples.DevListingKey, examples.DevBookingsKey, cluster.Nodes()[0].OperatorsAddr(), examples.DevRootToken)
}
