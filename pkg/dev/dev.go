// Package dev runs a whole small deployment in one process for trials:
// stand-ins and one node per availability zone.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/config"
	"almondturn/pkg/node"
	"almondturn/pkg/standin/engine"
	"almondturn/pkg/standin/site"
	"almondturn/pkg/standin/weights"
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
	// stopTimeout bounds the graceful shutdown of the trial deployment.
	stopTimeout  = time.Minute
	readyTimeout = 20 * time.Second
)

var zones = []fleet.Zone{"hobart", "kingston", "sorell"}

// Run starts the deployment, prints how to use it, and stops it gracefully
// when ctx ends.
func Run(ctx context.Context, o Options, out io.Writer) error {
	s, err := site.Start(site.Options{
		Zones:          zones,
		EnginesPerZone: enginesPerZone,
		PlainPerZone:   1,
		PlainService:   "bookings",
		Engine:         trialEngine,
		Store:          weights.Options{LoadsPerSecond: 7, FullSpeedLoads: 4},
		VMLag:          time.Second,
	})
	if err != nil {
		return err
	}
	defer s.Stop()
	nodes, err := startNodes(ctx, o, s)
	defer stopNodes(nodes)
	if err != nil {
		return err
	}
	if err := applyExamples(ctx, nodes[0]); err != nil {
		return err
	}
	if err := awaitServing(ctx, nodes); err != nil {
		return err
	}
	printUsage(out, o, s)
	<-ctx.Done()
	_, _ = fmt.Fprintln(out, "stopping: requests in progress are finished first")
	return nil
}

// trialEngine makes every third engine ignore fencing numbers.
func trialEngine(id fleet.TargetID, _ fleet.Zone, index int) engine.Options {
	opts := engine.DefaultOptions(id)
	opts.ChecksFencing = index%3 != 2
	return opts
}

// nodeConfig returns the settings of the node of one zone.
func nodeConfig(o Options, s *site.Site, i int) *config.Config {
	c := config.Default()
	c.Node = config.Node{ID: fleet.NodeID(fmt.Sprintf("entry-%s", zones[i])), Zone: zones[i]}
	c.Mesh.Secret = "dev-secret-for-trials-only"
	c.Listen = config.Listen{Callers: loopback(o.Port + i), Operators: loopback(o.Port + operatorPortOffset + i), Inner: loopback(0)}
	c.Platform.URL = s.PlatformURL
	c.Deployment.Name = "dev"
	c.Deployment.Zones = zones
	c.Admin.RootTokenSHA256 = catalog.HashKey(examples.DevRootToken)
	c.Shutdown.Notice = 0
	c.Log = config.Log{Level: "warn", Pretty: true}
	return &c
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", fmt.Sprint(port)) }

func startNodes(ctx context.Context, o Options, s *site.Site) ([]*node.Node, error) {
	var nodes []*node.Node
	for i := range zones {
		n, err := node.New(nodeConfig(o, s, i))
		if err != nil {
			return nodes, err
		}
		nodes = append(nodes, n)
		if err := n.Start(ctx); err != nil {
			return nodes, err
		}
	}
	return nodes, nil
}
