package keepalive

import "time"

// orderOverhead is added to the load time of each cold start, so that
// replicas that load in milliseconds are not loaded for every request.
const orderOverhead = 50 * time.Millisecond

// Cost describes what a replica costs while idle and when it starts cold.
type Cost struct {
	// IdleWeight is the price of one idle accelerator second in seconds of
	// cold start.
	IdleWeight float64
	// Accelerators is the number of accelerators that the replica holds; a
	// share of one counts as a fraction.
	Accelerators float64
	// LoadTime is the expected time of a load.
	LoadTime time.Duration
	// Waiting is the expected number of requests that wait for one load.
	Waiting float64
}

// Plan tells what to do with a replica after its last request has ended.
type Plan struct {
	// Keep is how long the replica stays loaded.
	Keep time.Duration
	// LoadAt is when it is loaded again ahead of its next request, counted
	// from the end of the last request; 0 for never.
	LoadAt time.Duration
	// LoadedUntil is when a replica loaded ahead is unloaded unless a
	// request has come, counted likewise.
	LoadedUntil time.Duration
}

// Decide returns the plan of least expected cost for one idle gap whose
// length is distributed as the own histogram, blended with the prior.
//
// A bucket is worth being loaded through when the cold start avoided by the
// gaps that end in it outweighs the idle time of the gaps that reach it. Keep
// ends where the sum of these gains from the start of the gap is largest;
// the load ahead covers the later run of buckets with the largest sum.
func Decide(own, prior *Histogram, cost Cost, o Options) Plan {
	probabilities, ok := mix(own, prior, o.PriorGaps)
	if !ok {
		return Plan{Keep: o.MinWindow}
	}
	gains := bucketGains(&probabilities, cost, o.TailLoadTime)
	keep, sum := bestPrefix(gains[:bucketCount-1])
	plan := Plan{Keep: clamp(seconds(bucketStart[keep]), o.MinWindow, o.MaxWindow)}
	if !o.LoadAhead {
		return plan
	}
	if ahead, ok := planLoadAhead(&probabilities, &gains, sum, cost, o); ok {
		return ahead
	}
	return plan
}

// bucketGains returns, for each bucket, the cold start avoided less the idle
// time paid when the replica is loaded throughout the bucket, in seconds of
// cold start per gap.
func bucketGains(probabilities *[bucketCount]float64, cost Cost, tail time.Duration) [bucketCount]float64 {
	var gains [bucketCount]float64
	coldSeconds := cost.coldSeconds(tail)
	idlePrice := cost.IdleWeight * cost.Accelerators
	survivors := 1.0
	for i, p := range probabilities {
		width := bucketStart[i+1] - bucketStart[i]
		survivors = remaining(survivors, p)
		idleSeconds := width*survivors + width*p/2
		gains[i] = p*coldSeconds - idlePrice*idleSeconds
	}
	return gains
}

// coldSeconds returns the seconds of waiting that one cold start causes,
// scaled so that the waits that form the tail count more.
func (c Cost) coldSeconds(tail time.Duration) float64 {
	scaled := c.LoadTime.Seconds() * c.LoadTime.Seconds() / tail.Seconds()
	return max(c.Waiting, 1) * (scaled + orderOverhead.Seconds())
}

// bestPrefix returns the number of leading buckets with the largest sum, and
// the sum.
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

// planLoadAhead returns the best plan that unloads the replica and loads it
// again, when its gain exceeds the given one. The last bucket has no upper
// bound and is never covered.
func planLoadAhead(probabilities, gains *[bucketCount]float64, exceed float64, cost Cost, o Options) (Plan, bool) {
	loadPrice := cost.IdleWeight * cost.Accelerators * cost.LoadTime.Seconds()
	survivors := 1.0
	var best Plan
	found := false
	keep, keepSum, sum := 0, 0.0, 0.0
	for a := range bucketCount - 1 {
		run, runSum := bestPrefix(gains[a : bucketCount-1])
		total := keepSum + runSum - loadPrice*survivors
		survivors = remaining(survivors, probabilities[a])
		before := keep
		if sum += gains[a]; sum > keepSum {
			keep, keepSum = a+1, sum
		}
		p := Plan{
			Keep:        clamp(seconds(bucketStart[before]), o.MinWindow, o.MaxWindow),
			LoadAt:      seconds(bucketStart[a]) - cost.LoadTime,
			LoadedUntil: seconds(bucketStart[a+run]),
		}
		if total > exceed && p.LoadAt > p.Keep && run > 0 {
			best, exceed, found = p, total, true
		}
	}
	return best, found
}

// remaining returns the share of gaps that outlast a bucket. Rounding must
// not make it negative: buckets that no gap reaches would seem to gain.
func remaining(survivors, ended float64) float64 { return max(0, survivors-ended) }

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func clamp(d, low, high time.Duration) time.Duration {
	return max(low, min(d, high))
}
