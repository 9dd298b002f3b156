package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/kv"
	"almondturn/wire"
)

// sizes are the models and adapters of the measurements.
var sizes = []struct{ models, adapters int }{{40, 5000}, {80, 10000}, {160, 20000}}

func benchSizes(b *testing.B, run func(b *testing.B, spec *TeamSpec)) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("models=%d/adapters=%d", s.models, s.adapters), func(b *testing.B) {
			run(b, bigTeam(s.models, s.adapters))
		})
	}
}

// BenchmarkRebuild measures the swap of a snapshot after one team changed.
func BenchmarkRebuild(b *testing.B) {
	benchSizes(b, func(b *testing.B, spec *TeamSpec) {
		snap := Build([]*TeamSpec{spec, devTeam(b, "listings")}, map[fleet.Team]platform.Revision{"big": 1, "listings": 1})
		small := devTeam(b, "listings")
		b.Run("big", func(b *testing.B) {
			for b.Loop() {
				snap = snap.With(spec, 2)
			}
		})
		b.Run("small", func(b *testing.B) {
			for b.Loop() {
				snap = snap.With(small, 2)
			}
		})
	})
}

// BenchmarkDecode measures what a node does with a new head before the swap.
func BenchmarkDecode(b *testing.B) {
	benchSizes(b, func(b *testing.B, spec *TeamSpec) {
		chunks, err := encodeTeam(spec)
		require.NoError(b, err)
		data := dataOf(chunks)
		for b.Loop() {
			_, err := decodeTeam(data)
			require.NoError(b, err)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	benchSizes(b, func(b *testing.B, spec *TeamSpec) {
		text, err := FormatTeam(spec)
		require.NoError(b, err)
		for b.Loop() {
			_, err := ParseTeam("big.yaml", text)
			require.NoError(b, err)
		}
	})
}

func BenchmarkParseJSON(b *testing.B) {
	benchSizes(b, func(b *testing.B, spec *TeamSpec) {
		text, err := json.Marshal(spec)
		require.NoError(b, err)
		for b.Loop() {
			_, err := ParseTeamJSON(text)
			require.NoError(b, err)
		}
	})
}

func BenchmarkLookup(b *testing.B) {
	snap := empty.With(bigTeam(160, 20000), 1)
	for b.Loop() {
		if _, err := snap.Resolve("big", "model-007@1+adapter-00007"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdleStep measures one look at what is due, at 440 nodes; a node
// takes ten a second.
func BenchmarkIdleStep(b *testing.B) {
	c := newCluster(b, 5, 88)
	view := c.viewOf(c.nodes[0])
	s := c.nodes[0].service
	s.view = func() *peer.View { return view }
	s.StepPlatform(context.Background())
	for b.Loop() {
		s.StepPlatform(context.Background())
	}
}

// TestMeasureMemory prints the memory of one node's catalog service. Run it
// with ALMONDTURN_MEASURE=1.
func TestMeasureMemory(t *testing.T) {
	if os.Getenv("ALMONDTURN_MEASURE") == "" {
		t.Skip("a measurement; set ALMONDTURN_MEASURE=1")
	}
	for _, size := range sizes {
		store := kv.New(platform.SystemClock{})
		spec := bigTeam(size.models, size.adapters)
		done := mustApply(t, newTestRepository(store), spec, 0)
		before := heapBytes()
		c := newCluster(t, 1, 1)
		s := c.nodes[0].service
		require.NoError(t, s.install(done.Head, done.Value, cloneChunks(done.Chunks)))
		after := heapBytes()
		t.Logf("models=%d adapters=%d chunks=%d heap=%.1f MB", size.models, size.adapters, len(done.Chunks), float64(after-before)/1e6)
		runtime.KeepAlive(s)
	}
}

func cloneChunks(chunks []Chunk) map[Digest][]byte {
	out := map[Digest][]byte{}
	for _, c := range chunks {
		out[c.Digest] = slices.Clone(c.Data)
	}
	return out
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestMeasureChangeBytes prints the bytes between nodes for one changed
// adapter, and those at rest. Run it with ALMONDTURN_MEASURE=1.
func TestMeasureChangeBytes(t *testing.T) {
	if os.Getenv("ALMONDTURN_MEASURE") == "" {
		t.Skip("a measurement; set ALMONDTURN_MEASURE=1")
	}
	for _, size := range sizes {
		c := started(t)
		spec := bigTeam(size.models, size.adapters)
		c.mustApply(0, spec, 0)
		c.settle(agreeBound)
		for i := range uint64(20) {
			spec = bigTeam(size.models, size.adapters)
			spec.Services[0].Models[3].Adapters[5].MaxReplicas = int(i) + 10
			c.bytes = 0
			calls := total(c.store.Calls())
			c.mustApply(0, spec, i+1)
			if i == 19 {
				t.Logf("models=%d adapters=%d: change %d bytes to each of 8 peers, %d calls to the service", size.models, size.adapters, c.bytes/8, total(c.store.Calls())-calls)
			}
		}
		c.bytes = 0
		calls := total(c.store.Calls())
		c.run(60 * time.Second)
		t.Logf("at rest: %.1f bytes a second a node, %.2f calls a second to the service besides %d waiting watches", float64(c.bytes)/60/9, float64(total(c.store.Calls())-calls)/60, 6)
	}
}

func total(calls map[string]int) int {
	n := 0
	for _, c := range calls {
		n += c
	}
	return n
}

// TestMeasureInForce prints the time from accepted to in force on all nodes,
// with running loops and a delay on each message. Run it with
// ALMONDTURN_MEASURE=1.
func TestMeasureInForce(t *testing.T) {
	if os.Getenv("ALMONDTURN_MEASURE") == "" {
		t.Skip("a measurement; set ALMONDTURN_MEASURE=1")
	}
	for _, perZone := range []int{3, 10, 20} {
		for _, size := range []int{100, 20000} {
			measureInForce(t, perZone, size)
		}
	}
}

const (
	measuredChanges = 100
	messageDelay    = 1500 * time.Microsecond
)

func measureInForce(t *testing.T, perZone, adapters int) {
	c := newCluster(t, 3, perZone)
	c.opts = DefaultOptions()
	c.opts.StartupWait = 0
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, n := range c.nodes {
		c.restart(i)
		n.service.clock = platform.SystemClock{}
		n.service.net = &delayedNetwork{inner: &testNetwork{c: c, self: n}}
		go func() { _ = n.service.Run(ctx) }()
	}
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *testNode) bool { return !n.service.Ready() })
	}, 30*time.Second, 10*time.Millisecond)
	var took []time.Duration
	for i := range uint64(measuredChanges) {
		spec := bigTeam(100, adapters)
		spec.Services[0].Models[3].Adapters[0].MaxReplicas = int(i) + 10
		writer := c.nodes[int(i)%len(c.nodes)]
		_, err := writer.service.Apply(ctx, Change{Spec: spec, Expect: i})
		require.NoError(t, err)
		accepted := time.Now()
		for _, n := range c.nodes {
			for n.service.Head("big") == nil || n.service.Head("big").Revision <= i {
				time.Sleep(200 * time.Microsecond)
			}
		}
		took = append(took, time.Since(accepted))
	}
	slices.Sort(took)
	t.Logf("nodes=%d adapters=%d: p50 %v p99 %v", len(c.nodes), adapters, took[len(took)/2].Round(100*time.Microsecond), took[len(took)*99/100].Round(100*time.Microsecond))
}

// delayedNetwork delivers each message after messageDelay.
type delayedNetwork struct {
	inner *testNetwork
}

func (d *delayedNetwork) Call(ctx context.Context, to fleet.NodeID, m wire.Message) (wire.Message, error) {
	time.Sleep(2 * messageDelay)
	return d.inner.Call(ctx, to, m)
}

func (d *delayedNetwork) Send(to fleet.NodeID, m wire.Message) {
	time.AfterFunc(messageDelay, func() { d.inner.Send(to, m) })
}

func (d *delayedNetwork) Broadcast(zone fleet.Zone, m wire.Message) {
	for _, other := range d.inner.c.nodes {
		if other != d.inner.self && (zone == "" || other.node.Zone == zone) {
			d.Send(other.node.ID, m)
		}
	}
}
