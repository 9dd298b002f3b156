package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// perToken is the time that the targets of these tests take per prompt token.
const perToken = 25 * time.Microsecond

// gapOfTests is the longest pause between events that the requests allow.
const gapOfTests = 300 * time.Millisecond

func (z *zone) prompt(tokens int) Request {
	r := z.request("m0")
	r.InputTokens, r.MaxEventInterval = tokens, gapOfTests
	return r
}

// teach has runs of different prompts show how long a prompt takes to be read.
func (z *zone) teach() {
	for i := range 2 * leastReadings {
		tokens := 200 + 150*(i%5)
		g := one[Grant](z.t, z.submit(z.prompt(tokens)))
		z.now = z.now.Add(20*time.Millisecond + time.Duration(tokens)*perToken)
		z.RunStarted(z.now, g.Run)
		z.RunEnded(z.now, g.Run, Completed)
		z.now = z.now.Add(gapOfTests)
	}
}

func TestReadingTimeIsLearned(t *testing.T) {
	var r readingTime
	for i := range leastReadings - 1 {
		r.learn(100*i, 30*time.Millisecond+time.Duration(100*i)*perToken)
		assert.Zero(t, r.perToken(), "after %d samples", i+1)
	}
	for i := range 50 {
		r.learn(100*i, 30*time.Millisecond+time.Duration(100*i)*perToken)
	}
	assert.InDelta(t, perToken.Seconds(), r.perToken(), 1e-7)
	r.learn(100, 10*time.Second)
	assert.InEpsilon(t, perToken.Seconds(), r.perToken(), 0.1, "one target has stalled")
}

// TestClumpOfPromptsIsPaced answers the pattern of a clump: prompts that come
// together would keep a running stream without an event for too long.
func TestClumpOfPromptsIsPaced(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil))
	z.services[svc].Engine.Slots, z.services[svc].Engine.CacheTokens = 32, 100_000
	z.teach()
	running := one[Grant](t, z.submit(z.prompt(100)))
	z.now = z.now.Add(20*time.Millisecond + 100*perToken)
	z.RunStarted(z.now, running.Run)
	z.now = z.now.Add(gapOfTests)
	const prompts, tokens = 12, 2000
	for range prompts {
		z.Submit(z.now, z.prompt(tokens))
	}
	granted := 0
	var reads []time.Time
	for granted < prompts {
		for _, a := range z.after(10 * time.Millisecond) {
			if _, ok := a.(Grant); ok {
				granted++
				reads = append(reads, z.now)
			}
		}
		inGap := 0
		for _, at := range reads {
			if z.now.Sub(at) < gapOfTests {
				inGap++
			}
		}
		assert.LessOrEqual(t, time.Duration(inGap*tokens)*perToken, gapOfTests*6/10+time.Millisecond)
		if z.now.Sub(start) > time.Minute {
			t.Fatalf("only %d of %d prompts were granted", granted, prompts)
		}
	}
}

// TestReadingTimeFollowsSlowerTargets: all targets read three times as slowly.
func TestReadingTimeFollowsSlowerTargets(t *testing.T) {
	var r readingTime
	for i := range 400 {
		per := perToken
		if i >= 50 {
			per *= 3
		}
		tokens := 200 * (1 + i%7)
		r.learn(tokens, 30*time.Millisecond+time.Duration(tokens)*per)
	}
	assert.InEpsilon(t, 3*perToken.Seconds(), r.perToken(), 0.1)
}

func TestPromptsGoAtOnceWhereNothingRuns(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil))
	z.teach()
	one[Grant](t, z.submit(z.prompt(9000)))
}

func TestWaitForThePacingCountsAsASlowStart(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil))
	z.services[svc].Engine.CacheTokens = 100_000
	z.teach()
	k := modelKey{svc, "m0"}
	before := z.demandOf(k).latency
	one[Grant](t, z.submit(z.prompt(6000)))
	none[Grant](t, z.submit(z.prompt(3000)))
	g := one[Grant](t, z.after(gapOfTests+time.Millisecond))
	z.RunStarted(z.now, g.Run)
	assert.Greater(t, z.demandOf(k).latency, before+latencyStep*gapOfTests.Seconds()/2)
}
