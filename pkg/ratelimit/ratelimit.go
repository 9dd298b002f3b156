// Package ratelimit holds the token bucket that keeps requests to a target within the rate
// that the target has named. It reads no clock.
//
// A bucket begins empty, unlike the usual ones: several may stand for one limit, one after
// the other or beside each other, and a full one each would add up to a burst.
package ratelimit

import "time"

// Shares of a limit of those that can't know what others send. With an owner that gives the
// whole limit beside them, the sum stays below one and a half times the limit.
const (
	// WithoutOwner is the share of all nodes together that reach no owner.
	WithoutOwner = 0.25
	// WithoutAuthority is the share of an owner whose authority has ended: another node may
	// own the zone.
	WithoutAuthority = 0.25
)

const (
	// minPerSecond is the least rate of a bucket for a whole limit. Below it nothing would be
	// sent, and nothing would show that the limit has ended.
	minPerSecond = 0.2
	// depthTime is the time whose tokens a bucket holds.
	depthTime = 250 * time.Millisecond
	// maxWait bounds the waits that are returned.
	maxWait = time.Hour
)

// Bucket is a token bucket. One token is one request.
type Bucket struct {
	perSecond float64
	// tokens is as of at, negative if tokens were reserved.
	tokens float64
	at     time.Time
}

// New returns an empty bucket for the whole of a limit of requests per second.
func New(now time.Time, perSecond float64) *Bucket {
	return &Bucket{perSecond: max(perSecond, minPerSecond), at: now}
}

// NewShare returns a bucket for a share of a limit, which has a debt in tokens, from 0 to 1:
// nodes with the same share get their first tokens one after the other if their debts differ.
func NewShare(now time.Time, perSecond, share, debt float64) *Bucket {
	return &Bucket{perSecond: max(perSecond, minPerSecond) * share, tokens: -debt, at: now}
}

// SetRate sets the rate of a bucket for the whole of a limit, or the share of it.
func (b *Bucket) SetRate(now time.Time, perSecond, share float64) {
	b.fill(now)
	b.perSecond = max(perSecond, minPerSecond) * share
	b.tokens = min(b.tokens, b.depth())
}

// depth returns the number of tokens that the bucket holds, at least 1.
func (b *Bucket) depth() float64 { return max(1, b.perSecond*depthTime.Seconds()) }

// fill adds the tokens of the time that has elapsed.
func (b *Bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.tokens+b.perSecond*elapsed.Seconds(), b.depth())
		b.at = now
	}
}

// rounding is what a sum of parts of a token may lack of a whole one.
const rounding = 1e-6

// Wait returns the time until there is a token, 0 if there is one.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.fill(now)
	missing := 1 - b.tokens
	if missing <= rounding {
		return 0
	}
	seconds := missing / b.perSecond
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// Take takes a token, and returns false if there is none.
func (b *Bucket) Take(now time.Time) bool {
	_, ok := b.Reserve(now, 0)
	return ok
}

// Reserve takes a token that there is after the returned time, at most most. It returns the
// time and false, and takes none, if that is later.
func (b *Bucket) Reserve(now time.Time, most time.Duration) (wait time.Duration, ok bool) {
	wait = b.Wait(now)
	if wait > most {
		return wait, false
	}
	b.tokens--
	return wait, true
}

// GiveBack returns a token with which nothing was sent.
func (b *Bucket) GiveBack(now time.Time) {
	b.fill(now)
	b.tokens = min(b.tokens+1, b.depth())
}
