package streams

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// History holds which software versions have targets in each service, and had some in the
// last life of a stream. Its methods may be called concurrently.
type History struct {
	mu sync.Mutex // guards all below
	// life is the longest time from the first event of a stream until it is taken up.
	life time.Duration
	// since is when the versions began to be observed, zero before. complete is true if the
	// versions of the life before that are known, too.
	since    time.Time
	complete bool
	services map[string]*serviceVersions
}

// serviceVersions are the versions of one service.
type serviceVersions struct {
	listed map[string]bool
	// lastSeen holds when the versions that are no longer listed were found to be gone.
	lastSeen map[string]time.Time
}

// NewHistory returns a history without observations, for streams of a life.
func NewHistory(life time.Duration) *History {
	return &History{life: life, services: map[string]*serviceVersions{}}
}

// SetLife changes the life of streams.
func (h *History) SetLife(life time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.life = life
}

// service returns the versions of a service. h.mu must be held.
func (h *History) service(name string) *serviceVersions {
	v := h.services[name]
	if v == nil {
		v = &serviceVersions{listed: map[string]bool{}, lastSeen: map[string]time.Time{}}
		h.services[name] = v
	}
	return v
}

// Observe records the versions with targets, by service: a complete list. It returns the
// services whose recent versions have changed by it, in order.
func (h *History) Observe(now time.Time, listed map[string]map[string]bool) (changed []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		h.since = now
	}
	for name := range listed {
		h.service(name)
	}
	for name, v := range h.services {
		for version := range v.listed {
			if !listed[name][version] {
				v.lastSeen[version] = now
			}
		}
		for version := range listed[name] {
			if _, recent := v.lastSeen[version]; !recent && !v.listed[version] {
				changed = append(changed, name)
			}
			delete(v.lastSeen, version)
		}
		v.listed = maps.Clone(listed[name])
	}
	slices.Sort(changed)
	return slices.Compact(changed)
}

// Saw records versions that had targets a moment ago, by service. It returns the services whose
// recent versions have changed by it, in order.
func (h *History) Saw(now time.Time, versions map[string]map[string]bool) (changed []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, set := range versions {
		v := h.service(name)
		for version := range set {
			if v.listed[version] {
				continue
			}
			if _, recent := v.lastSeen[version]; !recent {
				changed = append(changed, name)
			}
			v.lastSeen[version] = now
		}
	}
	slices.Sort(changed)
	return slices.Compact(changed)
}

// Missed records that versions may have come and gone without being observed. Those of the
// last life are then known again after Include, or a life later.
func (h *History) Missed(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.since, h.complete = now, false
}

// Include records versions that have served lately by what other nodes have written, by
// service: all of the last life before this history began.
func (h *History) Include(now time.Time, recorded map[string][]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = true
	for name, versions := range recorded {
		v := h.service(name)
		for _, version := range versions {
			if _, recent := v.lastSeen[version]; !recent && !v.listed[version] {
				v.lastSeen[version] = now
			}
		}
	}
}

// Complete reports whether the versions of the whole last life are known.
func (h *History) Complete(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isComplete(now)
}

// isComplete is Complete; h.mu must be held.
func (h *History) isComplete(now time.Time) bool {
	return !h.since.IsZero() && (h.complete || now.Sub(h.since) >= h.life)
}

// recent returns the recent versions of a service, in order, and forgets the others. h.mu
// must be held.
func (h *History) recent(now time.Time, v *serviceVersions) []string {
	maps.DeleteFunc(v.lastSeen, func(_ string, seen time.Time) bool { return now.Sub(seen) >= h.life })
	return slices.Sorted(func(yield func(string) bool) {
		for version := range v.listed {
			if !yield(version) {
				return
			}
		}
		for version := range v.lastSeen {
			if !yield(version) {
				return
			}
		}
	})
}

// Recent returns, in order, the versions of a service that have targets or had some in the
// last life.
func (h *History) Recent(now time.Time, service string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recent(now, h.service(service))
}

// All returns what Recent does for all services.
func (h *History) All(now time.Time) map[string][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string][]string, len(h.services))
	for name, v := range h.services {
		if versions := h.recent(now, v); len(versions) > 0 {
			out[name] = versions
		}
	}
	return out
}

// Only returns the version that has begun all streams of a service which may still be taken
// up. ok is false if there were several, or may have been.
func (h *History) Only(now time.Time, service string) (version string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isComplete(now) {
		return "", false
	}
	versions := h.recent(now, h.service(service))
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}
