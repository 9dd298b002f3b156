package trial_test

import (
	"context"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/config"
	"almondturn/pkg/standin/site"
	"almondturn/pkg/trial"
)

// restTime is how long a deployment at rest is observed.
const restTime = 30 * time.Second

// BenchmarkRest measures what whole nodes without requests cost: calls to
// the key-value service, bytes between nodes, processor time and memory. The
// stand-ins' own part of the latter two is included. Run it with
// -benchtime=1x.
func BenchmarkRest(b *testing.B) {
	for _, perZone := range []int{1, 3, 6, 12} {
		b.Run(fmt.Sprintf("nodes=%d", 3*perZone), func(b *testing.B) { benchmarkRest(b, perZone) })
	}
}

func benchmarkRest(b *testing.B, perZone int) {
	b.Helper()
	nodes := float64(3 * perZone)
	ctx, cancel := context.WithTimeout(b.Context(), 5*time.Minute)
	defer cancel()
	memory := memoryInUse()
	t, err := trial.Start(ctx, trial.Options{
		Site: site.Options{
			Zones: []fleet.Zone{"z1", "z2", "z3"}, EnginesPerZone: 7, PlainPerZone: 1, PlainService: "bookings",
		},
		NodesPerZone: perZone,
		Configure:    func(c *config.Config) { c.Log.Level = "error" },
	})
	require.NoError(b, err)
	defer func() { _ = t.Stop(context.WithoutCancel(ctx)) }()
	files, err := examples.Dev()
	require.NoError(b, err)
	require.NoError(b, t.Apply(ctx, files))
	require.NoError(b, t.AwaitServing(ctx, len(files)))
	time.Sleep(15 * time.Second) // joins, first reads and duplicates are over
	for b.Loop() {
		cpu, sent, made, start := cpuTime(b), sentBytes(), t.Site.KV.Calls(), time.Now()
		time.Sleep(restTime)
		seconds := time.Since(start).Seconds()
		b.ReportMetric(float64(sentBytes()-sent)/seconds/nodes, "sentB/s/node")
		b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/seconds/nodes, "%core/node")
		b.ReportMetric(float64(memoryInUse()-memory)/nodes/(1<<20), "MiB/node")
		after := t.Site.KV.Calls()
		total := 0
		for _, method := range slices.Sorted(maps.Keys(after)) {
			calls := after[method] - made[method]
			total += calls
			b.Logf("%s: %.2f calls/s, %d since the start", method, float64(calls)/seconds, after[method])
		}
		b.ReportMetric(float64(total)/seconds, "kvcalls/s")
		b.ReportMetric(float64(t.Site.KV.Watches()), "watches")
	}
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func sentBytes() uint64 {
	return metrics.GetOrCreateCounter(`almondturn_mesh_sent_bytes_total`).Get()
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
