package keepalive

import "time"

// coldStartOverhead is added to the scaled load time of each cold start, so that replicas
// that load in milliseconds are not loaded again for every request.
const coldStartOverhead = 50 * time.Millisecond

// Cost describes the cost of a replica while it is idle and of its cold starts.
type Cost struct {
	// IdleWeight is the price of one idle accelerator second, in seconds of
	// cold start.
	IdleWeight float64
	// Accelerators is the number of accelerators that the replica holds. It is
	// a fraction if the replica holds a part of one.
	Accelerators float64
	// LoadTime is the expected time of a load.
	LoadTime time.Duration
	// WaitingRequests is the expected number of requests that wait for a load.
	WaitingRequests float64
}

// Plan says when to unload and load a replica after its last request has ended.
// All times are counted from that end.
type Plan struct {
	// Window is how long the replica stays loaded.
	Window time.Duration
	// LoadAt is when the load ahead of the next request starts; 0 means never.
	LoadAt time.Duration
	// LoadedUntil is when a replica that was loaded ahead is unloaded unless a
	// request has arrived.
	LoadedUntil time.Duration
}

// Decide returns the plan with the least expected cost for one idle gap. The
// distribution of the gap's length is the replica's own histogram blended with
// prior, the histogram of all replicas of the same kind. Without any gap in both,
// the window is o.MinWindow.
//
// The gain of keeping the replica loaded throughout a bucket is the cold start
// avoided by the gaps that end in it, less the price of the idle time of the gaps
// that reach it. The window ends where the sum of the gains from the start of the
// gap is largest. A load ahead covers the later sequence of buckets with the
// largest sum.
func Decide(own, prior *Histogram, cost Cost, o Options) Plan {
	probabilities, ok := bucketProbabilities(own, prior, o.PriorGaps)
	if !ok {
		return Plan{Window: o.MinWindow}
	}
	gains := bucketGains(&probabilities, cost, o.TailLoadTime)
	windowBuckets, gain := bestPrefix(gains[:bucketCount-1])
	plan := Plan{Window: clamp(seconds(bucketStartSeconds[windowBuckets]), o.MinWindow, o.MaxWindow)}
	if !o.LoadAhead {
		return plan
	}
	if ahead, ok := planLoadAhead(&probabilities, &gains, gain, cost, o); ok {
		return ahead
	}
	return plan
}

// bucketGains returns the gain of keeping the replica loaded throughout each
// bucket: the cold start avoided less the price of the idle time, in seconds of
// cold start per gap.
func bucketGains(probabilities *[bucketCount]float64, cost Cost, tailLoadTime time.Duration) [bucketCount]float64 {
	var gains [bucketCount]float64
	coldStartCost := cost.coldStartCost(tailLoadTime)
	idlePrice := cost.IdleWeight * cost.Accelerators
	remaining := 1.0
	for i, p := range probabilities {
		width := bucketStartSeconds[i+1] - bucketStartSeconds[i]
		remaining = remainingShare(remaining, p)
		// Gaps that end in the bucket are idle for half of it on average.
		idleSeconds := width*remaining + width*p/2
		gains[i] = p*coldStartCost - idlePrice*idleSeconds
	}
	return gains
}

// coldStartCost returns the weighted cost of one cold start: the seconds of
// waiting that it causes, scaled by the ratio of the load time to tailLoadTime,
// so that slow loads, which form the tail of the waits, count more.
func (c Cost) coldStartCost(tailLoadTime time.Duration) float64 {
	scaled := c.LoadTime.Seconds() * c.LoadTime.Seconds() / tailLoadTime.Seconds()
	return max(c.WaitingRequests, 1) * (scaled + coldStartOverhead.Seconds())
}

// bestPrefix returns the number of leading buckets whose gains have the largest
// sum, and that sum; both are 0 if no sum is positive.
func bestPrefix(gains []float64) (count int, best float64) {
	sum := 0.0
	for i, g := range gains {
		sum += g
		if sum > best {
			count, best = i+1, sum
		}
	}
	return count, best
}

// planLoadAhead returns the best plan that unloads the replica and loads it ahead
// of the next request, or false if no such plan gains more than minGain. The last
// bucket has no upper bound and is never covered.
func planLoadAhead(probabilities, gains *[bucketCount]float64, minGain float64, cost Cost, o Options) (Plan, bool) {
	loadPrice := cost.IdleWeight * cost.Accelerators * cost.LoadTime.Seconds()
	remaining := 1.0
	var best Plan
	found := false
	windowBuckets, windowGain, prefixGain := 0, 0.0, 0.0
	for loadBucket := range bucketCount - 1 {
		coveredBuckets, coveredGain := bestPrefix(gains[loadBucket : bucketCount-1])
		totalGain := windowGain + coveredGain - loadPrice*remaining
		remaining = remainingShare(remaining, probabilities[loadBucket])
		windowBefore := windowBuckets
		if prefixGain += gains[loadBucket]; prefixGain > windowGain {
			windowBuckets, windowGain = loadBucket+1, prefixGain
		}
		p := Plan{
			Window:      clamp(seconds(bucketStartSeconds[windowBefore]), o.MinWindow, o.MaxWindow),
			LoadAt:      seconds(bucketStartSeconds[loadBucket]) - cost.LoadTime,
			LoadedUntil: seconds(bucketStartSeconds[loadBucket+coveredBuckets]),
		}
		if totalGain > minGain && p.LoadAt > p.Window && coveredBuckets > 0 {
			best, minGain, found = p, totalGain, true
		}
	}
	return best, found
}

// remainingShare returns the share of gaps that outlast a bucket. It is never
// negative, because a negative rounding error would make buckets that no gap
// reaches seem to gain.
func remainingShare(remaining, ended float64) float64 { return max(0, remaining-ended) }

// seconds returns s seconds as a time.Duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func clamp(d, low, high time.Duration) time.Duration {
	return max(low, min(d, high))
}
