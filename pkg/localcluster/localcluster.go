// Package localcluster runs a complete deployment in one process: stand-ins for
// the platform and the targets, and nodes in each availability zone. The
// command `almondturn dev`, the scenarios and the benchmarks use it.
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

// Options describes a deployment.
type Options struct {
	// Zones are the availability zones of the deployment.
	Zones []fleet.Zone
	// NodesPerZone, EnginesPerZone and PlainTargetsPerZone are the numbers of entry nodes,
	// of engines and of plain targets, which serve no models, in each zone.
	NodesPerZone, EnginesPerZone, PlainTargetsPerZone int
	// EngineOptions returns the options of the engine with the given identifier and zone;
	// nil means DefaultEngine.
	EngineOptions func(id string, zone fleet.Zone) standin.EngineOptions
	// CallersPort and OperatorsPort are the ports of the first node's listeners;
	// each further node uses the next port. 0 means any free port.
	CallersPort, OperatorsPort int
	// Proxies is true to put a faultproxy.Proxy in front of each target and of the
	// key-value service.
	Proxies bool
	// Configure changes the settings of each node before it starts, if not nil.
	Configure func(cfg *config.Config)
	// Log receives the log lines of all nodes, concurrently; nil discards them.
	Log io.Writer
}

// The services of the example teams.
const (
	EngineService = "listing"
	PlainService  = "bookings"
)

// secret authenticates the nodes of a local cluster to each other.
const secret = "trial-secret-0123456789"

// OrderHandoverDelay is the least time between orders of two owners to one target. It is
// shorter than the default of package config, so that another node takes over a zone
// sooner.
const OrderHandoverDelay = 300 * time.Millisecond

// Times of a local cluster. The first two are shorter than the defaults of package
// config: minLease, so that another node takes over a zone sooner, and drainTime, so that
// drains are shorter.
const (
	minLease  = 200 * time.Millisecond
	drainTime = time.Second
	// refreshInterval is the time between two checks whether the targets' entries in
	// the key-value service must be written again.
	refreshInterval = 300 * time.Millisecond
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 600 * time.Millisecond
)

// Cluster is a running deployment. Its methods are safe for concurrent use, except
// that a node must not be started twice at the same time, and that Stop must be the
// last call.
type Cluster struct {
	// Store is the stand-in for the key-value service.
	Store *standin.Store
	// Engines are the targets that serve models, and PlainTargets the plain targets,
	// both by identifier. The stand-in for a plain target is an Engine without models.
	Engines      map[string]*standin.Engine
	PlainTargets map[string]*standin.Engine
	// Network can partition hosts. The nodes and targets of a zone are one host,
	// which has the name of the zone; the platform is the host "platform".
	Network *simnet.Network
	opts    Options
	proxies map[string]*faultproxy.Proxy // by target, or platformHost
	// storeAddr is the address at which nodes reach the key-value service.
	storeAddr string
	stop      chan struct{} // ends refreshEntries

	mu    sync.Mutex                  // guards nodes
	nodes map[fleet.NodeID]*node.Node // the running ones
	// started holds the nodes that were started at least once.
	started map[fleet.NodeID]bool
	// configs and startOrder are those of all nodes. They don't change after Start.
	configs    map[fleet.NodeID]*config.Config
	startOrder []fleet.NodeID
}

// DefaultEngine returns the options of an engine that serves the models of the
// example team listings.
func DefaultEngine(id string, zone fleet.Zone) standin.EngineOptions {
	const (
		mbPerGiB          = 1024
		tokensPerResponse = 16
	)
	return standin.EngineOptions{
		ID: id, Service: EngineService, Zone: string(zone), WeightsMB: 16 * mbPerGiB, OnDisk: []string{"tea-small@1", "tea-large@1"},
		ModelMB: map[string]float64{"tea-small@1": 2 * mbPerGiB, "tea-large@1": 6 * mbPerGiB}, LoadTime: 500 * time.Millisecond, EventTime: 20 * time.Millisecond, Events: tokensPerResponse,
	}
}

// Start starts the stand-ins, then all nodes. The nodes serve requests once the settings
// of a team are applied. If Start fails, it stops what it has started.
func Start(o Options) (*Cluster, error) {
	if o.EngineOptions == nil {
		o.EngineOptions = DefaultEngine
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	c := &Cluster{
		Store: standin.NewStore(), Engines: map[string]*standin.Engine{}, PlainTargets: map[string]*standin.Engine{}, Network: simnet.New(),
		opts: o, proxies: map[string]*faultproxy.Proxy{}, stop: make(chan struct{}), nodes: map[fleet.NodeID]*node.Node{}, started: map[fleet.NodeID]bool{}, configs: map[fleet.NodeID]*config.Config{},
	}
	if err := c.startStandins(); err != nil {
		c.Stop()
		return nil, err
	}
	for _, zone := range o.Zones {
		for i := range o.NodesPerZone {
			id := fleet.NodeID(fmt.Sprintf("entry-%s-%d", zone, i+1))
			c.configs[id] = c.nodeConfig(id, zone, len(c.startOrder))
			c.startOrder = append(c.startOrder, id)
		}
	}
	c.shareSeeds()
	for _, id := range c.startOrder {
		if err := c.StartNode(id); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

// startStandins starts the targets and puts proxies in front of them and of the
// key-value service, if the options say so.
func (c *Cluster) startStandins() error {
	addr, err := c.startProxy(platformHost, c.Store.Addr())
	if err != nil {
		return err
	}
	c.storeAddr = addr
	c.Network.Register(addr, platformHost)
	for _, zone := range c.opts.Zones {
		for i := range c.opts.EnginesPerZone {
			id := fmt.Sprintf("engine-%s-%d", zone, i+1)
			if c.Engines[id], err = c.startTarget(id, zone, c.opts.EngineOptions(id, zone)); err != nil {
				return err
			}
		}
		for i := range c.opts.PlainTargetsPerZone {
			id := fmt.Sprintf("plain-%s-%d", zone, i+1)
			if c.PlainTargets[id], err = c.startTarget(id, zone, standin.EngineOptions{ID: id, Service: PlainService, Zone: string(zone)}); err != nil {
				return err
			}
		}
	}
	go c.refreshEntries()
	return nil
}

// startTarget starts a target and registers it in the network and in the key-value
// service.
func (c *Cluster) startTarget(id string, zone fleet.Zone, o standin.EngineOptions) (*standin.Engine, error) {
	e := standin.NewEngine(o)
	addr, err := c.startProxy(id, e.Addr())
	if err != nil {
		e.Close()
		return nil, err
	}
	e.AdvertisedAddr = addr
	c.Network.Register(addr, string(zone))
	e.Register(c.Store)
	return e, nil
}

// startProxy starts a proxy in front of addr and returns the proxy's address. Without
// the option Proxies, it returns addr.
func (c *Cluster) startProxy(name, addr string) (string, error) {
	if !c.opts.Proxies {
		return addr, nil
	}
	proxy, err := faultproxy.New(addr)
	if err != nil {
		return "", fmt.Errorf("proxy in front of %s: %w", name, err)
	}
	c.proxies[name] = proxy
	return proxy.Addr(), nil
}

// Proxy returns the proxy in front of a target or, for the name "platform", of the
// key-value service. The result is false if there is none.
func (c *Cluster) Proxy(name string) (*faultproxy.Proxy, bool) {
	proxy, ok := c.proxies[name]
	return proxy, ok
}

// refreshEntries writes changed entries of targets into the key-value service until
// Stop, as targets do.
func (c *Cluster) refreshEntries() {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(refreshInterval):
		}
		for _, targets := range []map[string]*standin.Engine{c.Engines, c.PlainTargets} {
			for _, e := range targets {
				c.refreshEntry(e)
			}
		}
	}
}

// refreshEntry writes the entry of a target, if it differs from the stored one.
func (c *Cluster) refreshEntry(e *standin.Engine) {
	key, value := e.CurrentEntry()
	if stored, ok := c.Store.Get(key); !ok || string(stored) != string(value) {
		c.Store.Put(key, value)
	}
}

// Stop stops all nodes gracefully and concurrently, then the stand-ins. It must be
// called once.
func (c *Cluster) Stop() {
	var wg sync.WaitGroup
	for _, id := range c.startOrder {
		if n := c.removeRunning(id); n != nil {
			wg.Go(n.Stop)
		}
	}
	wg.Wait()
	close(c.stop)
	for _, targets := range []map[string]*standin.Engine{c.Engines, c.PlainTargets} {
		for _, e := range targets {
			e.Close()
		}
	}
	for _, proxy := range c.proxies {
		proxy.Close()
	}
	c.Store.Close()
}

// NodeIDs returns the identifiers of all nodes, running or not, in start order.
func (c *Cluster) NodeIDs() []fleet.NodeID { return c.startOrder }

// Node returns a running node, or nil if the node isn't running.
func (c *Cluster) Node(id fleet.NodeID) *node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

// Nodes returns the running nodes in start order.
func (c *Cluster) Nodes() []*node.Node {
	var running []*node.Node
	for _, id := range c.startOrder {
		if n := c.Node(id); n != nil {
			running = append(running, n)
		}
	}
	return running
}

// StartNode starts a node that is not running, with the same settings and ports as
// before and a new incarnation.
func (c *Cluster) StartNode(id fleet.NodeID) error {
	cfg := c.configs[id]
	n, err := node.New(cfg, node.Options{Log: c.opts.Log, Dial: withDialTimeout(c.Network.Dialer(string(cfg.Node.Zone))), FirstStart: c.beginFirstStart(id)})
	if err != nil {
		return fmt.Errorf("node %s: %w", id, err)
	}
	if err := n.Start(); err != nil {
		return fmt.Errorf("node %s: %w", id, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[id] = n
	return nil
}

// beginFirstStart reports whether a node is started for the first time.
func (c *Cluster) beginFirstStart(id fleet.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.started[id]
	c.started[id] = true
	return first
}

// withDialTimeout returns a dial function that fails after dialTimeout.
func withDialTimeout(dial fleet.DialFunc) fleet.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

// StopNode stops a node gracefully, if it is running.
func (c *Cluster) StopNode(id fleet.NodeID) {
	if n := c.removeRunning(id); n != nil {
		n.Stop()
	}
}

// KillNode stops a node as a crash does, if it is running: its connections are closed
// and nothing is handed over.
func (c *Cluster) KillNode(id fleet.NodeID) {
	if n := c.removeRunning(id); n != nil {
		n.Abort()
	}
}

// removeRunning removes a node from the running ones and returns it, or nil if it
// isn't running. The caller has to stop it.
func (c *Cluster) removeRunning(id fleet.NodeID) *node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[id]
	delete(c.nodes, id)
	return n
}

// ExternalNodeConfig returns the settings of an additional node that the Cluster
// doesn't run itself. The node reaches the key-value service at storeAddr. Other nodes
// dial it at the address that advertise returns for the address of its inner listener.
func (c *Cluster) ExternalNodeConfig(id fleet.NodeID, zone fleet.Zone, storeAddr string, advertise func(inner string) (string, error)) (*config.Config, error) {
	cfg := c.nodeConfig(id, zone, 0)
	cfg.Store.Address = storeAddr
	advertised, err := advertise(cfg.Listen.Inner)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", id, err)
	}
	cfg.Listen.Advertise = advertised
	return cfg, nil
}

// nodeConfig returns the settings of a node without seeds. index is added to the
// first port of each listener that has a fixed port.
func (c *Cluster) nodeConfig(id fleet.NodeID, zone fleet.Zone, index int) *config.Config {
	cfg := config.Default()
	cfg.Node.ID, cfg.Node.Zone, cfg.Node.Secret = id, zone, secret
	cfg.Listen = config.Listen{Callers: loopbackAddr(c.opts.CallersPort, index), Operators: loopbackAddr(c.opts.OperatorsPort, index), Inner: standin.FreeAddr()}
	c.Network.Register(cfg.Listen.Inner, string(zone))
	cfg.Store.Address, cfg.Store.MinLease = c.storeAddr, minLease
	cfg.Deployment.Zones, cfg.Deployment.OrderPause, cfg.Deployment.DrainTime = c.opts.Zones, OrderHandoverDelay, drainTime
	cfg.Operators.RootTokenSHA256 = teams.DigestKey(examples.DevRootToken)
	if c.opts.Configure != nil {
		c.opts.Configure(&cfg)
	}
	return &cfg
}

// shareSeeds adds the inner addresses of all other nodes to the seeds of each node.
func (c *Cluster) shareSeeds() {
	for _, id := range c.startOrder {
		for _, other := range c.startOrder {
			if other != id {
				c.configs[id].Deployment.Seeds = append(c.configs[id].Deployment.Seeds, c.configs[other].Listen.Inner)
			}
		}
	}
}

// platformHost is the name of the platform in the network and among the proxies.
const platformHost = "platform"

// PartitionZone partitions a zone from the other zones and from the platform.
func (c *Cluster) PartitionZone(zone fleet.Zone) {
	c.Network.Partition(string(zone), platformHost)
	for _, other := range c.opts.Zones {
		if other != zone {
			c.Network.Partition(string(zone), string(other))
		}
	}
}

// loopbackAddr returns a loopback address with the port firstPort plus index, or with
// any free port if firstPort is 0.
func loopbackAddr(firstPort, index int) string {
	if firstPort == 0 {
		return standin.FreeAddr()
	}
	return net.JoinHostPort("127.0.0.1", fmt.Sprint(firstPort+index))
}

// targetCount returns the number of targets of the cluster.
func (c *Cluster) targetCount() int { return len(c.Engines) + len(c.PlainTargets) }
