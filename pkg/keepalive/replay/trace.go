// Package replay generates request traces of the deployments from seeds and
// replays them against keep-alive policies, to compare idle accelerator hours
// with the tail of the cold-start times.
package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"almondturn/fleet"
)

// Replica is one model or adapter of a trace. Accelerators is the number that it
// holds while loaded, which may be a fraction.
type Replica struct {
	Key          fleet.ReplicaKey
	Accelerators float64
	LoadTime     time.Duration
	// Requests are sorted by arrival time.
	Requests []Request
}

// Request is one request. At is its arrival time since midnight of the trace's
// day 0; RunTime is how long it runs on a loaded replica.
type Request struct {
	At      time.Duration
	RunTime time.Duration
}

// Shape describes the traffic of a deployment. A burst is a group of requests for
// one model that ends an idle gap.
type Shape struct {
	Name     string
	Models   int
	Adapters int
	// HourWeights are the relative rates of bursts in each hour of the day.
	HourWeights [24]float64
	// BurstsPerDay is the mean number of bursts per model. The number for one
	// model falls as a power of its popularity rank; an adapter has the number
	// of the model of the same rank.
	BurstsPerDay float64
	// PopularityExponent is the exponent of that power.
	PopularityExponent float64
	// BurstRequests is the mean number of requests of a burst, which arrive
	// BurstInterval apart on average except for the first burstStartRequests.
	BurstRequests float64
	BurstInterval time.Duration
	// OpeningShare is the share of models that get a burst within minutes of
	// each opening hour.
	OpeningShare float64
	OpeningHours []float64
	// PeriodicShare is the share of models and adapters called by a scheduled
	// job. It runs every 1 to 4 hours from 6:00 until before 22:00, with a
	// standard deviation of one minute.
	PeriodicShare float64
	// IdleWeight is the deployment's setting of the keep-alive policy.
	IdleWeight float64
}

const (
	day = 24 * time.Hour
	// meanRunTime is the mean time of one request on a loaded replica.
	meanRunTime = 4 * time.Second
	// openingStdDev is the standard deviation of the time of the burst around an
	// opening hour.
	openingStdDev = 6 * time.Minute
	// burstStartRequests is the number of requests at the start of a burst that
	// arrive at most maxBurstStartInterval apart, as if sent through
	// several entry nodes at once.
	burstStartRequests    = 3
	maxBurstStartInterval = 500 * time.Millisecond
)

// Derwent returns the traffic of a volunteer listing service: a long day with
// peaks before noon and in the evening, and long idle times.
func Derwent() Shape {
	s := Shape{
		Name: "derwent", Models: 105, Adapters: 100, BurstsPerDay: 9, PopularityExponent: 0.9,
		BurstRequests: 8, BurstInterval: 25 * time.Second,
		OpeningShare: 0.35, OpeningHours: []float64{9}, PeriodicShare: 0.1, IdleWeight: 0.18,
	}
	for h := 7; h < 22; h++ {
		s.HourWeights[h] = 1 + 1.5*math.Exp(-square(float64(h)-11)/4) + math.Exp(-square(float64(h)-19)/3)
	}
	return s
}

// Rodopi returns the traffic of a company with two shifts and none at night: a
// steep rise at the start of each shift.
func Rodopi() Shape {
	s := Shape{
		Name: "rodopi", Models: 95, Adapters: 110, BurstsPerDay: 12, PopularityExponent: 0.8,
		BurstRequests: 10, BurstInterval: 18 * time.Second,
		OpeningShare: 0.6, OpeningHours: []float64{6, 14}, PeriodicShare: 0.08, IdleWeight: 0.16,
	}
	for h := 6; h < 22; h++ {
		s.HourWeights[h] = 1 + 2*math.Exp(-square(float64(h)-8)/3) + math.Exp(-square(float64(h)-15)/3)
	}
	return s
}

func square(x float64) float64 { return x * x }

// Trace holds the requests of all replicas; requests are sorted by arrival time.
type Trace struct {
	Replicas []Replica
	requests []requestRef
}

// requestRef holds the indexes of a replica and of one of its requests.
type requestRef struct {
	replica, request int
}

// NewTrace returns the trace of the replicas' requests.
func NewTrace(replicas []Replica) *Trace {
	t := &Trace{Replicas: replicas}
	for i := range replicas {
		for j := range replicas[i].Requests {
			t.requests = append(t.requests, requestRef{replica: i, request: j})
		}
	}
	at := func(p requestRef) time.Duration { return replicas[p.replica].Requests[p.request].At }
	slices.SortStableFunc(t.requests, func(a, b requestRef) int { return cmp.Compare(at(a), at(b)) })
	return t
}

// Generate returns a trace of the given number of days. Equal seeds give equal
// traces.
func Generate(s Shape, seed uint64, days int) *Trace {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	var out []Replica
	for i := range s.Models + s.Adapters {
		r := generateReplica(s, rng, i)
		rank := float64(i%max(s.Models, 1) + 1)
		r.Requests = generateRequests(s, rng, s.burstsPerDayOfRank(rank), days)
		out = append(out, r)
	}
	return NewTrace(out)
}

// burstsPerDayOfRank returns the bursts per day of the model with the given
// popularity rank; rank 1 is the most popular.
func (s Shape) burstsPerDayOfRank(rank float64) float64 {
	sum := 0.0
	for i := 1; i <= s.Models; i++ {
		sum += math.Pow(float64(i), -s.PopularityExponent)
	}
	return s.BurstsPerDay * float64(s.Models) * math.Pow(rank, -s.PopularityExponent) / sum
}

// generateReplica returns the replica with index i without requests. Indexes from
// s.Models on are adapters.
func generateReplica(s Shape, rng *rand.Rand, i int) Replica {
	service := fleet.Service(s.Name)
	if i >= s.Models {
		key := fleet.ReplicaKey{Service: service, Model: "base", Adapter: fmt.Sprintf("a%d", i-s.Models)}
		// The accelerators are the default of package keepalive for adapters; the
		// load takes 5 to 10 ms.
		return Replica{Key: key, Accelerators: 0.005, LoadTime: time.Duration(5+5*rng.Float64()) * time.Millisecond}
	}
	// Larger models take longer to load and hold more accelerators. A model of
	// size 1 loads in 12 s and holds half an accelerator; load times are between 3
	// and 90 s, and accelerators between 0.25 and 4. The sizes have a log-normal
	// distribution with a standard deviation of 0.7 of the logarithm.
	size := math.Exp(rng.NormFloat64() * 0.7)
	return Replica{
		Key:          fleet.ReplicaKey{Service: service, Model: fmt.Sprintf("m%d", i)},
		Accelerators: min(4, max(0.25, size/2)),
		LoadTime:     time.Duration(min(90, max(3, 12*size)) * float64(time.Second)),
	}
}

// generateRequests returns the requests of one replica sorted by arrival time,
// given its mean number of bursts per day.
func generateRequests(s Shape, rng *rand.Rand, perDay float64, days int) []Request {
	var out []Request
	hasOpeningBursts := rng.Float64() < s.OpeningShare
	periodic := rng.Float64() < s.PeriodicShare
	period := time.Duration(1+rng.IntN(4)) * time.Hour
	for d := range days {
		midnight := time.Duration(d) * day
		for range drawPoisson(rng, perDay) {
			out = appendBurst(out, s, rng, midnight+s.timeOfDay(rng))
		}
		if hasOpeningBursts {
			out = appendOpeningBursts(out, s, rng, midnight)
		}
		if periodic {
			for at := 6 * time.Hour; at < 22*time.Hour; at += period {
				out = appendBurst(out, s, rng, midnight+at+time.Duration(rng.NormFloat64()*float64(time.Minute)))
			}
		}
	}
	slices.SortFunc(out, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return out
}

// appendOpeningBursts appends the requests of the bursts around the opening hours
// of one day. A burst is left out with a probability of 0.15.
func appendOpeningBursts(out []Request, s Shape, rng *rand.Rand, midnight time.Duration) []Request {
	for _, hour := range s.OpeningHours {
		if rng.Float64() < 0.15 {
			continue
		}
		at := midnight + time.Duration(hour*float64(time.Hour)) + time.Duration(rng.NormFloat64()*float64(openingStdDev))
		out = appendBurst(out, s, rng, at)
	}
	return out
}

// timeOfDay draws the time of a burst from the weights of the hours.
func (s Shape) timeOfDay(rng *rand.Rand) time.Duration {
	sum := 0.0
	for _, w := range s.HourWeights {
		sum += w
	}
	x := rng.Float64() * sum
	for h, w := range s.HourWeights {
		if x < w {
			return time.Duration((float64(h) + x/w) * float64(time.Hour))
		}
		x -= w
	}
	return 12 * time.Hour // only by rounding
}

// appendBurst appends the requests of one burst.
func appendBurst(out []Request, s Shape, rng *rand.Rand, at time.Duration) []Request {
	n := 1 + drawPoisson(rng, rng.ExpFloat64()*(s.BurstRequests-1))
	for i := range n {
		runTime := time.Duration(rng.ExpFloat64() * float64(meanRunTime))
		out = append(out, Request{At: max(0, at), RunTime: runTime})
		if i < burstStartRequests {
			at += time.Duration(rng.Float64() * float64(maxBurstStartInterval))
			continue
		}
		at += time.Duration(rng.ExpFloat64() * float64(s.BurstInterval))
	}
	return out
}

// drawPoisson draws from a Poisson distribution by summing exponential intervals,
// which is fast enough for small means.
func drawPoisson(rng *rand.Rand, mean float64) int {
	n := 0
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}
