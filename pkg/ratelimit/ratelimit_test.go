package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

// sent returns when a bucket that is asked every millisecond gives tokens.
func sent(b *Bucket, d time.Duration) []time.Duration {
	var out []time.Duration
	for at := time.Duration(0); at < d; at += time.Millisecond {
		if b.Take(start.Add(at)) {
			out = append(out, at)
		}
	}
	return out
}

// most returns the greatest number of times within 4 s.
func most(times []time.Duration) int {
	n, first := 0, 0
	for i, at := range times {
		for at-times[first] > 4*time.Second {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// A bucket that began full, or was deeper than a moment's tokens, gave a burst.
func TestBucketKeepsToItsRate(t *testing.T) {
	for _, perSecond := range []float64{0, 0.1, 0.2, 1, 4.7, 30, 200} {
		times := sent(New(start, perSecond), 20*time.Second)
		rate := max(perSecond, minPerSecond)
		assert.InDelta(t, 20*rate, len(times), 1.5, "%g", perSecond)
		assert.LessOrEqual(t, float64(most(times)), 4*rate+max(1, rate/4)+1, "%g", perSecond)
		assert.LessOrEqual(t, most(times), int(1.5*perSecond*4)+5, "%g", perSecond)
	}
}

// An idle bucket saved up tokens for as long as nobody asked.
func TestIdleBucketHoldsFewTokens(t *testing.T) {
	b := New(start, 8)
	at := start.Add(time.Hour)
	assert.True(t, b.Take(at))
	assert.True(t, b.Take(at))
	assert.False(t, b.Take(at))
}

// On paper: an owner that gives the whole limit, and nodes without an owner or one whose
// authority has ended, stay within one and a half times the limit and 5, whatever their
// number, since their first tokens come one after the other.
func TestBucketsBesideEachOtherKeepToTheBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(34, 13))
	for _, nodes := range []int{2, 9, 50, 440} {
		for _, perSecond := range []float64{0, 1, 2, 4.7, 10} {
			without := []*Bucket{New(start, perSecond)}
			for range nodes {
				without = append(without, NewShare(start, perSecond, WithoutOwner/float64(nodes), rng.Float64()))
			}
			lapsed := []*Bucket{New(start, perSecond), NewShare(start, perSecond, WithoutAuthority, 0)}
			for _, buckets := range [][]*Bucket{without, lapsed} {
				assert.LessOrEqual(t, most(sentByAll(buckets)), int(1.5*perSecond*4)+5, "%d nodes, limit %g", nodes, perSecond)
			}
		}
	}
}

// sentByAll returns when buckets that are asked every 5 ms for a minute give tokens.
func sentByAll(buckets []*Bucket) []time.Duration {
	var times []time.Duration
	for at := time.Duration(0); at < time.Minute; at += 5 * time.Millisecond {
		for _, b := range buckets {
			if b.Take(start.Add(at)) {
				times = append(times, at)
			}
		}
	}
	return times
}

func TestReservationsAreServedInTurn(t *testing.T) {
	b := New(start, 2)
	for i := 1; i <= 4; i++ {
		wait, ok := b.Reserve(start, 2*time.Second)
		assert.True(t, ok)
		assert.Equal(t, time.Duration(i)*500*time.Millisecond, wait)
	}
	wait, ok := b.Reserve(start, 2*time.Second)
	assert.False(t, ok)
	assert.Equal(t, 2500*time.Millisecond, wait, "nothing was taken")
	assert.Equal(t, 2500*time.Millisecond, b.Wait(start))
	b.GiveBack(start)
	assert.Equal(t, 2*time.Second, b.Wait(start))
}

// A limit that fell left the tokens of the higher one.
func TestRateMayFallAndRise(t *testing.T) {
	b := New(start, 100)
	at := start.Add(time.Second)
	b.SetRate(at, 1, 1)
	assert.True(t, b.Take(at))
	assert.False(t, b.Take(at), "one token is left of 25")
	b.SetRate(at, 1e6, 1)
	assert.True(t, b.Take(at.Add(time.Millisecond)))
	b.SetRate(at.Add(time.Millisecond), 0, 0.5)
	assert.LessOrEqual(t, b.Wait(at.Add(time.Millisecond)), 10*time.Second, "it is asked now and then")
}

// Rounding made a request come back a moment before its token.
func TestTokenIsThereAfterItsWait(t *testing.T) {
	rng := rand.New(rand.NewPCG(34, 2))
	for range 1000 {
		b := New(start, 0.1+rng.Float64()*50)
		at := start.Add(time.Duration(rng.Int64N(int64(time.Second))))
		at = at.Add(b.Wait(at))
		assert.True(t, b.Take(at))
	}
}

// A limit of 0 sent nothing, so that nothing showed its end.
func TestLimitOfZeroIsAskedNowAndThen(t *testing.T) {
	assert.LessOrEqual(t, New(start, 0).Wait(start), 10*time.Second)
	assert.Less(t, NewShare(start, 0, WithoutOwner/9, 1).Wait(start), maxWait)
}
