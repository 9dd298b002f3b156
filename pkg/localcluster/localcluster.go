// Package localcluster runs a whole deployment in one process: stand-ins for the
// platform and the targets, and nodes in each availability zone. The
// command `almondturn dev`, the scenarios and the measurements use it.
package localcluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/config"
	"almondturn/pkg/node"
	"almondturn/pkg/standin/faultproxy"
	"almondturn/pkg/standin/simnet"
	"almondturn/pkg/teams"
	"almondturn/platform/standin"
)

// Options describe a deployment.
type Options struct {
	Zones                                      []fleet.Zone
	NodesPerZone, EnginesPerZone, PlainPerZone int
	// Engine returns the options of an engine, whose identifier and zone are
	// set; nil takes those of DefaultEngine.
	Engine func(id string, zone fleet.Zone) standin.EngineOptions
	// CallersPort and OperatorsPort are the first ports of the nodes'
	// listeners; 0 takes any free port.
	CallersPort, OperatorsPort int
	// Proxies puts a relay before each target and before the key-value service.
	Proxies bool
	// Configure changes the settings of each node; may be nil.
	Configure func(c *config.Config)
	// Log is where the nodes' log lines go; nil drops them.
	Log io.Writer
}

// The services of the example teams.
const (
	EngineService = "listing"
	PlainService  = "bookings"
)

// secret authenticates the nodes of a trial to each other.
const secret = "trial-secret-0123456789"

// Times of a trial, which are short so that takeovers are.
const (
	orderPause = 300 * time.Millisecond
	minLease   = 200 * time.Millisecond
	drainTime  = time.Second
	// refreshInterval is the time between two writes of the targets' entries.
	refreshInterval = 300 * time.Millisecond
	// dialTimeout bounds the wait for a connection.
	dialTimeout = 600 * time.Millisecond
)

// Cluster is a running deployment.
type Cluster struct {
	Store   *standin.Store
	Engines map[string]*standin.Engine
	Plains  map[string]*standin.Engine
	// Network cuts hosts off from each other. The nodes and targets of a
	// zone are one host, named like the zone; the platform is "platform".
	Network *simnet.Network
	opts    Options
	relays  map[string]*faultproxy.Proxy
	// storeAddr is where nodes reach the key-value service.
	storeAddr string
	stop      chan struct{}

	mu      sync.Mutex // guards nodes
	nodes   map[fleet.NodeID]*node.Node
	configs map[fleet.NodeID]*config.Config
	order   []fleet.NodeID
}

// DefaultEngine returns the options of an engine of the example teams.
func DefaultEngine(id string, zone fleet.Zone) standin.EngineOptions {
	const (
		gigabyte = 1024 // MB
		tokens   = 16
	)
	return standin.EngineOptions{
		ID: id, Service: EngineService, Zone: string(zone), WeightsMB: 16 * gigabyte, OnDisk: []string{"tea-small@1", "tea-large@1"},
		MB: map[string]float64{"tea-small@1": 2 * gigabyte, "tea-large@1": 6 * gigabyte}, LoadTime: 500 * time.Millisecond, EventTime: 20 * time.Millisecond, Events: tokens,
	}
}

// Start starts the stand-ins, then all nodes. The nodes serve once settings
// have been applied.
func Start(o Options) (*Cluster, error) {
	if o.Engine == nil {
		o.Engine = DefaultEngine
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	t := &Cluster{
		Store: standin.NewStore(), Engines: map[string]*standin.Engine{}, Plains: map[string]*standin.Engine{}, Network: simnet.New(),
		opts: o, relays: map[string]*faultproxy.Proxy{}, stop: make(chan struct{}), nodes: map[fleet.NodeID]*node.Node{}, configs: map[fleet.NodeID]*config.Config{},
	}
	if err := t.startStandins(); err != nil {
		t.Stop()
		return nil, err
	}
	for _, zone := range o.Zones {
		for i := range o.NodesPerZone {
			id := fleet.NodeID(fmt.Sprintf("entry-%s-%d", zone, i+1))
			t.configs[id] = t.config(id, zone, len(t.order))
			t.order = append(t.order, id)
		}
	}
	t.shareSeeds()
	for _, id := range t.order {
		if err := t.StartNode(id); err != nil {
			t.Stop()
			return nil, err
		}
	}
	return t, nil
}

func (t *Cluster) startStandins() error {
	addr, err := t.relayed(platformHost, t.Store.Addr())
	if err != nil {
		return err
	}
	t.storeAddr = addr
	t.Network.Register(addr, platformHost)
	for _, zone := range t.opts.Zones {
		for i := range t.opts.EnginesPerZone {
			id := fmt.Sprintf("engine-%s-%d", zone, i+1)
			if t.Engines[id], err = t.target(id, zone, t.opts.Engine(id, zone)); err != nil {
				return err
			}
		}
		for i := range t.opts.PlainPerZone {
			id := fmt.Sprintf("plain-%s-%d", zone, i+1)
			if t.Plains[id], err = t.target(id, zone, standin.EngineOptions{ID: id, Service: PlainService, Zone: string(zone)}); err != nil {
				return err
			}
		}
	}
	go t.refresh()
	return nil
}

// target starts a target and registers it.
func (t *Cluster) target(id string, zone fleet.Zone, o standin.EngineOptions) (*standin.Engine, error) {
	e := standin.NewEngine(o)
	addr, err := t.relayed(id, e.Addr())
	if err != nil {
		e.Close()
		return nil, err
	}
	e.Advertised = addr
	t.Network.Register(addr, string(zone))
	e.Register(t.Store)
	return e, nil
}

// relayed returns the address of a relay before addr, or addr itself.
func (t *Cluster) relayed(name, addr string) (string, error) {
	if !t.opts.Proxies {
		return addr, nil
	}
	r, err := faultproxy.New(addr)
	if err != nil {
		return "", fmt.Errorf("relay before %s: %w", name, err)
	}
	t.relays[name] = r
	return r.Addr(), nil
}

// Proxy returns the relay before a target, or before "platform".
func (t *Cluster) Proxy(name string) (*faultproxy.Proxy, bool) {
	r, ok := t.relays[name]
	return r, ok
}

// refresh writes the targets' entries again and again, as targets do.
func (t *Cluster) refresh() {
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(refreshInterval):
		}
		for _, list := range []map[string]*standin.Engine{t.Engines, t.Plains} {
			for _, e := range list {
				t.refreshEntry(e)
			}
		}
	}
}

// refreshEntry writes an entry that has changed.
func (t *Cluster) refreshEntry(e *standin.Engine) {
	key, value := e.State()
	if now, ok := t.Store.Get(key); !ok || string(now) != string(value) {
		t.Store.Put(key, value)
	}
}

// Stop stops all nodes gracefully, together, then the stand-ins.
func (t *Cluster) Stop() {
	var wg sync.WaitGroup
	for _, id := range t.order {
		if n := t.take(id); n != nil {
			wg.Go(n.Stop)
		}
	}
	wg.Wait()
	close(t.stop)
	for _, list := range []map[string]*standin.Engine{t.Engines, t.Plains} {
		for _, e := range list {
			e.Close()
		}
	}
	for _, r := range t.relays {
		r.Close()
	}
	t.Store.Close()
}

// IDs returns the identifiers of all nodes, running or not, in start order.
func (t *Cluster) IDs() []fleet.NodeID { return t.order }

// Node returns a running node, or nil.
func (t *Cluster) Node(id fleet.NodeID) *node.Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nodes[id]
}

// Nodes returns the running nodes in start order.
func (t *Cluster) Nodes() []*node.Node {
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
func (t *Cluster) StartNode(id fleet.NodeID) error {
	c := t.configs[id]
	n, err := node.New(c, node.Options{Log: t.opts.Log, Dial: bounded(t.Network.Dialer(string(c.Node.Zone)))})
	if err != nil {
		return fmt.Errorf("node %s: %w", id, err)
	}
	if err := n.Start(); err != nil {
		return fmt.Errorf("node %s: %w", id, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes[id] = n
	return nil
}

// bounded gives up on connections that take too long.
func bounded(dial fleet.DialFunc) fleet.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

// StopNode stops a node gracefully.
func (t *Cluster) StopNode(id fleet.NodeID) {
	if n := t.take(id); n != nil {
		n.Stop()
	}
}

// KillNode ends a node at once: its connections break, nothing is handed over.
func (t *Cluster) KillNode(id fleet.NodeID) {
	if n := t.take(id); n != nil {
		n.Abort()
	}
}

// take removes a node from the running ones.
func (t *Cluster) take(id fleet.NodeID) *node.Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.nodes[id]
	delete(t.nodes, id)
	return n
}

// Config returns the settings of a further node, which the trial does not run
// itself. It reaches the key-value service at storeAddr and is dialled by
// other nodes at the address that advertise returns for its own.
func (t *Cluster) Config(id fleet.NodeID, zone fleet.Zone, storeAddr string, advertise func(inner string) (string, error)) (*config.Config, error) {
	c := t.config(id, zone, 0)
	c.Store.Address = storeAddr
	advertised, err := advertise(c.Listen.Inner)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", id, err)
	}
	c.Listen.Advertise = advertised
	return c, nil
}

func (t *Cluster) config(id fleet.NodeID, zone fleet.Zone, index int) *config.Config {
	c := config.Default()
	c.Node.ID, c.Node.Zone, c.Node.Secret = id, zone, secret
	c.Listen = config.Listen{Callers: loopback(t.opts.CallersPort, index), Operators: loopback(t.opts.OperatorsPort, index), Inner: standin.FreeAddr()}
	t.Network.Register(c.Listen.Inner, string(zone))
	c.Store.Address, c.Store.MinLease = t.storeAddr, minLease
	c.Deployment.Zones, c.Deployment.OrderPause, c.Deployment.DrainTime = t.opts.Zones, orderPause, drainTime
	c.Operators.RootTokenSHA256 = teams.HashKey(examples.DevRootToken)
	if t.opts.Configure != nil {
		t.opts.Configure(&c)
	}
	return &c
}

// shareSeeds gives every node the inner addresses of all others.
func (t *Cluster) shareSeeds() {
	for _, id := range t.order {
		for _, other := range t.order {
			if other != id {
				t.configs[id].Deployment.Seeds = append(t.configs[id].Deployment.Seeds, t.configs[other].Listen.Inner)
			}
		}
	}
}

// platformHost is the platform's name in the fabric and among the relays.
const platformHost = "platform"

// PartitionZone cuts a zone off from the other zones and from the platform.
func (t *Cluster) PartitionZone(zone fleet.Zone) {
	t.Network.Partition(string(zone), platformHost)
	for _, other := range t.opts.Zones {
		if other != zone {
			t.Network.Partition(string(zone), string(other))
		}
	}
}

// loopback returns an address at the first port plus index; a first port of 0
// takes any free one.
func loopback(first, index int) string {
	if first == 0 {
		return standin.FreeAddr()
	}
	return net.JoinHostPort("127.0.0.1", fmt.Sprint(first+index))
}

// targets returns the number of targets whose entries are ready or leaving.
func (t *Cluster) targets() int { return len(t.Engines) + len(t.Plains) }
