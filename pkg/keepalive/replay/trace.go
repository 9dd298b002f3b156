// Package replay generates request traces of the deployments by seed and
// replays them against keep-alive policies, to compare idle accelerator
// hours with tail cold-start time.
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

// Replica is one model or adapter of a trace.
type Replica struct {
	Key          fleet.ReplicaKey
	Accelerators float64
	LoadTime     time.Duration
	// Requests are in order of arrival.
	Requests []Arrival
}

// Arrival is one request: its time since the trace's midnight of day 0, and
// how long it runs on a loaded replica.
type Arrival struct {
	At      time.Duration
	Running time.Duration
}

// Shape describes a deployment's traffic.
type Shape struct {
	Name     string
	Models   int
	Adapters int
	// HourWeight is the relative rate of wake-ups in each hour of the day.
	HourWeight [24]float64
	// WakeUpsPerDay is the mean number over the models; popularity falls as
	// a power of the rank.
	WakeUpsPerDay float64
	// Skew is the exponent of popularity over rank.
	Skew float64
	// BurstRequests is the mean number of requests of a wake-up, which
	// arrive BurstGap apart on average; the first few arrive together.
	BurstRequests float64
	BurstGap      time.Duration
	// OpeningShare is the share of the models that are wanted within
	// minutes of each opening hour.
	OpeningShare float64
	OpeningHours []float64
	// PeriodicShare is the share of models called by a scheduled job.
	PeriodicShare float64
	// IdleWeight is the deployment's setting of the policy.
	IdleWeight float64
}

const (
	day = 24 * time.Hour
	// meanRunning is the mean time of one request on a loaded replica.
	meanRunning = 4 * time.Second
	// openingSpread is the standard deviation of the first call around an
	// opening hour.
	openingSpread = 6 * time.Minute
	// burstTogether is the number of requests of a wake-up that arrive
	// within togetherWithin at many entry nodes.
	burstTogether  = 3
	togetherWithin = 500 * time.Millisecond
)

// Derwent is the traffic of a volunteer listing service: a broad day with a
// rise before noon and in the evening, and long idle times.
func Derwent() Shape {
	s := Shape{
		Name: "derwent", Models: 105, Adapters: 100, WakeUpsPerDay: 9, Skew: 0.9,
		BurstRequests: 8, BurstGap: 25 * time.Second,
		OpeningShare: 0.35, OpeningHours: []float64{9}, PeriodicShare: 0.1, IdleWeight: 0.18,
	}
	for h := 7; h < 22; h++ {
		s.HourWeight[h] = 1 + 1.5*math.Exp(-sq(float64(h)-11)/4) + math.Exp(-sq(float64(h)-19)/3)
	}
	return s
}

// Rodopi is the traffic of a firm with two shifts and no night crew: steep
// rises as each shift begins.
func Rodopi() Shape {
	s := Shape{
		Name: "rodopi", Models: 95, Adapters: 110, WakeUpsPerDay: 12, Skew: 0.8,
		BurstRequests: 10, BurstGap: 18 * time.Second,
		OpeningShare: 0.6, OpeningHours: []float64{6, 14}, PeriodicShare: 0.08, IdleWeight: 0.16,
	}
	for h := 6; h < 22; h++ {
		s.HourWeight[h] = 1 + 2*math.Exp(-sq(float64(h)-8)/3) + math.Exp(-sq(float64(h)-15)/3)
	}
	return s
}

func sq(x float64) float64 { return x * x }

// Trace is the requests of all replicas, in order of arrival.
type Trace struct {
	Replicas []Replica
	order    []position
}

type position struct {
	replica, arrival int
}

// NewTrace orders the requests of the replicas.
func NewTrace(replicas []Replica) *Trace {
	t := &Trace{Replicas: replicas}
	for i := range replicas {
		for j := range replicas[i].Requests {
			t.order = append(t.order, position{replica: i, arrival: j})
		}
	}
	at := func(p position) time.Duration { return replicas[p.replica].Requests[p.arrival].At }
	slices.SortStableFunc(t.order, func(a, b position) int { return cmp.Compare(at(a), at(b)) })
	return t
}

// Generate returns the trace of a number of days by seed.
func Generate(s Shape, seed uint64, days int) *Trace {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	var out []Replica
	for i := range s.Models + s.Adapters {
		r := newReplica(s, rng, i)
		rank := float64(i%max(s.Models, 1) + 1)
		r.Requests = arrivals(s, rng, s.popularity(rank), days)
		out = append(out, r)
	}
	return NewTrace(out)
}

// popularity returns the wake-ups per day of the model with the given rank.
func (s Shape) popularity(rank float64) float64 {
	sum := 0.0
	for i := 1; i <= s.Models; i++ {
		sum += math.Pow(float64(i), -s.Skew)
	}
	return s.WakeUpsPerDay * float64(s.Models) * math.Pow(rank, -s.Skew) / sum
}

func newReplica(s Shape, rng *rand.Rand, i int) Replica {
	service := fleet.Service(s.Name)
	if i >= s.Models {
		key := fleet.ReplicaKey{Service: service, Model: "base", Adapter: fmt.Sprintf("a%d", i-s.Models)}
		return Replica{Key: key, Accelerators: 0.005, LoadTime: time.Duration(5+5*rng.Float64()) * time.Millisecond}
	}
	// Larger models take longer to load and hold more accelerators.
	size := math.Exp(rng.NormFloat64() * 0.7)
	return Replica{
		Key:          fleet.ReplicaKey{Service: service, Model: fmt.Sprintf("m%d", i)},
		Accelerators: min(4, max(0.25, size/2)),
		LoadTime:     time.Duration(min(90, max(3, 12*size)) * float64(time.Second)),
	}
}

func arrivals(s Shape, rng *rand.Rand, perDay float64, days int) []Arrival {
	var out []Arrival
	opens := rng.Float64() < s.OpeningShare
	periodic := rng.Float64() < s.PeriodicShare
	period := time.Duration(1+rng.IntN(4)) * time.Hour
	for d := range days {
		midnight := time.Duration(d) * day
		for range poisson(rng, perDay) {
			out = burst(out, s, rng, midnight+s.timeOfDay(rng))
		}
		if opens {
			out = openings(out, s, rng, midnight)
		}
		if periodic {
			for at := 6 * time.Hour; at < 22*time.Hour; at += period {
				out = burst(out, s, rng, midnight+at+time.Duration(rng.NormFloat64()*float64(time.Minute)))
			}
		}
	}
	slices.SortFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return out
}

func openings(out []Arrival, s Shape, rng *rand.Rand, midnight time.Duration) []Arrival {
	for _, hour := range s.OpeningHours {
		if rng.Float64() < 0.15 {
			continue
		}
		at := midnight + time.Duration(hour*float64(time.Hour)) + time.Duration(rng.NormFloat64()*float64(openingSpread))
		out = burst(out, s, rng, at)
	}
	return out
}

// timeOfDay draws the time of a wake-up from the hourly weights.
func (s Shape) timeOfDay(rng *rand.Rand) time.Duration {
	sum := 0.0
	for _, w := range s.HourWeight {
		sum += w
	}
	x := rng.Float64() * sum
	for h, w := range s.HourWeight {
		if x < w {
			return time.Duration((float64(h) + x/w) * float64(time.Hour))
		}
		x -= w
	}
	return 12 * time.Hour
}

// burst appends the requests of one wake-up.
func burst(out []Arrival, s Shape, rng *rand.Rand, at time.Duration) []Arrival {
	n := 1 + poisson(rng, rng.ExpFloat64()*(s.BurstRequests-1))
	for i := range n {
		running := time.Duration(rng.ExpFloat64() * float64(meanRunning))
		out = append(out, Arrival{At: max(0, at), Running: running})
		if i < burstTogether {
			at += time.Duration(rng.Float64() * float64(togetherWithin))
			continue
		}
		at += time.Duration(rng.ExpFloat64() * float64(s.BurstGap))
	}
	return out
}

// poisson draws by summing exponential gaps; means here are small.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}
