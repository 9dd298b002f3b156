package directory

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkSize reports the memory of a directory and the cost of an update
// that changes the replicas of a target, at three sizes, 13 replicas a target.
func BenchmarkSize(b *testing.B) {
	for _, targets := range []int{375, 750, 1500} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d, _, _ := newDirectory()
			keys := fill(d, targets, 13)
			runtime.GC()
			runtime.ReadMemStats(&after)
			with, without := update("t7", 1, 1, keys[0], keys[1]), update("t7", 1, 1, keys[0])
			sequence := uint64(1)
			b.ResetTimer()
			for b.Loop() {
				sequence++
				u := with
				if sequence%2 == 0 {
					u = without
				}
				u.Sequence = sequence
				d.Apply(u)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<10), "KiB")
			runtime.KeepAlive(d)
		})
	}
}
