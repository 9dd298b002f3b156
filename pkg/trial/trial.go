// Package trial runs a whole deployment in one process: stand-ins for the
// platform and the targets, and nodes in each availability zone. The
// command `almondturn dev`, the scenarios and the measurements use it.
package trial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/config"
	"almondturn/pkg/node"
	"almondturn/pkg/standin/fabric"
	"almondturn/pkg/standin/site"
)

// Options describe a deployment.
type Options struct {
	Site site.Options
	// NodesPerZone is the number of nodes in each zone of Site.
	NodesPerZone int
	// CallersPort and OperatorsPort are the first ports of the nodes'
	// listeners; 0 takes any free port.
	CallersPort   int
	OperatorsPort int
	// Configure changes the settings of each node; may be nil.
	Configure func(c *config.Config)
}

// secret authenticates the nodes of a trial to each other.
const secret = "trial-secret-0123456789"

// Trial is a running deployment.
type Trial struct {
	Site *site.Site
	// Fabric cuts hosts off from each other. The nodes and targets of a
	// zone are one host, named like the zone; the platform is "platform".
	Fabric *fabric.Fabric
	opts   Options

	mu      sync.Mutex // guards nodes and configs
	nodes   map[fleet.NodeID]*node.Node
	configs map[fleet.NodeID]*config.Config
	order   []fleet.NodeID
}

// Start starts the stand-ins, then all nodes.
func Start(ctx context.Context, o Options) (*Trial, error) {
	s, err := site.Start(o.Site)
	if err != nil {
		return nil, err
	}
	t := &Trial{Site: s, Fabric: fabric.New(), opts: o, nodes: map[fleet.NodeID]*node.Node{}, configs: map[fleet.NodeID]*config.Config{}}
	t.nameHosts()
	index := 0
	for _, zone := range o.Site.Zones {
		for i := range o.NodesPerZone {
			id := fleet.NodeID(fmt.Sprintf("entry-%s-%d", zone, i+1))
			t.configs[id] = t.config(id, zone, index)
			t.order = append(t.order, id)
			index++
		}
	}
	for _, id := range t.order {
		if err := t.StartNode(ctx, id); err != nil {
			return nil, errors.Join(err, t.Stop(ctx))
		}
	}
	return t, nil
}

// Stop stops all nodes gracefully, together, then the stand-ins.
func (t *Trial) Stop(ctx context.Context) error {
	var g errgroup.Group
	for _, id := range t.order {
		if n := t.take(id); n != nil {
			g.Go(func() error { return n.Stop(ctx) })
		}
	}
	err := g.Wait()
	t.Site.Stop()
	return err
}

// IDs returns the identifiers of all nodes, running or not, in start order.
func (t *Trial) IDs() []fleet.NodeID { return t.order }

// Node returns a running node, or nil.
func (t *Trial) Node(id fleet.NodeID) *node.Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nodes[id]
}

// Nodes returns the running nodes in start order.
func (t *Trial) Nodes() []*node.Node {
	var out []*node.Node
	for _, id := range t.order {
		if n := t.Node(id); n != nil {
			out = append(out, n)
		}
	}
	return out
}

// StartNode starts a node that is not running, with its settings of before
// and a new incarnation. Its ports stay the same.
func (t *Trial) StartNode(ctx context.Context, id fleet.NodeID) error {
	c := *t.configs[id]
	n, err := node.New(&c)
	if err != nil {
		return fmt.Errorf("node %s: %w", id, err)
	}
	if err := n.Start(ctx); err != nil {
		return fmt.Errorf("node %s: %w", id, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes[id] = n
	t.configs[id].Listen = n.Listen()
	t.Fabric.Name(n.Listen().Advertise, string(c.Node.Zone))
	return nil
}

// StopNode stops a node gracefully.
func (t *Trial) StopNode(ctx context.Context, id fleet.NodeID) error {
	n := t.take(id)
	if n == nil {
		return nil
	}
	return n.Stop(ctx)
}

// KillNode ends a node at once: its connections break, nothing is handed over.
func (t *Trial) KillNode(id fleet.NodeID) {
	if n := t.take(id); n != nil {
		n.Abort()
	}
}

// take removes a node from the running ones.
func (t *Trial) take(id fleet.NodeID) *node.Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.nodes[id]
	delete(t.nodes, id)
	return n
}

func (t *Trial) config(id fleet.NodeID, zone fleet.Zone, index int) *config.Config {
	c := config.Default()
	c.Node.ID, c.Node.Zone = id, zone
	c.Mesh.Secret = secret
	c.Listen = config.Listen{Callers: loopback(t.opts.CallersPort, index), Operators: loopback(t.opts.OperatorsPort, index), Inner: loopback(0, 0)}
	for _, addr := range []*string{&c.Listen.Callers, &c.Listen.Operators, &c.Listen.Inner} {
		if strings.HasSuffix(*addr, ":0") {
			*addr = freePort()
		}
	}
	c.Platform.URL = t.Site.PlatformURL
	c.Deployment.Name = "trial"
	c.Deployment.Zones = t.opts.Site.Zones
	c.Admin.RootTokenSHA256 = catalog.HashKey(examples.DevRootToken)
	c.Shutdown.Notice = 0
	c.Log.Level = "warn"
	dial := t.Fabric.Dialer(string(zone))
	c.Platform.Dial, c.Mesh.Dial, c.Orders.Dial, c.Target.Dial = dial, dial, dial, dial
	if t.opts.Configure != nil {
		t.opts.Configure(&c)
	}
	return &c
}

// platformHost is the platform's name in the fabric.
const platformHost = "platform"

// nameHosts tells the fabric which addresses belong together.
func (t *Trial) nameHosts() {
	t.Fabric.Name(strings.TrimPrefix(t.Site.PlatformURL, "http://"), platformHost)
	for _, g := range t.Site.Targets {
		t.Fabric.Name(g.Addr, string(g.Zone))
	}
}

// CutZone cuts a zone off from the other zones and from the platform.
func (t *Trial) CutZone(zone fleet.Zone) {
	t.Fabric.Cut(string(zone), platformHost)
	for _, other := range t.opts.Site.Zones {
		if other != zone {
			t.Fabric.Cut(string(zone), string(other))
		}
	}
}

// loopback returns an address at the first port plus index; 0 is any port.
func loopback(first, index int) string {
	port := 0
	if first != 0 {
		port = first + index
	}
	return net.JoinHostPort("127.0.0.1", fmt.Sprint(port))
}

// The ports that nodes of a trial take lie below those that outgoing
// connections use, so that a stopped node finds its ports free again.
const (
	firstPort = 12000
	lastPort  = 30000
)

// nextPort is where the search for a free port goes on. Processes start at
// different places.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid() * 97 % (lastPort - firstPort))) }

// freePort returns a loopback address that nobody listens on.
func freePort() string {
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		addr := net.JoinHostPort("127.0.0.1", fmt.Sprint(port))
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	return loopback(0, 0)
}
