// Package entry is an entry node on the platform: it takes requests from
// clients, finds a target for each, and passes the answer on. The owner of
// the node's availability zone, which may be this node, gives the places at
// model engines; plain services are chosen from directly.
package entry

import (
	"crypto/tls"
	"time"

	"almondturn/fleet"
)

// Settings are what a node learns at its start.
type Settings struct {
	Node fleet.NodeID
	Zone fleet.Zone
	// ClientsAddr, ReadinessAddr and InnerAddr are the addresses to listen
	// on for clients, the balancer's questions and other nodes. Without a
	// ReadinessAddr, the balancer asks elsewhere.
	ClientsAddr, ReadinessAddr, InnerAddr string
	// MetricsAddr is the address to show metrics at beside the readiness and
	// inner addresses; empty for none.
	MetricsAddr string
	// AdvertisedAddr is the inner address that other nodes dial; empty takes
	// InnerAddr.
	AdvertisedAddr string
	// ClientsTLS is nil for plain text.
	ClientsTLS *tls.Config
	// InnerTLS is what nodes show each other and check; nil for plain text.
	InnerTLS *tls.Config
	// Secret authenticates nodes to each other; all nodes have the same.
	Secret []byte
	// StoreAddr is the address of the platform's key-value service.
	StoreAddr string
	// Seeds are inner addresses of some nodes; they may be stale.
	Seeds []string
	Zones []fleet.Zone
	Bounds
	// MemoryBytes is the memory that the process may use, 0 for no bound. Above
	// it, the platform ends the process.
	MemoryBytes int64
	// CPUCapacity is the share of a processor core that the process may use.
	CPUCapacity float64
}

// advertised returns the inner address that other nodes dial.
func (s *Settings) advertisedAddr() string {
	if s.AdvertisedAddr != "" {
		return s.AdvertisedAddr
	}
	return s.InnerAddr
}

// Bounds are the figures that the operators ask for.
type Bounds struct {
	// DrainTime is the time after which a leaving target gets no requests.
	DrainTime time.Duration
	// ShutdownTime is the time between the signal to stop and the kill.
	ShutdownTime time.Duration
	// RetryRatio and RetrySlack bound the repeated sends to a service within
	// RetryWindow, over all nodes: a share of the requests, and a number.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// OrderHandoverDelay is the least time between orders of two nodes to one
	// target.
	OrderHandoverDelay time.Duration
	// MinLeaseTime is the shortest lease that the key-value service grants.
	MinLeaseTime time.Duration
}
