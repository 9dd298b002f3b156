package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"almondturn/pkg/route"
)

// Sizes of the patterns: one zone of the users' sites.
const (
	patternTargets = 6
	patternModels  = 36
	busyModels     = 2
	patternLength  = 30 * time.Second
	// settleTime is the end of a pattern without arrivals, for the runs.
	settleTime = 15 * time.Second
	// copiesPerModel is the number of targets with a copy on disk.
	copiesPerModel = 2
)

// Rates of the patterns, in requests a second.
const (
	busyRate = 14.0
	rareRate = 3.0
)

// pattern makes the arrivals and faults of a Config.
type pattern struct {
	name string
	make func(c *Config, r *rand.Rand)
}

// patterns are all patterns by name.
var patterns = []pattern{
	{"rare-even", func(c *Config, r *rand.Rand) { c.rare(r, rareRate, 0, patternLength) }},
	{"calm", func(c *Config, r *rand.Rand) {
		c.rare(r, rareRate, 0, patternLength)
		c.busy(r, busyRate, 0, patternLength, 0)
	}},
	{"urgent-burst", func(c *Config, r *rand.Rand) {
		c.rare(r, rareRate, 0, patternLength)
		c.rare(r, rareRate*1.5, 9*time.Second, 15*time.Second)
		c.busy(r, busyRate, 0, patternLength, 0)
	}},
	{"busy-shift", func(c *Config, r *rand.Rand) {
		c.rare(r, rareRate, 0, patternLength)
		for i := range 3 {
			c.busy(r, busyRate, time.Duration(i)*patternLength/3, time.Duration(i+1)*patternLength/3, i*busyModels)
		}
	}},
	{"crashes", func(c *Config, r *rand.Rand) {
		c.rare(r, rareRate, 0, patternLength)
		c.busy(r, busyRate, 0, patternLength, 0)
		for i := range 3 {
			c.Faults = append(c.Faults, Fault{At: time.Duration(5+7*i) * time.Second, For: 2 * time.Second, Target: r.IntN(patternTargets), Kind: Crash})
		}
		c.Faults = append(c.Faults, Fault{At: 12 * time.Second, Target: r.IntN(patternTargets), Kind: Gone})
	}},
	{"late-orders", func(c *Config, r *rand.Rand) {
		c.rare(r, rareRate, 0, patternLength)
		c.busy(r, busyRate, 0, patternLength, 0)
		for i := range patternTargets {
			c.Faults = append(c.Faults, Fault{At: time.Duration(4+r.IntN(15)) * time.Second, For: 4 * time.Second, Target: i, Kind: LostOrders})
		}
	}},
	{"traffic-jump", func(c *Config, r *rand.Rand) {
		c.rare(r, rareRate/2, 0, patternLength)
		c.busy(r, busyRate, 0, 12*time.Second, 0)
		c.busy(r, busyRate*2.5, 12*time.Second, 20*time.Second, 0)
		c.busy(r, busyRate, 20*time.Second, patternLength, 0)
	}},
	// Half of the targets are new and keep no copies, and the weight store
	// carries one load at full speed.
	{"replaced-targets", func(c *Config, r *rand.Rand) {
		c.StoreCarries = 1
		for i := range patternTargets / 2 {
			c.Initial[i], c.OnDisk[i] = nil, nil
		}
		c.rare(r, rareRate, 0, patternLength)
		c.busy(r, busyRate, 0, patternLength, 0)
	}},
	{"cut-off-targets", func(c *Config, r *rand.Rand) {
		c.rare(r, rareRate, 0, patternLength)
		c.busy(r, busyRate, 0, patternLength, 0)
		for i := range 2 {
			c.Faults = append(c.Faults, Fault{At: 8 * time.Second, For: 5 * time.Second, Target: i, Kind: Unreachable})
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

// NewConfig returns the named pattern for a seed.
func NewConfig(name string, seed uint64) (Config, error) {
	i := slices.IndexFunc(patterns, func(p pattern) bool { return p.name == name })
	if i < 0 {
		return Config{}, fmt.Errorf("pattern %q does not exist, want one of %v", name, Patterns())
	}
	c := Config{Name: name, Seed: seed, Length: patternLength + settleTime, Targets: patternTargets, Engine: newEngine()}
	r := rand.New(rand.NewPCG(seed, 2))
	c.place(r)
	patterns[i].make(&c, r)
	slices.SortStableFunc(c.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return c, nil
}

func modelName(i int) string { return fmt.Sprintf("m%02d", i) }

// newEngine returns models of three sizes.
func newEngine() *route.Engine {
	e := &route.Engine{Slots: 32, CacheTokens: 118_000, WeightsMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 6, Models: map[string]*route.Model{}}
	sizes := []struct {
		mb   float64
		disk time.Duration
		mem  time.Duration
	}{{72_700, 840 * time.Millisecond, 400 * time.Millisecond}, {65_500, 760 * time.Millisecond, 380 * time.Millisecond}, {34_300, 400 * time.Millisecond, 280 * time.Millisecond}}
	for i := range patternModels {
		s := sizes[i%len(sizes)]
		e.Models[modelName(i)] = &route.Model{Name: modelName(i), WeightsMB: s.mb, LoadTime: 6 * time.Second, DiskLoadTime: s.disk, MemoryLoadTime: s.mem, AdapterMB: 40}
	}
	return e
}

// place spreads the models over disks and memories.
func (c *Config) place(r *rand.Rand) {
	c.Initial, c.OnDisk = make([][]string, c.Targets), make([][]string, c.Targets)
	for i := range patternModels {
		for range copiesPerModel {
			t := r.IntN(c.Targets)
			if !slices.Contains(c.OnDisk[t], modelName(i)) {
				c.OnDisk[t] = append(c.OnDisk[t], modelName(i))
			}
		}
	}
	for t := range c.Targets {
		used := 0.0
		for _, m := range append([]string{modelName(t % busyModels)}, c.OnDisk[t]...) {
			mb := c.Engine.Models[m].WeightsMB
			if used+mb <= c.Engine.WeightsMB && !slices.Contains(c.Initial[t], m) {
				used += mb
				c.Initial[t] = append(c.Initial[t], m)
			}
		}
	}
}

// rare adds requests spread evenly over the models that are not busy.
func (c *Config) rare(r *rand.Rand, rate float64, from, until time.Duration) {
	c.stream(r, rate, from, until, func() Arrival {
		return Arrival{Model: modelName(busyModels + r.IntN(patternModels-busyModels)), Input: 800, Output: 290, Objective: 2 * time.Second, FirstEventTimeout: 8 * time.Second, Priority: 1}
	})
}

// busy adds requests for the busy models, of which the first is the one given.
func (c *Config) busy(r *rand.Rand, rate float64, from, until time.Duration, first int) {
	c.stream(r, rate, from, until, func() Arrival {
		a := Arrival{Model: modelName(first + r.IntN(busyModels)), Input: 800, Output: 290, Objective: 400 * time.Millisecond, FirstEventTimeout: 2400 * time.Millisecond, Priority: 1}
		if r.IntN(5) == 0 {
			a.Adapter = fmt.Sprintf("a%d", r.IntN(12))
		}
		return a
	})
}

// stream adds arrivals of a Poisson process.
func (c *Config) stream(r *rand.Rand, rate float64, from, until time.Duration, next func() Arrival) {
	for at := from; ; {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return
		}
		a := next()
		a.At = at
		c.Arrivals = append(c.Arrivals, a)
	}
}
