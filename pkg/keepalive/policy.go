package keepalive

import (
	"sync"
	"time"
	"unsafe"

	"almondturn/fleet"
)

const (
	// newLoadWeight is the weight of the newest load in the moving averages of
	// the load time and of the number of waiting requests.
	newLoadWeight = 0.3
	// adapterAccelerators is the default number of accelerators that an adapter
	// holds: its memory is a small fraction of an accelerator's.
	adapterAccelerators = 0.005
)

// replicaRecord holds the observations and costs of one replica. Zero costs mean
// the default.
type replicaRecord struct {
	gaps         Histogram
	loadSeconds  float32
	waiting      float32
	accelerators float32
	idleWeight   float32
}

// recordBytes is the size of a replicaRecord without its key.
const recordBytes = int(unsafe.Sizeof(replicaRecord{}))

// Policy records idle gaps and load times of replicas and plans their keep-alive.
// It is safe for concurrent use.
type Policy struct {
	options Options

	mu      sync.Mutex
	records map[fleet.ReplicaKey]*replicaRecord
	// modelGaps and adapterGaps are the gaps of all models and of all adapters.
	modelGaps, adapterGaps Histogram
}

// NewPolicy returns a policy without observations.
func NewPolicy(o Options) *Policy {
	return &Policy{options: o, records: map[fleet.ReplicaKey]*replicaRecord{}}
}

// SetIdleCost sets the number of accelerators that a replica holds and the idle
// weight of its service. Zero means the default.
func (p *Policy) SetIdleCost(key fleet.ReplicaKey, accelerators, idleWeight float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.ensureRecord(key)
	r.accelerators = float32(accelerators)
	r.idleWeight = float32(idleWeight)
}

// ObserveGap records the gap between the end of a replica's last request and the
// next arrival.
func (p *Policy) ObserveGap(key fleet.ReplicaKey, idleGap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ensureRecord(key).gaps.Add(idleGap)
	p.prior(key).Add(idleGap)
}

// ObserveLoad records the expected or measured time of a load, and how many
// requests waited for it.
func (p *Policy) ObserveLoad(key fleet.ReplicaKey, loadTime time.Duration, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.ensureRecord(key)
	r.loadSeconds = movingAverage(r.loadSeconds, float32(loadTime.Seconds()))
	r.waiting = movingAverage(r.waiting, float32(waiting))
}

// Window returns how long the replica stays loaded after its last request. The
// time is not used.
func (p *Policy) Window(key fleet.ReplicaKey, _ time.Time) time.Duration {
	return p.Plan(key).Window
}

// Plan returns the plan for the gap that starts when the replica becomes idle.
func (p *Policy) Plan(key fleet.ReplicaKey) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.records[key]
	if !ok {
		r = &replicaRecord{}
	}
	return Decide(&r.gaps, p.prior(key), p.cost(key, r), p.options)
}

// Retain removes the records of replicas for which configured returns false.
func (p *Policy) Retain(configured func(fleet.ReplicaKey) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.records {
		if !configured(key) {
			delete(p.records, key)
		}
	}
}

// ensureRecord returns the record of a replica and creates it on first use. The
// caller holds p.mu.
func (p *Policy) ensureRecord(key fleet.ReplicaKey) *replicaRecord {
	r, ok := p.records[key]
	if !ok {
		r = &replicaRecord{}
		p.records[key] = r
	}
	return r
}

// prior returns the histogram of all replicas of the same kind, which is adapter
// or model. The caller holds p.mu.
func (p *Policy) prior(key fleet.ReplicaKey) *Histogram {
	if key.Adapter != "" {
		return &p.adapterGaps
	}
	return &p.modelGaps
}

// cost returns the costs of a replica, with the defaults for unknown ones. The
// caller holds p.mu.
func (p *Policy) cost(key fleet.ReplicaKey, r *replicaRecord) Cost {
	c := Cost{
		IdleWeight:      float64(r.idleWeight),
		Accelerators:    float64(r.accelerators),
		LoadTime:        seconds(float64(r.loadSeconds)),
		WaitingRequests: float64(r.waiting),
	}
	if c.IdleWeight == 0 {
		c.IdleWeight = p.options.IdleWeight
	}
	if c.Accelerators == 0 {
		c.Accelerators = defaultAccelerators(key)
	}
	if c.LoadTime == 0 {
		c.LoadTime = p.options.DefaultLoadTime
	}
	return c
}

func defaultAccelerators(key fleet.ReplicaKey) float64 {
	if key.Adapter != "" {
		return adapterAccelerators
	}
	return 1
}

// movingAverage returns the average after a sample. An old average of 0
// counts as none, so that the sample replaces it.
func movingAverage(old, sample float32) float32 {
	if old == 0 {
		return sample
	}
	return old + newLoadWeight*(sample-old)
}
