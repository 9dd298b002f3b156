package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"almondturn/pkg/wait"
)

// arrival is one request of a plan. A plan is the list of requests to send, in order
// of time.
type arrival struct {
	at       time.Duration // since the start of the load
	model    string
	urlIndex int // index of the URL that the request is sent to
}

// newPlan returns the arrivals of the shape in order of time, for urlCount URLs.
// Inter-arrival times of the steady and overload shapes are exponentially
// distributed. The same arguments, including the seed, give the same plan.
func newPlan(a *Args, models []string, urlCount int) []arrival {
	rng := rand.New(rand.NewPCG(a.Seed, 0))
	switch a.Shape {
	case ShapeBurst:
		return newBurstPlan(rng, models, urlCount, int(a.Rate))
	case ShapeIdle:
		return newIdlePlan(models, urlCount, a.Duration)
	case ShapeOverload:
		return newOverloadPlan(rng, a, models, urlCount)
	default:
		return newPoissonPlan(rng, models, urlCount, a.Rate, 0, a.Duration)
	}
}

// newPoissonPlan returns the arrivals of a Poisson process that begins at from
// and lasts for length, spread over random models and URLs. rate is in requests
// per second.
func newPoissonPlan(rng *rand.Rand, models []string, urlCount int, rate float64, from, length time.Duration) []arrival {
	var out []arrival
	at := from
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= from+length {
			return out
		}
		out = append(out, arrival{at: at, model: models[rng.IntN(len(models))], urlIndex: rng.IntN(urlCount)})
	}
}

// newBurstPlan returns n concurrent arrivals, spread over the models at random
// and over the URLs in turn.
func newBurstPlan(rng *rand.Rand, models []string, urlCount, n int) []arrival {
	out := make([]arrival, n)
	for i := range out {
		out[i] = arrival{model: models[rng.IntN(len(models))], urlIndex: i % urlCount}
	}
	return out
}

// newIdlePlan returns one arrival per model, at even intervals over length.
func newIdlePlan(models []string, urlCount int, length time.Duration) []arrival {
	out := make([]arrival, len(models))
	for i := range out {
		out[i] = arrival{at: length * time.Duration(i) / time.Duration(len(models)), model: models[i], urlIndex: i % urlCount}
	}
	return out
}

// overloadSteps are the multiples of the rate in the overload shape. Each lasts
// for an equal part of the duration.
var overloadSteps = []float64{1, 2, 3, 5}

// newOverloadPlan returns a Poisson process for each of the overloadSteps.
func newOverloadPlan(rng *rand.Rand, a *Args, models []string, urlCount int) []arrival {
	var out []arrival
	part := a.Duration / time.Duration(len(overloadSteps))
	for i, step := range overloadSteps {
		out = append(out, newPoissonPlan(rng, models, urlCount, a.Rate*step, part*time.Duration(i), part)...)
	}
	return out
}

// runPlan sends the requests of a plan in an open loop: each starts at its time,
// whether or not earlier ones have ended. A request beyond limit concurrent ones
// isn't sent and gets codeDropped. runPlan returns after the last response, with
// one result per request. If ctx ends, it returns the results of the requests that
// were due by then.
func runPlan(ctx context.Context, p []arrival, limit int, sendRequest func(context.Context, arrival) result) []result {
	results := make([]result, len(p))
	slots := make(chan struct{}, limit)
	var wg sync.WaitGroup
	start := time.Now()
	for i, ar := range p {
		if !sleepUntil(ctx, start.Add(ar.at)) {
			results = results[:i] // running requests write below i
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
			results[i] = sendRequest(ctx, ar)
		})
	}
	wg.Wait()
	return results
}

// sleepUntil waits until the time at. It returns false if ctx has ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return wait.Sleep(ctx, d)
}
