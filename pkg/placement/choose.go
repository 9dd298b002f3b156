package placement

import (
	"cmp"
	"slices"
	"time"

	"almondturn/fleet"
)

// Candidate is what the directory knows of one target.
type Candidate struct {
	Target      fleet.Target
	State       fleet.TargetState
	Unreachable bool
	// Slots are the replica keys bound to the target.
	Slots    []fleet.ReplicaKey
	Draining []fleet.ReplicaKey
	// Owner is the node that sent the report.
	Owner fleet.NodeID
}

// Wanted describes the replica that needs a target.
type Wanted struct {
	Key         fleet.ReplicaKey
	MemoryBytes int64
	// BaseMemoryBytes is the size of an adapter's base model.
	BaseMemoryBytes int64
	// Zone is where the target has to be; empty for any zone.
	Zone fleet.Zone
	// BoundOnly leaves only targets that hold a slot already: the limit is
	// used up, or the key-value service cannot be reached.
	BoundOnly bool
	// BaseBoundOnly does the same for the base model of an adapter.
	BaseBoundOnly bool
	Exclude       []fleet.TargetID
}

// Costs estimate how long the parts of a cold start take.
type Costs struct {
	// MemoryBytesPerSecond, DiskBytesPerSecond and RemoteBytesPerSecond are
	// the rates at which checkpoints load from each cache level.
	MemoryBytesPerSecond int64 `yaml:"memory_bytes_per_second" validate:"gt=0"`
	DiskBytesPerSecond   int64 `yaml:"disk_bytes_per_second" validate:"gt=0"`
	RemoteBytesPerSecond int64 `yaml:"remote_bytes_per_second" validate:"gt=0"`
	// Bind is the time to bind a slot in the key-value service.
	Bind time.Duration `yaml:"bind" validate:"gte=0"`
	// Evict is the time to unload idle replicas first.
	Evict time.Duration `yaml:"evict" validate:"gte=0"`
	// FullTarget is added in proportion to the running requests.
	FullTarget time.Duration `yaml:"full_target" validate:"gte=0"`
}

// DefaultCosts returns rates of common accelerator VMs.
func DefaultCosts() Costs {
	return Costs{
		MemoryBytesPerSecond: 10 << 30,
		DiskBytesPerSecond:   2 << 30,
		RemoteBytesPerSecond: 512 << 20,
		Bind:                 10 * time.Millisecond,
		Evict:                200 * time.Millisecond,
		FullTarget:           time.Second,
	}
}

// ranked is an eligible target with the estimate of its cold start.
type ranked struct {
	id    fleet.TargetID
	start time.Duration
}

// ChooseTarget returns the targets on which the replica can be loaded, the
// one with the shortest estimated cold start first. Equal estimates are
// ordered by rendezvous hashing, so that replicas spread over the targets.
func ChooseTarget(candidates []Candidate, w Wanted, c Costs) []fleet.TargetID {
	var eligible []ranked
	for i := range candidates {
		t := &candidates[i]
		if !usable(t, w) {
			continue
		}
		start, ok := estimate(t, w, c)
		if ok {
			eligible = append(eligible, ranked{id: t.Target.ID, start: start})
		}
	}
	key := w.Key.String()
	slices.SortFunc(eligible, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.start, b.start),
			-cmp.Compare(fleet.Weight(fleet.NodeID(a.id), key), fleet.Weight(fleet.NodeID(b.id), key)),
			cmp.Compare(a.id, b.id),
		)
	})
	out := make([]fleet.TargetID, len(eligible))
	for i, e := range eligible {
		out[i] = e.id
	}
	return out
}

// Crowded tells that every target that holds a slot of the replica would
// have to unload another replica first, while one without a slot would not:
// then moving the slot is quicker, and costs no other replica its place.
func Crowded(candidates []Candidate, w Wanted) bool {
	w.BoundOnly, w.BaseBoundOnly = false, false
	roomElsewhere := false
	for i := range candidates {
		t := &candidates[i]
		if !usable(t, w) || !fits(t, w) {
			continue
		}
		if slices.Contains(t.Slots, w.Key) {
			return false
		}
		roomElsewhere = true
	}
	return roomElsewhere
}

// fits tells that the replica can be loaded without unloading another.
func fits(t *Candidate, w Wanted) bool {
	if _, ok := t.State.Replica(w.Key.Base()); w.Key.Adapter != "" && !ok {
		return false
	}
	free, _ := memoryOf(t)
	return w.MemoryBytes <= free
}

func usable(t *Candidate, w Wanted) bool {
	switch {
	case t.Target.Kind == fleet.TargetPlain:
		return false
	case w.Zone != "" && t.Target.Zone != w.Zone:
		return false
	case t.Unreachable, t.Target.Leaving, t.State.Leaving:
		return false
	case t.Target.Service != "" && t.Target.Service != w.Key.Service:
		return false
	case slices.Contains(w.Exclude, t.Target.ID):
		return false
	case slices.Contains(t.Draining, w.Key):
		return false
	case w.BoundOnly && !slices.Contains(t.Slots, w.Key):
		return false
	case w.BaseBoundOnly && !slices.Contains(t.Slots, w.Key.Base()):
		return false
	}
	_, present := t.State.Replica(w.Key)
	return !present
}

// estimate returns the time from the order to a loaded replica, and false
// when the target cannot hold it even after unloading all idle replicas.
func estimate(t *Candidate, w Wanted, c Costs) (time.Duration, bool) {
	need := w.MemoryBytes
	start := loadTime(t, w.Key, w.MemoryBytes, c)
	if w.Key.Adapter != "" {
		if _, ok := t.State.Replica(w.Key.Base()); !ok {
			need += w.BaseMemoryBytes
			start += loadTime(t, w.Key.Base(), w.BaseMemoryBytes, c)
		}
	}
	free, idle := memoryOf(t)
	if need > free+idle {
		return 0, false
	}
	if need > free {
		start += c.Evict
	}
	if !slices.Contains(t.Slots, w.Key) {
		start += c.Bind
	}
	if t.State.MaxRunning > 0 {
		load := float64(t.State.Running+t.State.Waiting) / float64(t.State.MaxRunning)
		start += time.Duration(load * float64(c.FullTarget))
	}
	return start, true
}

func memoryOf(t *Candidate) (free, idle int64) {
	free = t.State.MemoryBytes
	for _, r := range t.State.Replicas {
		free -= r.MemoryBytes
		if r.Phase == fleet.ReplicaLoaded && r.Running == 0 {
			idle += r.MemoryBytes
		}
	}
	return free, idle
}

func loadTime(t *Candidate, k fleet.ReplicaKey, bytes int64, c Costs) time.Duration {
	if k.Adapter != "" {
		return rateTime(bytes, c.MemoryBytesPerSecond)
	}
	switch CacheLevelOf(&t.State, k) {
	case fleet.CacheMemory:
		return rateTime(bytes, c.MemoryBytesPerSecond)
	case fleet.CacheDisk:
		return rateTime(bytes, c.DiskBytesPerSecond)
	case fleet.CacheRemote:
	}
	return rateTime(bytes, c.RemoteBytesPerSecond)
}

func rateTime(bytes, bytesPerSecond int64) time.Duration {
	return time.Duration(float64(bytes) / float64(bytesPerSecond) * float64(time.Second))
}

// CacheLevelOf returns the nearest place from which the target can read the
// checkpoint of a base model.
func CacheLevelOf(s *fleet.TargetState, k fleet.ReplicaKey) fleet.CacheLevel {
	name := CheckpointName(k)
	switch {
	case slices.Contains(s.InMemory, name):
		return fleet.CacheMemory
	case slices.Contains(s.OnDisk, name):
		return fleet.CacheDisk
	}
	return fleet.CacheRemote
}

// CheckpointName returns model[@version].
func CheckpointName(k fleet.ReplicaKey) string {
	if k.Version == "" {
		return k.Model
	}
	return k.Model + "@" + k.Version
}
