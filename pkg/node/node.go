// Package node wires one almondturn process and runs it from start to
// graceful shutdown.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/fx"

	"almondturn/fleet"
	"almondturn/pkg/config"
	"almondturn/pkg/event"
)

// Node is one process of the system.
type Node struct {
	config    *config.Config
	self      fleet.Node
	listeners *listeners
	app       *fx.App
	parts     *parts
}

// New opens the listeners and wires the node; Start runs it.
func New(c *config.Config) (*Node, error) {
	innerTLS, err := c.Mesh.TLS.Config()
	if err != nil {
		return nil, err
	}
	l, err := openListeners(c, innerTLS)
	if err != nil {
		return nil, err
	}
	n := &Node{config: c, listeners: l, self: newSelf(c, advertise(c, l))}
	n.app = fx.New(module(c, n.self), fx.Populate(&n.parts))
	if err := n.app.Err(); err != nil {
		l.close()
		return nil, fmt.Errorf("wire the node: %w", err)
	}
	return n, nil
}

// advertise returns the inner address to tell others; a port of 0 in the
// settings is replaced by the one that was opened.
func advertise(c *config.Config, l *listeners) string {
	host, port, err := net.SplitHostPort(c.Listen.Advertise)
	if err != nil || port == "0" {
		return l.inner.Addr().String()
	}
	return net.JoinHostPort(host, port)
}

// Run starts a node, and stops it gracefully when ctx ends.
func Run(ctx context.Context, c *config.Config) error {
	n, err := New(c)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		n.Abort()
		return err
	}
	<-ctx.Done()
	return n.Stop(context.WithoutCancel(ctx))
}

// Start runs all parts.
func (n *Node) Start(ctx context.Context) error {
	p := n.parts
	p.serve(n.listeners)
	if err := p.start(ctx); err != nil {
		return err
	}
	event.DaemonStarted.Log(&p.log).Str("callers", n.CallersAddr()).Str("operators", n.OperatorsAddr()).
		Str("inner", n.self.Addr).Send()
	return nil
}

// Stop is the graceful shutdown. Readiness goes off first; callers are
// accepted until the balancer has had time to notice. Then ownership and
// waiting requests move to other nodes, requests in progress finish,
// however long they take, and the parts end. ctx bounds it all.
func (n *Node) Stop(ctx context.Context) error {
	p := n.parts
	event.DaemonStopping.Log(&p.log).Send()
	p.readiness.stop()
	pause(ctx, n.config.Shutdown.Notice)
	errs := []error{n.handOver(ctx)}
	errs = append(errs, p.callers.shutdown(ctx), p.dispatcher.Drain(ctx))
	p.dispatcher.Stop()
	errs = append(errs, p.stop(ctx))
	event.DaemonStopped.Log(&p.log).Send()
	return errors.Join(errs...)
}

// handOver leaves the roster, so that other nodes take the targets over, and
// waits until they have. It is not an error when this takes too long:
// the takeover then goes the way it goes after a crash.
func (n *Node) handOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.config.Shutdown.HandOver)
	defer cancel()
	p := n.parts
	var wg sync.WaitGroup
	wg.Go(func() { _ = p.members.Leave(ctx) })
	wg.Go(func() { _ = p.owner.Stop(ctx) })
	wg.Go(func() { p.dispatcher.Home().Drain() })
	wg.Wait()
	return nil
}

// Abort ends the process's work at once, as a crash would: connections
// break and nothing is handed over.
func (n *Node) Abort() {
	n.parts.abort()
}

// CallersAddr returns the host:port of the callers' listener.
func (n *Node) CallersAddr() string { return n.listeners.callers.Addr().String() }

// OperatorsAddr returns the host:port of the operators' listener.
func (n *Node) OperatorsAddr() string { return n.listeners.operators.Addr().String() }

// ID returns the node's identifier.
func (n *Node) ID() fleet.NodeID { return n.self.ID }

// Ready returns nil when the node serves callers.
func (n *Node) Ready() error { return n.parts.readiness.check() }

// Listen returns the addresses in use, with the ports that were opened.
func (n *Node) Listen() config.Listen {
	return config.Listen{Callers: n.CallersAddr(), Operators: n.OperatorsAddr(), Inner: n.listeners.inner.Addr().String(), Advertise: n.self.Addr}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
