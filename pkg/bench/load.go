package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"almondturn/pkg/wait"
)

// arrival is one request of the plan.
type arrival struct {
	at    time.Duration
	model string
	node  int // index of the way in
}

// plan returns the arrivals of a shape in order. Inter-arrival times are
// exponential, from the seed.
func plan(a *Args, models []string, ways int) []arrival {
	rng := rand.New(rand.NewPCG(a.Seed, 0))
	switch a.Shape {
	case ShapeBurst:
		return burstPlan(rng, models, ways, int(a.Rate))
	case ShapeIdle:
		return idlePlan(models, ways, a.Duration)
	case ShapeOverload:
		return overloadPlan(rng, a, models, ways)
	default:
		return poisson(rng, models, ways, a.Rate, 0, a.Duration)
	}
}

func poisson(rng *rand.Rand, models []string, ways int, rate float64, from, length time.Duration) []arrival {
	var out []arrival
	at := from
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= from+length {
			return out
		}
		out = append(out, arrival{at: at, model: models[rng.IntN(len(models))], node: rng.IntN(ways)})
	}
}

// burstPlan sends n requests at once, spread over models and ways in.
func burstPlan(rng *rand.Rand, models []string, ways, n int) []arrival {
	out := make([]arrival, n)
	for i := range out {
		out[i] = arrival{model: models[rng.IntN(len(models))], node: i % ways}
	}
	return out
}

// idlePlan sends one request to each model, evenly over the duration.
func idlePlan(models []string, ways int, length time.Duration) []arrival {
	out := make([]arrival, len(models))
	for i := range out {
		out[i] = arrival{at: length * time.Duration(i) / time.Duration(len(models)), model: models[i], node: i % ways}
	}
	return out
}

// overloadSteps are the multiples of the rate, each for an equal part.
var overloadSteps = []float64{1, 2, 3, 5}

func overloadPlan(rng *rand.Rand, a *Args, models []string, ways int) []arrival {
	var out []arrival
	part := a.Duration / time.Duration(len(overloadSteps))
	for i, step := range overloadSteps {
		out = append(out, poisson(rng, models, ways, a.Rate*step, part*time.Duration(i), part)...)
	}
	return out
}

// send runs the plan in an open loop: a request starts at its time whether
// or not earlier ones have ended.
func send(ctx context.Context, p []arrival, limit int, one func(context.Context, arrival) result) []result {
	results := make([]result, len(p))
	slots := make(chan struct{}, limit)
	var wg sync.WaitGroup
	start := time.Now()
	for i, ar := range p {
		if !sleepUntil(ctx, start.Add(ar.at)) {
			results = results[:i]
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			results[i] = result{arrival: ar, code: codeDropped}
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i] = one(ctx, ar)
		})
	}
	wg.Wait()
	return results
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return wait.Sleep(ctx, d)
}
