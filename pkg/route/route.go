// Package route holds the configuration in force: which route a request
// takes, what its service may do, and what its models need. A Table is
// immutable; the node swaps it as a whole.
package route

import (
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind uint8

// The kinds of route.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events. They run at most
	// once unless they can be resumed.
	Stream
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[k]
}

// Backend is one service of a route with its weight.
type Backend struct {
	Service string
	Weight  int
}

// Route is the operators' rule for the requests below one path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout ends a request that is still in progress.
	Timeout time.Duration
	// Objective is the latency objective: until the first event of a stream,
	// until the whole answer otherwise.
	Objective time.Duration
	// MaxEventInterval is the longest pause between two events of a stream that is
	// still on time.
	MaxEventInterval time.Duration
	// FirstEventTimeout is how long clients wait for the first event of a stream; 0
	// when they wait until the deadline.
	FirstEventTimeout time.Duration
	// Priority is the rank, 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of targets that one request may run on.
	MaxAttempts int
	// Resumable tells that another target may continue a stream.
	Resumable bool
	// Backends share the requests by weight. There is at least one.
	Backends []Backend
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service returns the backend that a request goes to; hash spreads requests
// over the backends by weight.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	left := int(hash % uint64(total))
	for _, b := range r.Backends {
		left -= b.Weight
		if left < 0 {
			return b.Service
		}
	}
	return r.Backends[0].Service
}

// Model describes one model that an engine service may load.
type Model struct {
	Name string
	// WeightsMB is the memory that the weights take, in MB.
	WeightsMB float64
	// LoadTime, DiskLoadTime and MemoryLoadTime are the durations of a load from the
	// weight store, from the target's disk and from the target's memory.
	LoadTime, DiskLoadTime, MemoryLoadTime time.Duration
	// AdapterMB is the memory of one adapter, in MB.
	AdapterMB float64
	// Replicas bounds the replicas of the model over all zones.
	Replicas Limit
	// AdapterReplicas bounds those of single adapters; nil for none.
	AdapterReplicas map[string]Limit
}

// Engine describes the targets of a model service.
type Engine struct {
	// Slots is the number of requests that a target runs at once.
	Slots int
	// CacheTokens is the number of tokens that a target keeps in memory.
	CacheTokens int
	// WeightsMB is the memory for weights and adapters, in MB.
	WeightsMB float64
	// AdapterSlots is the number of adapters that a target may hold.
	AdapterSlots int
	// LoadsPerSecond is the rate of loads from the weight store that all
	// targets together may begin.
	LoadsPerSecond float64
	// IdleWeight is the price of an idle accelerator second in seconds of cold
	// start; 0 keeps replicas loaded until others need the memory.
	IdleWeight float64
	Models     map[string]*Model
}

// Service is a group of targets that run the same program.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	IdleTimeout    time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version int64
	// Revision is that of the key-value service at which it was written.
	Revision uint64
	Services map[string]*Service
	Limits   Limits
	// Drained are the targets that get no new requests by the operators' will;
	// nil for none.
	Drained map[string]bool
	// Extension is what the reader of the configuration needs beside the
	// routes; nil when that is nothing.
	Extension any
	hosts     map[string][]*Route
}

// NewTable returns a table of routes.
func NewTable(version int64, routes []*Route, services map[string]*Service, limits Limits) *Table {
	t := &Table{Version: version, Services: services, Limits: limits, hosts: map[string][]*Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	return t
}

// Model returns what the configuration says of a model, nil for nothing.
func (t *Table) Model(service, name string) *Model {
	s := t.Services[service]
	if s == nil || s.Engine == nil {
		return nil
	}
	return s.Engine.Models[name]
}

// Match returns the route of the host with the longest prefix of path, nil
// when there is none. host may carry a port.
func (t *Table) Match(host, path string) *Route {
	routes := t.hosts[host]
	if routes == nil {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			host = host[:i]
		}
		routes = t.hosts[strings.ToLower(host)]
	}
	var best *Route
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}
