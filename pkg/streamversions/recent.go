package streamversions

import (
	"slices"
	"sync"

	"almondturn/pkg/streams"
)

// Begun is a stream that has begun at this node.
type Begun struct {
	// ID is the identifier of the request that brought the first event.
	ID     string
	Origin streams.Origin
}

// maxRecentStreams is the number of streams of which a new owner of a zone is told, and the most
// that the owners are told of at once.
const maxRecentStreams = 256

// recentStreams holds the last streams that have begun at this node. Its methods may be called
// concurrently.
type recentStreams struct {
	mu sync.Mutex // guards all below
	// last are the last streams, the oldest first; untold is the number of them, at the end, of
	// which the owners have not been told.
	last   []Begun
	untold int
}

// add adds a stream.
func (r *recentStreams) add(b Begun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.last) == 2*maxRecentStreams {
		r.last = append(r.last[:0], r.last[maxRecentStreams:]...)
	}
	r.last = append(r.last, b)
	r.untold++
}

// newest returns a copy of the newest streams, n or maxRecentStreams at most. r.mu must be held.
func (r *recentStreams) newest(n int) []Begun {
	return slices.Clone(r.last[len(r.last)-min(n, maxRecentStreams, len(r.last)):])
}

// takeUntold returns the streams of which the owners have not been told.
func (r *recentStreams) takeUntold() []Begun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.newest(r.untold)
	r.untold = 0
	return out
}

// all returns the last streams.
func (r *recentStreams) all() []Begun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest(maxRecentStreams)
}
