package keepalive

import (
	"math"
	"time"
)

const (
	// bucketCount buckets reach from one second to about three days.
	bucketCount = 37
	// bucketsPerDoubling sets the width of a bucket: a factor of sqrt(2).
	bucketsPerDoubling = 2
	// decayAt halves all counts of a histogram once their sum reaches it,
	// so that old gaps lose weight.
	decayAt = 400
)

// Histogram counts idle gaps in buckets of exponentially growing width. The
// last bucket holds all longer gaps. It takes a fixed 76 bytes.
type Histogram struct {
	counts [bucketCount]uint16
	total  uint16
}

// Add counts one gap.
func (h *Histogram) Add(gap time.Duration) {
	if h.total >= decayAt {
		h.halve()
	}
	h.counts[bucketOf(gap)]++
	h.total++
}

// Total returns the decayed number of gaps counted.
func (h *Histogram) Total() int { return int(h.total) }

func (h *Histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// bucketOf returns the bucket of a gap: bucket 0 holds gaps below a second.
func bucketOf(gap time.Duration) int {
	if gap < time.Second {
		return 0
	}
	i := 1 + int(bucketsPerDoubling*math.Log2(gap.Seconds()))
	return min(i, bucketCount-1)
}

// bucketStart holds the lower bound of each bucket in seconds.
var bucketStart = func() [bucketCount + 1]float64 {
	var out [bucketCount + 1]float64
	for i := 1; i <= bucketCount; i++ {
		out[i] = math.Exp2(float64(i-1) / bucketsPerDoubling)
	}
	return out
}()

// mix returns the probability of each bucket: own counts plus prior counts
// scaled to the weight of priorGaps gaps. It returns false without any gap.
func mix(own, prior *Histogram, priorGaps float64) ([bucketCount]float64, bool) {
	var out [bucketCount]float64
	scale := 0.0
	if prior.total > 0 {
		scale = priorGaps / float64(prior.total)
	}
	sum := float64(own.total) + scale*float64(prior.total)
	if sum == 0 {
		return out, false
	}
	for i := range out {
		out[i] = (float64(own.counts[i]) + scale*float64(prior.counts[i])) / sum
	}
	return out, true
}
