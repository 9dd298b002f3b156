package keepalive

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of buckets. The first is for gaps below a second,
	// the last for those of about two days and more.
	bucketCount = 37
	// bucketsPerDoubling sets the width of a bucket, a factor of sqrt(2).
	bucketsPerDoubling = 2
	// halvingThreshold is the number of gaps at which all counts of a histogram
	// are halved, so that old gaps lose weight.
	halvingThreshold = 400
)

// Histogram counts idle gaps in buckets of exponentially growing width. The last
// bucket has no upper bound. A histogram takes 76 bytes.
type Histogram struct {
	counts [bucketCount]uint16
	total  uint16
}

// Add counts one gap.
func (h *Histogram) Add(gap time.Duration) {
	if h.total >= halvingThreshold {
		h.halve()
	}
	h.counts[bucketOf(gap)]++
	h.total++
}

// Total returns the number of gaps counted, as reduced by the halvings.
func (h *Histogram) Total() int { return int(h.total) }

// halve halves all counts.
func (h *Histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// bucketOf returns the bucket of a gap. Bucket 0 is for gaps below a second.
func bucketOf(gap time.Duration) int {
	if gap < time.Second {
		return 0
	}
	i := 1 + int(bucketsPerDoubling*math.Log2(gap.Seconds()))
	return min(i, bucketCount-1)
}

// bucketStartSeconds holds the lower bound of each bucket in seconds, and as its
// last entry a nominal upper bound of the last bucket, which has none.
var bucketStartSeconds = func() [bucketCount + 1]float64 {
	var out [bucketCount + 1]float64
	for i := 1; i <= bucketCount; i++ {
		out[i] = math.Exp2(float64(i-1) / bucketsPerDoubling)
	}
	return out
}()

// bucketProbabilities returns the probability of each bucket: the own counts plus
// the prior counts scaled to a total of priorGaps gaps. It returns false if both
// histograms are empty.
func bucketProbabilities(own, prior *Histogram, priorGaps float64) ([bucketCount]float64, bool) {
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
