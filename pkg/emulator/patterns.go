package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"almondturn/pkg/route"
)

// Sizes of the patterns, which represent one availability zone of a typical
// deployment.
const (
	patternTargets = 6
	patternModels  = 36
	// busyModels is the number of models that are busy at the same time. The
	// other models are rarely used.
	busyModels = 2
	// patternLength is the time with arrivals.
	patternLength = 30 * time.Second
	// cooldownTime follows patternLength without arrivals, to let runs end.
	cooldownTime = 15 * time.Second
	// diskCopiesPerModel is the number of targets with a copy of a model on
	// disk; fewer if the same target is drawn again.
	diskCopiesPerModel = 2
)

// Arrival rates, in requests per second over all models of the kind.
const (
	busyRate = 14.0
	rareRate = 3.0
)

// pattern is a named load with faults. apply adds its arrivals and faults to a
// Config whose models are already placed, and may change the placement.
type pattern struct {
	name  string
	apply func(c *Config, r *rand.Rand)
}

// patterns lists all patterns in the order in which the command prints them.
var patterns = []pattern{
	{"rare-even", func(c *Config, r *rand.Rand) { c.addRareRequests(r, rareRate, 0, patternLength) }},
	{"calm", func(c *Config, r *rand.Rand) {
		c.addRareRequests(r, rareRate, 0, patternLength)
		c.addBusyRequests(r, busyRate, 0, patternLength, 0)
	}},
	// From 9 s to 15 s, requests for rarely used models arrive at 1.5 times rareRate
	// in addition. They have the same priority as all others.
	{"urgent-burst", func(c *Config, r *rand.Rand) {
		c.addRareRequests(r, rareRate, 0, patternLength)
		c.addRareRequests(r, rareRate*1.5, 9*time.Second, 15*time.Second)
		c.addBusyRequests(r, busyRate, 0, patternLength, 0)
	}},
	{"busy-shift", func(c *Config, r *rand.Rand) {
		c.addRareRequests(r, rareRate, 0, patternLength)
		for i := range 3 {
			c.addBusyRequests(r, busyRate, time.Duration(i)*patternLength/3, time.Duration(i+1)*patternLength/3, i*busyModels)
		}
	}},
	{"crashes", func(c *Config, r *rand.Rand) {
		c.addRareRequests(r, rareRate, 0, patternLength)
		c.addBusyRequests(r, busyRate, 0, patternLength, 0)
		for i := range 3 {
			c.Faults = append(c.Faults, Fault{At: time.Duration(5+7*i) * time.Second, Duration: 2 * time.Second, Target: r.IntN(patternTargets), Kind: Crash})
		}
		c.Faults = append(c.Faults, Fault{At: 12 * time.Second, Target: r.IntN(patternTargets), Kind: Removal})
	}},
	{"late-orders", func(c *Config, r *rand.Rand) {
		c.addRareRequests(r, rareRate, 0, patternLength)
		c.addBusyRequests(r, busyRate, 0, patternLength, 0)
		for i := range patternTargets {
			c.Faults = append(c.Faults, Fault{At: time.Duration(4+r.IntN(15)) * time.Second, Duration: 4 * time.Second, Target: i, Kind: OrderTimeouts})
		}
	}},
	{"traffic-jump", func(c *Config, r *rand.Rand) {
		c.addRareRequests(r, rareRate/2, 0, patternLength)
		c.addBusyRequests(r, busyRate, 0, 12*time.Second, 0)
		c.addBusyRequests(r, busyRate*2.5, 12*time.Second, 20*time.Second, 0)
		c.addBusyRequests(r, busyRate, 20*time.Second, patternLength, 0)
	}},
	// Half of the targets are new and have no copies of weights, and the weight
	// store can serve only one load at full speed.
	{"replaced-targets", func(c *Config, r *rand.Rand) {
		c.FullSpeedStoreLoads = 1
		for i := range patternTargets / 2 {
			c.InitialModels[i], c.OnDisk[i] = nil, nil
		}
		c.addRareRequests(r, rareRate, 0, patternLength)
		c.addBusyRequests(r, busyRate, 0, patternLength, 0)
	}},
	{"cut-off-targets", func(c *Config, r *rand.Rand) {
		c.addRareRequests(r, rareRate, 0, patternLength)
		c.addBusyRequests(r, busyRate, 0, patternLength, 0)
		for i := range 2 {
			c.Faults = append(c.Faults, Fault{At: 8 * time.Second, Duration: 5 * time.Second, Target: i, Kind: Unreachable})
		}
	}},
	// From 5 s on, one of the rare models crashes each target that loads it.
	{"deadly-loads", func(c *Config, r *rand.Rand) {
		c.addRareRequests(r, rareRate, 0, patternLength)
		c.addBusyRequests(r, busyRate, 0, patternLength, 0)
		c.addDeadlyModel(r, 2, 5*time.Second, patternLength)
	}},
	// A third of the targets take about a quarter of the requests that they usually get.
	{"named-limits", func(c *Config, r *rand.Rand) {
		c.addRareRequests(r, rareRate, 0, patternLength)
		c.addBusyRequests(r, busyRate, 0, patternLength, 0)
		for i := range patternTargets / 3 {
			c.Faults = append(c.Faults, Fault{At: 8 * time.Second, Duration: 14 * time.Second, Target: i, Kind: Limited, PerSecond: 0.7})
		}
	}},
}

// Patterns returns the names of all patterns.
func Patterns() []string {
	out := make([]string, len(patterns))
	for i, p := range patterns {
		out[i] = p.name
	}
	return out
}

// NewConfig returns the configuration of the named pattern for a seed. The same
// seed gives the same configuration, from another random stream than that of Run.
// It returns an error if no such pattern exists.
func NewConfig(name string, seed uint64) (Config, error) {
	i := slices.IndexFunc(patterns, func(p pattern) bool { return p.name == name })
	if i < 0 {
		return Config{}, fmt.Errorf("pattern %q does not exist, want one of %v", name, Patterns())
	}
	c := Config{Name: name, Seed: seed, MaxDuration: patternLength + cooldownTime, Targets: patternTargets, EngineSettings: newEngineSettings()}
	r := rand.New(rand.NewPCG(seed, 2))
	c.placeModels(r)
	patterns[i].apply(&c, r)
	slices.SortStableFunc(c.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return c, nil
}

// modelName returns the name of the i-th model.
func modelName(i int) string { return fmt.Sprintf("m%02d", i) }

// newEngineSettings returns the settings of an engine and its models, which have
// three sizes.
func newEngineSettings() *route.Engine {
	e := &route.Engine{Slots: 32, CacheTokens: 118_000, WeightsMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 6, Models: map[string]*route.Model{}}
	sizes := []struct {
		weightsMB      float64
		diskLoadTime   time.Duration
		memoryLoadTime time.Duration
	}{{72_700, 840 * time.Millisecond, 400 * time.Millisecond}, {65_500, 760 * time.Millisecond, 380 * time.Millisecond}, {34_300, 400 * time.Millisecond, 280 * time.Millisecond}}
	for i := range patternModels {
		s := sizes[i%len(sizes)]
		e.Models[modelName(i)] = &route.Model{Name: modelName(i), WeightsMB: s.weightsMB, WeightStoreLoadTime: 6 * time.Second, DiskLoadTime: s.diskLoadTime, MemoryLoadTime: s.memoryLoadTime, AdapterMB: 40}
	}
	return e
}

// placeModels puts copies of each model on the disks of random targets. It then
// loads one busy model at each target, and those on its disk that still fit.
func (c *Config) placeModels(r *rand.Rand) {
	c.InitialModels, c.OnDisk = make([][]string, c.Targets), make([][]string, c.Targets)
	for i := range patternModels {
		for range diskCopiesPerModel {
			t := r.IntN(c.Targets)
			if !slices.Contains(c.OnDisk[t], modelName(i)) {
				c.OnDisk[t] = append(c.OnDisk[t], modelName(i))
			}
		}
	}
	for t := range c.Targets {
		usedMB := 0.0
		for _, m := range append([]string{modelName(t % busyModels)}, c.OnDisk[t]...) {
			mb := c.EngineSettings.Models[m].WeightsMB
			if usedMB+mb <= c.EngineSettings.WeightsMB && !slices.Contains(c.InitialModels[t], m) {
				usedMB += mb
				c.InitialModels[t] = append(c.InitialModels[t], m)
			}
		}
	}
}

// addRareRequests adds requests between from and until, for models drawn uniformly
// at random from all except the first busyModels. rate is in requests per second.
func (c *Config) addRareRequests(r *rand.Rand, rate float64, from, until time.Duration) {
	c.addPoissonArrivals(r, rate, from, until, func() Arrival {
		return Arrival{Model: modelName(busyModels + r.IntN(patternModels-busyModels)), InputTokens: 800, OutputTokens: 290, LatencyObjective: 2 * time.Second, FirstEventTimeout: 8 * time.Second, Priority: 1}
	})
}

// addBusyRequests adds requests between from and until for the busyModels models
// from index firstModel on. rate is in requests per second. A fifth of the
// requests need an adapter.
func (c *Config) addBusyRequests(r *rand.Rand, rate float64, from, until time.Duration, firstModel int) {
	c.addPoissonArrivals(r, rate, from, until, func() Arrival {
		a := Arrival{Model: modelName(firstModel + r.IntN(busyModels)), InputTokens: 800, OutputTokens: 290, LatencyObjective: 400 * time.Millisecond, FirstEventTimeout: 2400 * time.Millisecond, Priority: 1}
		if r.IntN(5) == 0 {
			a.Adapter = fmt.Sprintf("a%d", r.IntN(12))
		}
		return a
	})
}

// addDeadlyModel adds requests between from and until for a model that crashes each target
// which loads it, and of which each target has a copy on disk. rate is in requests per
// second.
func (c *Config) addDeadlyModel(r *rand.Rand, rate float64, from, until time.Duration) {
	model := modelName(patternModels)
	m := *c.EngineSettings.Models[modelName(patternModels-1)]
	m.Name = model
	c.EngineSettings.Models[model] = &m
	c.DeadlyModels = append(c.DeadlyModels, model)
	for i := range c.OnDisk {
		c.OnDisk[i] = append(c.OnDisk[i], model)
	}
	c.addPoissonArrivals(r, rate, from, until, func() Arrival {
		return Arrival{Model: model, InputTokens: 800, OutputTokens: 290, LatencyObjective: 2 * time.Second, FirstEventTimeout: 8 * time.Second, Priority: 1}
	})
}

// addPoissonArrivals adds the arrivals of a Poisson process between from and
// until. rate is in requests per second; newArrival returns a request, whose
// time is set here.
func (c *Config) addPoissonArrivals(r *rand.Rand, rate float64, from, until time.Duration, newArrival func() Arrival) {
	for at := from; ; {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return
		}
		a := newArrival()
		a.At = at
		c.Arrivals = append(c.Arrivals, a)
	}
}
