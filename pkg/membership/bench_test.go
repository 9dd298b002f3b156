package membership

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/kv"
)

// restTime is how long a fleet at rest is observed.
const restTime = 20 * time.Second

// startFleet runs nodes in three zones and waits until all know each other.
func startFleet(b *testing.B, count int, store *kv.Store) []*liveNode {
	b.Helper()
	vms := &vmList{}
	for i := range 46 {
		vms.vms = append(vms.vms, platform.VM{
			ID: fmt.Sprintf("t%02d", i), Zone: zoneOf(i), Addr: fmt.Sprintf("10.0.1.%d:8080", i), Role: platform.VMTarget,
		})
	}
	var nodes []*liveNode
	var seeds []string
	for i := range count {
		n := startLive(b, fmt.Sprintf("node-%02d", i), zoneOf(i), store, vms, seeds...)
		nodes = append(nodes, n)
		if len(seeds) == 0 {
			seeds = []string{n.addr()}
		}
	}
	require.Eventually(b, func() bool {
		for _, n := range nodes {
			v := n.View()
			if len(v.Live) != count || !v.Member || len(v.Roster) != (count+2-int(zoneIndex(v.Self.Zone)))/3 {
				return false
			}
		}
		return true
	}, 2*time.Minute, 10*time.Millisecond)
	return nodes
}

func zoneOf(i int) fleet.Zone { return fleet.Zone(fmt.Sprintf("z%d", i%3)) }

func zoneIndex(z fleet.Zone) byte { return z[1] - '0' }

func stopFleet(nodes []*liveNode) {
	done := make(chan struct{})
	for _, n := range nodes {
		go func() { n.stop(); done <- struct{}{} }()
	}
	for range nodes {
		<-done
	}
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func sentBytes(nodes []*liveNode) uint64 {
	var sum uint64
	for _, n := range nodes {
		sum += n.mesh.Stats().SentBytes.Load()
	}
	return sum
}

func calls(store *kv.Store) int {
	sum := 0
	for _, n := range store.Calls() {
		sum += n
	}
	return sum
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkRest measures what a fleet without events costs each node. Run it
// with -benchtime=1x.
func BenchmarkRest(b *testing.B) {
	for _, count := range []int{9, 18, 36, 64} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			memory := memoryInUse()
			store := kv.New(platform.SystemClock{})
			nodes := startFleet(b, count, store)
			defer stopFleet(nodes)
			time.Sleep(5 * time.Second) // duplicates retire, watchers settle
			for b.Loop() {
				cpu, sent, made, start := cpuTime(b), sentBytes(nodes), calls(store), time.Now()
				time.Sleep(restTime)
				elapsed := time.Since(start).Seconds()
				perNode := elapsed * float64(count)
				b.ReportMetric(float64(sentBytes(nodes)-sent)/perNode, "sentB/s/node")
				b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/perNode, "%core/node")
				b.ReportMetric(float64(calls(store)-made)/elapsed, "kvcalls/s")
				b.ReportMetric(float64(memoryInUse()-memory)/float64(count)/(1<<10), "KiB/node")
			}
		})
	}
}

// BenchmarkTakeover measures the time from the end of a node until another
// node of its zone has a roster in force without it.
func BenchmarkTakeover(b *testing.B) {
	for _, frozen := range []bool{false, true} {
		name := "process-ended"
		if frozen {
			name = "vm-silent"
		}
		b.Run(name, func(b *testing.B) {
			var total time.Duration
			for b.Loop() {
				total += takeover(b, frozen)
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "s/takeover")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func takeover(b *testing.B, frozen bool) time.Duration {
	b.Helper()
	store := kv.New(platform.SystemClock{})
	nodes := startFleet(b, 9, store)
	victim, survivor := nodes[0], nodes[3]
	start := time.Now()
	if frozen {
		victim.freeze.Store(true)
		defer victim.stop()
	} else {
		victim.stop()
	}
	for {
		v := survivor.View()
		if len(v.Roster) == 2 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	elapsed := time.Since(start)
	stopFleet(nodes[1:])
	return elapsed
}
