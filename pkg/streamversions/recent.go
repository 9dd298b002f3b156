package streamversions

import (
	"slices"
	"sync"
	"time"

	"almondturn/pkg/streams"
)

// Begun is a stream that has begun at this node.
type Begun struct {
	// ID is the identifier of the request that brought the first event.
	ID     string
	Origin streams.Origin
}

// Bounds of the streams of which owners are told.
const (
	// maxRecentStreams is the number of streams in one message.
	maxRecentStreams = 256
	// recentTime is the age of the streams of which a new owner is told.
	recentTime = 15 * time.Second
)

// recentStreams holds the last streams that have begun at this node. Its methods may be called
// concurrently.
type recentStreams struct {
	mu sync.Mutex // guards all below
	// last are the last streams, the oldest first, and begunAt when each began. untold is the
	// number of them, at the end, of which the owners have not been told.
	last    []Begun
	begunAt []time.Time
	untold  int
}

// add adds a stream.
func (r *recentStreams) add(now time.Time, b Begun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.last) == 2*maxRecentStreams {
		r.last = slices.Delete(r.last, 0, maxRecentStreams)
		r.begunAt = slices.Delete(r.begunAt, 0, maxRecentStreams)
	}
	r.last, r.begunAt = append(r.last, b), append(r.begunAt, now)
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

// recent returns the streams that have begun within recentTime.
func (r *recentStreams) recent(now time.Time) []Begun {
	r.mu.Lock()
	defer r.mu.Unlock()
	young := slices.IndexFunc(r.begunAt, func(at time.Time) bool { return now.Sub(at) < recentTime })
	if young < 0 {
		return nil
	}
	return r.newest(len(r.last) - young)
}
