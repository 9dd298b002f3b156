package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// prefillPerToken is the prefill time per token of the targets in these tests.
const prefillPerToken = 25 * time.Microsecond

// testEventInterval is the maximum event interval of the requests.
const testEventInterval = 300 * time.Millisecond

// promptRequest returns a request with a prompt of the given length.
func (z *testZone) promptRequest(tokens int) Request {
	r := z.request("m0")
	r.InputTokens, r.MaxEventInterval = tokens, testEventInterval
	return r
}

// trainPrefill completes runs with prompts of different lengths, from which the
// prefill time is estimated.
func (z *testZone) trainPrefill() {
	for i := range 2 * minPrefillSamples {
		tokens := 200 + 150*(i%5)
		g := only[Grant](z.t, z.submitAndStep(z.promptRequest(tokens)))
		z.now = z.now.Add(20*time.Millisecond + time.Duration(tokens)*prefillPerToken)
		z.RunStarted(z.now, g.Run)
		z.RunEnded(z.now, g.Run, Completed)
		z.now = z.now.Add(testEventInterval)
	}
}

// With too few samples there is no estimate, with enough it converges to the
// prefill time per token, and a single sample of a stalled target hardly changes
// it.
func TestPrefillEstimateNeedsMinSamplesAndBoundsOutliers(t *testing.T) {
	var e prefillEstimate
	for i := range minPrefillSamples - 1 {
		e.addSample(100*i, 30*time.Millisecond+time.Duration(100*i)*prefillPerToken)
		assert.Zero(t, e.secondsPerToken(), "after %d samples", i+1)
	}
	for i := range 50 {
		e.addSample(100*i, 30*time.Millisecond+time.Duration(100*i)*prefillPerToken)
	}
	assert.InDelta(t, prefillPerToken.Seconds(), e.secondsPerToken(), 1e-7)
	e.addSample(100, 10*time.Second)
	assert.InEpsilon(t, prefillPerToken.Seconds(), e.secondsPerToken(), 0.1, "the sample of a stalled target is bounded")
}

// Prompts that arrive together would delay the events of a running stream for too
// long if all of them were granted immediately.
func TestSimultaneousPromptsArePaced(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	z.services[testService].Engine.Slots, z.services[testService].Engine.CacheTokens = 32, 100_000
	z.trainPrefill()
	running := only[Grant](t, z.submitAndStep(z.promptRequest(100)))
	z.now = z.now.Add(20*time.Millisecond + 100*prefillPerToken)
	z.RunStarted(z.now, running.Run)
	z.now = z.now.Add(testEventInterval)
	const prompts, tokens = 12, 2000
	for range prompts {
		z.Submit(z.now, z.promptRequest(tokens))
	}
	granted := 0
	var grantTimes []time.Time
	for granted < prompts {
		for _, a := range z.stepAfter(10 * time.Millisecond) {
			if _, ok := a.(Grant); ok {
				granted++
				grantTimes = append(grantTimes, z.now)
			}
		}
		inInterval := 0
		for _, at := range grantTimes {
			if z.now.Sub(at) < testEventInterval {
				inInterval++
			}
		}
		// The factor 6/10 is prefillShare.
		assert.LessOrEqual(t, time.Duration(inInterval*tokens)*prefillPerToken, testEventInterval*6/10+time.Millisecond)
		if z.now.Sub(testStart) > time.Minute {
			t.Fatalf("only %d of %d prompts were granted", granted, prompts)
		}
	}
}

// All targets become three times as slow.
func TestPrefillTimeFollowsSlowerTargets(t *testing.T) {
	var e prefillEstimate
	for i := range 400 {
		per := prefillPerToken
		if i >= 50 {
			per *= 3
		}
		tokens := 200 * (1 + i%7)
		e.addSample(tokens, 30*time.Millisecond+time.Duration(tokens)*per)
	}
	assert.InEpsilon(t, 3*prefillPerToken.Seconds(), e.secondsPerToken(), 0.1)
}

func TestPromptIsGrantedImmediatelyAtIdleTarget(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	z.trainPrefill()
	only[Grant](t, z.submitAndStep(z.promptRequest(9000)))
}

func TestPacingDelayRaisesLatencyRatio(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	z.services[testService].Engine.CacheTokens = 100_000
	z.trainPrefill()
	k := modelKey{testService, "m0"}
	before := z.demandOf(k).latencyRatio
	only[Grant](t, z.submitAndStep(z.promptRequest(6000)))
	assertNone[Grant](t, z.submitAndStep(z.promptRequest(3000)))
	g := only[Grant](t, z.stepAfter(testEventInterval+time.Millisecond))
	z.RunStarted(z.now, g.Run)
	assert.Greater(t, z.demandOf(k).latencyRatio, before+latencySampleWeight*testEventInterval.Seconds()/2)
}

// A busy target: the longer a prompt is, the more prompts that were granted after it
// share the prefill with it.
func TestPrefillEstimateIsBoundedByMedianAtBusyTarget(t *testing.T) {
	var e prefillEstimate
	const fixed = 5 * time.Millisecond
	for i := range 400 {
		tokens := 800 + 1600*(i%3/2) // two short prompts, then a long one
		took := fixed + time.Duration(tokens)*prefillPerToken
		if i%3 == 2 {
			took *= 4
		}
		e.addSample(tokens, took)
	}
	assert.Less(t, e.secondsPerToken(), 1.5*prefillPerToken.Seconds())
}
