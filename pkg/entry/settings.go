// Package entry implements an entry node of the platform: it accepts requests
// of clients, chooses a target for each, and forwards the response. The owner
// of the node's availability zone, which may be this node, grants the slots at
// model engines; targets of plain services are chosen by the node itself.
package entry

import (
	"crypto/tls"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/quota"
)

// Settings are the settings of a node at its start. Node.Reload replaces Bounds
// later.
type Settings struct {
	Node fleet.NodeID
	Zone fleet.Zone
	// ClientsAddr, ReadinessAddr and InnerAddr are the addresses to listen on
	// for clients, for the load balancer's readiness checks and for other
	// nodes. Inner addresses are those for other nodes. An empty address is not
	// listened on; without a ReadinessAddr, another server may serve the checks
	// by Node.ServeReadiness.
	ClientsAddr, ReadinessAddr, InnerAddr string
	// MetricsAddr is an address that serves the metrics, in addition to the
	// readiness and inner addresses; empty for none.
	MetricsAddr string
	// AdvertisedAddr is the inner address that other nodes dial; if it is
	// empty, they dial InnerAddr.
	AdvertisedAddr string
	// ClientsTLS is the TLS configuration for clients, nil for plain text.
	ClientsTLS *tls.Config
	// InnerTLS is the TLS configuration with which nodes authenticate each
	// other, nil for plain text.
	InnerTLS *tls.Config
	// Secret authenticates nodes to each other; all nodes have the same.
	Secret []byte
	// StoreAddr is the address of the platform's key-value service.
	StoreAddr string
	// Seeds are inner addresses of some nodes; they may be stale.
	Seeds []string
	// Zones are all zones of the deployment.
	Zones []fleet.Zone
	// Bounds are the limits at the start; see Node.Reload for those that may
	// change later.
	Bounds
	// MemoryLimitBytes is the memory that the process may use, in bytes, 0 for
	// no bound. The platform kills a process that exceeds it.
	MemoryLimitBytes int64
	// MaxDescriptors is the number of descriptors that the process may have open, of which
	// package intake leaves a share to clients; 0 for no bound.
	MaxDescriptors int
	// ClientConnsPerAddress bounds the connections of clients from one address; 0 for the
	// bound of all clients' connections.
	ClientConnsPerAddress int
	// CPUCapacity is the number of processor cores that the process may use; it
	// may be a fraction.
	CPUCapacity float64
}

// advertisedAddr returns the inner address that other nodes dial.
func (s *Settings) advertisedAddr() string {
	if s.AdvertisedAddr != "" {
		return s.AdvertisedAddr
	}
	return s.InnerAddr
}

// Bounds are the limits and times that the operators set. DrainTime, RetryRatio,
// RetrySlack, RetryWindow and HedgeRatio may change while the node runs; the others apply as
// they were at its start.
type Bounds struct {
	// DrainTime is the time after which a draining target gets no more
	// requests.
	DrainTime time.Duration
	// ShutdownTime is the time between the signal to stop and the kill of the
	// process.
	ShutdownTime time.Duration
	// RetryRatio and RetrySlack bound the retries to a service within
	// RetryWindow, over all nodes: RetryRatio retries per request, plus
	// RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// HedgeRatio is the number of requests, per request that may be hedged, that a node sends to
	// a second target because the first one is slow; 0 for none. They count as retries, too.
	HedgeRatio float64
	// OrderHandoverDelay is the least time between orders of two owners to one
	// target.
	OrderHandoverDelay time.Duration
	// MinLeaseTime is the shortest lease that the key-value service grants.
	MinLeaseTime time.Duration
	// Quota is what may be used beyond the quotas of customers; its zero value is
	// quota.DefaultRule.
	Quota quota.Rule
}
