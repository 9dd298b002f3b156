package entry

import (
	"math"
	"runtime/debug"

	"almondturn/pkg/buffers"
	"almondturn/pkg/intake"
)

// Shares of the node's memory that unfinished responses may hold. The rest is for the state
// of the deployment, the requests in progress, garbage and socket buffers.
const (
	// targetResponseShare is the share for responses of targets. Bodies that are read
	// completely before they are used may hold half of it: those of plain services, and
	// reports. The other half is left to unfinished events.
	targetResponseShare = 1.0 / 24
	// storeResponseShare is the share for responses of the key-value service, of which a
	// list may be larger than any response of a target.
	storeResponseShare = 1.0 / 8
	// defaultMemoryBytes is the memory that is assumed of a node if none is known.
	defaultMemoryBytes = 512 << 20
)

// memoryBytes returns the memory that the process may use: that of the settings, or the Go
// runtime's limit, or defaultMemoryBytes.
func (s *Settings) memoryBytes() float64 {
	if s.MemoryLimitBytes > 0 {
		return float64(s.MemoryLimitBytes)
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return float64(limit)
	}
	return defaultMemoryBytes
}

// limitTargetResponses sets the bounds of what responses of targets hold together.
//
// The bodies of clients' requests are not in this sum, but in that of package intake. Each is
// needed until the end of its request, for another attempt. Ending the largest would end
// requests at sound targets for the fault of another.
func (s *Settings) limitTargetResponses(l *buffers.Limit) {
	most := int(targetResponseShare * s.memoryBytes())
	l.SetMax(most, most/2)
}

// intakeLimits returns the limits of what clients make the node hold.
func (s *Settings) intakeLimits() intake.Limits {
	return intake.NewLimits(s.memoryBytes(), s.MaxDescriptors, s.ClientConnsPerAddress)
}

// LimitStoreResponses sets the bounds of what responses of the key-value service hold
// together.
func (s *Settings) LimitStoreResponses(l *buffers.Limit) {
	most := int(storeResponseShare * s.memoryBytes())
	l.SetMax(most, most)
}
