package keepalive

import (
	"sync"
	"time"
	"unsafe"

	"almondturn/fleet"
)

const (
	// loadTimeGain is the weight of the newest load in the moving averages
	// of load time and of waiting requests.
	loadTimeGain = 0.3
	// adapterAccelerators is assumed of an adapter, whose memory is a small
	// fraction of an accelerator's.
	adapterAccelerators = 0.005
)

// record is what the policy remembers of one replica.
type record struct {
	gaps         Histogram
	loadSeconds  float32
	waiting      float32
	accelerators float32
	idleWeight   float32
}

// recordBytes is the fixed size of a record, without its key.
const recordBytes = int(unsafe.Sizeof(record{}))

// Policy remembers idle gaps and load times of replicas and plans their
// keep-alive. It is safe for concurrent use; nothing on the path of a
// request calls it.
type Policy struct {
	options Options

	mu      sync.Mutex
	records map[fleet.ReplicaKey]*record
	// models and adapters are the gaps over all replicas of each sort.
	models, adapters Histogram
}

// NewPolicy returns a policy without any observation.
func NewPolicy(o Options) *Policy {
	return &Policy{options: o, records: map[fleet.ReplicaKey]*record{}}
}

// Declare sets a replica's share of accelerators and its service's idle
// weight; zero values take the defaults.
func (p *Policy) Declare(key fleet.ReplicaKey, accelerators, idleWeight float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(key)
	r.accelerators = float32(accelerators)
	r.idleWeight = float32(idleWeight)
}

// Observe records a gap between the end of a replica's last request and the
// next arrival for it.
func (p *Policy) Observe(key fleet.ReplicaKey, idleGap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(key).gaps.Add(idleGap)
	p.prior(key).Add(idleGap)
}

// ObserveLoad records how long a load took and how many requests waited for it.
func (p *Policy) ObserveLoad(key fleet.ReplicaKey, loadTime time.Duration, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(key)
	r.loadSeconds = average(r.loadSeconds, float32(loadTime.Seconds()))
	r.waiting = average(r.waiting, float32(waiting))
}

// Window returns how long the replica stays loaded after its last request.
func (p *Policy) Window(key fleet.ReplicaKey, _ time.Time) time.Duration {
	return p.Plan(key).Keep
}

// Plan returns the plan for the gap that begins when the replica becomes idle.
func (p *Policy) Plan(key fleet.ReplicaKey) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.records[key]
	if !ok {
		r = &record{}
	}
	return Decide(&r.gaps, p.prior(key), p.cost(key, r), p.options)
}

// Retain drops the records of replicas for which declared returns false.
func (p *Policy) Retain(declared func(fleet.ReplicaKey) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.records {
		if !declared(key) {
			delete(p.records, key)
		}
	}
}

func (p *Policy) record(key fleet.ReplicaKey) *record {
	r, ok := p.records[key]
	if !ok {
		r = &record{}
		p.records[key] = r
	}
	return r
}

func (p *Policy) prior(key fleet.ReplicaKey) *Histogram {
	if key.Adapter != "" {
		return &p.adapters
	}
	return &p.models
}

func (p *Policy) cost(key fleet.ReplicaKey, r *record) Cost {
	c := Cost{
		IdleWeight:   float64(r.idleWeight),
		Accelerators: float64(r.accelerators),
		LoadTime:     seconds(float64(r.loadSeconds)),
		Waiting:      float64(r.waiting),
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

func average(old, sample float32) float32 {
	if old == 0 {
		return sample
	}
	return old + loadTimeGain*(sample-old)
}
