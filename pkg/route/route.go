// Package route holds the configuration in force: the routes of requests, the
// services they lead to, the sizes and load times of models, the limits of requests
// and replicas, and the drained targets. A Table is immutable; a node replaces it
// when the configuration changes.
package route

import (
	"iter"
	"strings"
	"time"

	"almondturn/pkg/customers"
	"almondturn/pkg/kv"
)

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of route.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests have a response of several events. They run at most once
	// unless the route is resumable.
	Stream
)

// String returns the kind's name as in the configuration.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[k]
}

// Backend is one service of a route.
type Backend struct {
	Service string
	// Weight is the service's share of the route's requests, relative to the
	// sum of the weights of all backends.
	Weight int
}

// Route is a rule for requests: the operators' rule for those below one path prefix
// of a host, or one of package teams, which has no host and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the duration of a request.
	Timeout time.Duration
	// LatencyObjective is the latency objective, up to the first event of a
	// stream or to the end of a non-streaming response.
	LatencyObjective time.Duration
	// MaxEventInterval is the longest interval between two events of a stream
	// that still counts as on time. It is not part of LatencyObjective.
	MaxEventInterval time.Duration
	// FirstEventTimeout is how long clients wait for the first event of a
	// stream; 0 if they wait until the deadline.
	FirstEventTimeout time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of attempts of one request that a target
	// may have run. Attempts that are known not to have run don't count.
	MaxAttempts int
	// Resumable reports whether another target may continue a stream.
	Resumable bool
	// Anonymous reports whether requests need no API key where the configuration has customers.
	Anonymous bool
	// Backends share the requests by weight. There is at least one.
	Backends []Backend
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// ChooseService returns the name of the service to which a request with the hash
// is sent. Evenly distributed hashes are spread over the backends by weight;
// without any weight all requests are sent to the first backend.
func (r *Route) ChooseService(hash uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	remaining := int(hash % uint64(total))
	for _, b := range r.Backends {
		remaining -= b.Weight
		if remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[0].Service
}

// Model describes one model that the targets of an engine service may load.
type Model struct {
	Name string
	// WeightsMB is the size of the weights in accelerator memory, in MB.
	WeightsMB float64
	// WeightStoreLoadTime, DiskLoadTime and MemoryLoadTime are the durations of
	// a load into accelerator memory from the weight store, from the target's
	// disk and from the target's main memory.
	WeightStoreLoadTime, DiskLoadTime, MemoryLoadTime time.Duration
	// AdapterMB is the size of an adapter in accelerator memory, in MB. Package
	// teams sets that of the model's largest adapter.
	AdapterMB float64
	// Replicas bounds the replicas of the model over all availability zones.
	Replicas ReplicaLimit
	// AdapterReplicas bounds the replicas of adapters by name; nil for no
	// bounds.
	AdapterReplicas map[string]ReplicaLimit
}

// Engine describes the targets of an engine service.
type Engine struct {
	// Slots is the number of requests that a target runs concurrently.
	Slots int
	// CacheTokens is the capacity of a target's key-value cache, in tokens.
	CacheTokens int
	// WeightsMB is a target's accelerator memory for weights and adapters, in
	// MB.
	WeightsMB float64
	// AdapterSlots is the maximum number of adapters that a target can have
	// loaded, unlike Slots, which counts requests.
	AdapterSlots int
	// LoadsPerSecond is the rate of loads from the weight store that all
	// targets together may begin.
	LoadsPerSecond float64
	// IdleWeight is the cost of a second of idle accelerator time, relative to
	// a second of cold start. With 0, replicas stay loaded until other models
	// need the memory.
	IdleWeight float64
	// Models holds the models by name.
	Models map[string]*Model
}

// Service is a group of targets that run the same program.
type Service struct {
	Name string
	// Engine describes the targets of a model service; nil for a plain service.
	Engine *Engine
}

// RequestLimits bounds the requests and connections of clients.
type RequestLimits struct {
	// MaxHeaderBytes bounds the headers of a request; 0 for no limit but that
	// of the HTTP server.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request; 0 for the default of package
	// entry.
	MaxBodyBytes int64
	// HeaderTimeout is how long a client may take for the head of a request; 0 for the limit
	// of the HTTP server.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a client's connection may be idle; 0 for no
	// limit.
	IdleTimeout time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version int64
	// Revision is the key-value service's revision at which the configuration
	// was written, in the era in which it was read.
	Revision kv.Revision
	// Services holds the services by name.
	Services map[string]*Service
	Limits   RequestLimits
	// Customers holds the customers and their API keys; nil if requests need no key.
	Customers *customers.Directory
	// Drained holds the identifiers of the targets that an operator drains,
	// which get no new requests; nil for none.
	Drained map[string]bool
	// Extension holds what the decoder of the configuration read besides the
	// fields above; nil for nothing.
	Extension any
	// hosts holds the routes by host name in lower case.
	hosts map[string][]*Route
}

// Routes returns all routes, in no particular order.
func (t *Table) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, routes := range t.hosts {
			for _, r := range routes {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// NewTable returns a table of routes and services. The caller must not change
// the routes and the map afterwards.
func NewTable(version int64, routes []*Route, services map[string]*Service, limits RequestLimits) *Table {
	t := &Table{Version: version, Services: services, Limits: limits, hosts: map[string][]*Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	return t
}

// Supersedes reports whether t replaces the configuration in force, which is nil if
// there is none. Within an era of the key-value service, the later write replaces the
// earlier one. Across a restore of the service from an older copy, revisions don't
// tell which one the operators wrote later; versions, which only increase, do.
func (t *Table) Supersedes(inForce *Table) bool {
	if inForce == nil {
		return true
	}
	if t.Revision.Era() != inForce.Revision.Era() && t.Version != inForce.Version {
		return t.Version > inForce.Version
	}
	return t.Revision > inForce.Revision
}

// Model returns a model of a service, nil if the service has no such model.
func (t *Table) Model(service, name string) *Model {
	s := t.Services[service]
	if s == nil || s.Engine == nil {
		return nil
	}
	return s.Engine.Models[name]
}

// Match returns the route of the host with the longest path prefix that matches
// path, nil if there is none. host may have a port; its case doesn't matter.
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
