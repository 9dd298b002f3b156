// Package site runs the stand-ins of one deployment on loopback ports: the
// platform, and engines and plain services in each availability zone.
package site

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/engine"
	"almondturn/pkg/standin/kv"
	"almondturn/pkg/standin/plain"
	"almondturn/pkg/standin/relay"
	"almondturn/pkg/standin/vmlist"
	"almondturn/pkg/standin/weights"
)

// Options describe a deployment of stand-ins.
type Options struct {
	Zones          []fleet.Zone
	EnginesPerZone int
	PlainPerZone   int
	// PlainService is the service that the plain targets run.
	PlainService fleet.Service
	// Engine describes each engine; nil takes engine.DefaultOptions.
	Engine func(id fleet.TargetID, zone fleet.Zone, index int) engine.Options
	Store  weights.Options
	VMLag  time.Duration
	// Relays puts a relay before each target and before the platform, so
	// that connections can be silenced and cut.
	Relays bool
	// Recorder gets the targets' records; may be nil.
	Recorder engine.Recorder
}

// Site is a running deployment of stand-ins.
type Site struct {
	KV      *kv.Store
	VMs     *vmlist.List
	Weights *weights.Store
	Engines map[fleet.TargetID]*engine.Engine
	Plains  map[fleet.TargetID]*plain.Service
	Targets []fleet.Target
	// PlatformURL is where nodes reach the platform.
	PlatformURL string

	opts    Options
	relays  map[string]*relay.Relay
	servers []*http.Server
	stop    chan struct{}
	ticker  sync.WaitGroup
}

// leaseTick is how often lapsed leases are ended.
const leaseTick = 100 * time.Millisecond

// Start opens all listeners.
func Start(o Options) (*Site, error) {
	if o.Engine == nil {
		o.Engine = func(id fleet.TargetID, _ fleet.Zone, _ int) engine.Options { return engine.DefaultOptions(id) }
	}
	s := &Site{
		KV:      kv.New(platform.SystemClock{}),
		VMs:     vmlist.New(o.VMLag),
		Weights: weights.New(o.Store),
		Engines: map[fleet.TargetID]*engine.Engine{},
		Plains:  map[fleet.TargetID]*plain.Service{},
		opts:    o,
		relays:  map[string]*relay.Relay{},
		stop:    make(chan struct{}),
	}
	s.ticker.Go(s.expireLeases)
	addr, err := s.serve("platform", kv.Handler(s.KV, s.VMs))
	if err != nil {
		return nil, err
	}
	s.PlatformURL = "http://" + addr
	for _, zone := range o.Zones {
		if err := s.startZone(zone); err != nil {
			s.Stop()
			return nil, err
		}
	}
	return s, nil
}

// Stop closes all listeners and ends all requests.
func (s *Site) Stop() {
	close(s.stop)
	s.ticker.Wait()
	for _, e := range s.Engines {
		e.Close()
	}
	for _, r := range s.relays {
		r.Close()
	}
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

// Relay returns the relay before a target, or before "platform".
func (s *Site) Relay(name string) (*relay.Relay, bool) {
	r, ok := s.relays[name]
	return r, ok
}

func (s *Site) startZone(zone fleet.Zone) error {
	for i := range s.opts.EnginesPerZone {
		id := fleet.TargetID(fmt.Sprintf("engine-%s-%d", zone, i+1))
		e := engine.New(s.opts.Engine(id, zone, i), s.Weights, s.opts.Recorder)
		s.Engines[id] = e
		if err := s.addTarget(fleet.Target{ID: id, Zone: zone, Kind: fleet.TargetEngine}, e.Handler()); err != nil {
			return err
		}
	}
	for i := range s.opts.PlainPerZone {
		id := fleet.TargetID(fmt.Sprintf("plain-%s-%d", zone, i+1))
		p := plain.New(id, s.opts.Recorder)
		s.Plains[id] = p
		t := fleet.Target{ID: id, Zone: zone, Kind: fleet.TargetPlain, Service: s.opts.PlainService}
		if err := s.addTarget(t, p.Handler()); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) addTarget(t fleet.Target, h http.Handler) error {
	addr, err := s.serve(string(t.ID), h)
	if err != nil {
		return err
	}
	t.Addr = addr
	s.Targets = append(s.Targets, t)
	s.VMs.Set(platform.VM{ID: string(t.ID), Zone: t.Zone, Addr: t.Addr, Role: platform.VMTarget, Kind: t.Kind, Service: t.Service})
	return nil
}

// AddEngine starts an engine that belongs to no zone and is on no list, and
// returns its host:port.
func (s *Site) AddEngine(o engine.Options) (string, *engine.Engine, error) {
	e := engine.New(o, s.Weights, nil)
	s.Engines[o.Target] = e
	addr, err := s.serve(string(o.Target), e.Handler())
	return addr, e, err
}

// serve opens a loopback listener, behind a relay where wanted, and returns
// the address to dial.
func (s *Site) serve(name string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("stand-in %s: %w", name, err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }()
	if !s.opts.Relays {
		return l.Addr().String(), nil
	}
	r, err := relay.New(l.Addr().String())
	if err != nil {
		return "", fmt.Errorf("relay of %s: %w", name, err)
	}
	s.relays[name] = r
	return r.Addr(), nil
}

func (s *Site) expireLeases() {
	t := time.NewTicker(leaseTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.KV.Expire()
		case <-s.stop:
			return
		}
	}
}
