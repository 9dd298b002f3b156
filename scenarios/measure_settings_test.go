package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	assert "github.com/stretchr/testify/require"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/admin"
	"almondturn/pkg/catalog"
	"almondturn/pkg/ctl"
	"almondturn/pkg/trial"
)

// The measurement's load: changes in a row for the time to in force, and the
// rate of 8,500 changes a day for the cost.
const (
	measuredChanges = 60
	measuredTime    = 30 * time.Second
	changeInterval  = 10 * time.Second
)

// TestMeasureSettings prints the time of almondturnctl apply --wait on nine
// nodes over loopback sockets, and what the process spends at rest and at the
// rate of changes. Run it with ALMONDTURN_MEASURE=1.
func TestMeasureSettings(t *testing.T) {
	if os.Getenv("ALMONDTURN_MEASURE") == "" {
		t.Skip("a measurement; set ALMONDTURN_MEASURE=1")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	d, err := deploy(ctx, shape{zones: 3, nodes: 3, engines: 1})
	assert.NoError(t, err)
	defer func() { _ = d.Stop(ctx) }()
	assert.NoError(t, d.applyExamples(ctx))
	assert.NoError(t, trial.Wait(ctx, func() error {
		for _, n := range d.Nodes() {
			if err := n.Ready(); err != nil {
				return err
			}
		}
		return nil
	}))
	for _, adapters := range []int{100, 20000} {
		measureApply(ctx, t, d, adapters)
	}
	measureCost(ctx, t, d, "at rest", func(int) {})
	measureCost(ctx, t, d, "one change in 10 s of 20,000 adapters", func(i int) {
		applyMeasured(ctx, t, d, 20000, 1000+i, false)
	})
}

func measuredTeam(adapters, change int) *catalog.TeamSpec {
	svc := catalog.ServiceSpec{Name: "measured", Kind: fleet.TargetEngine, Share: 1}
	for i := range 160 {
		m := catalog.ModelSpec{Name: fmt.Sprintf("model-%03d", i), Version: "1", MemoryBytes: 4 << 30, MaxReplicas: 0}
		for j := i; j < adapters; j += 160 {
			m.Adapters = append(m.Adapters, catalog.AdapterSpec{Name: fmt.Sprintf("adapter-%05d", j), MemoryBytes: 64 << 20})
		}
		svc.Models = append(svc.Models, m)
	}
	svc.Models[7].MaxReplicas = change
	return &catalog.TeamSpec{Team: "measured", Services: []catalog.ServiceSpec{svc}}
}

// applied is one measured change: the whole command, and the part from
// accepted to in force on all nodes.
type applied struct{ whole, inForce time.Duration }

// applyMeasured applies a change through the nodes in turn.
func applyMeasured(ctx context.Context, t *testing.T, d *deployment, adapters, change int, wait bool) applied {
	text, err := catalog.FormatTeam(measuredTeam(adapters, change))
	assert.NoError(t, err)
	file := t.TempDir() + "/measured.yaml"
	assert.NoError(t, os.WriteFile(file, text, 0o600))
	nodes := d.Nodes()
	argv := []string{"--server", "http://" + nodes[change%len(nodes)].OperatorsAddr(), "--token", examples.DevRootToken, "apply", "-f", file, "--revision", "latest", "--output", "json"}
	if wait {
		argv = append(argv, "--wait")
	}
	var out bytes.Buffer
	start := time.Now()
	assert.Equal(t, ctl.ExitOK, ctl.Run(ctx, argv, ctl.Env{Stdout: &out, Stderr: &out}), out.String())
	whole := time.Since(start)
	var put admin.PutAnswer
	assert.NoError(t, json.Unmarshal(out.Bytes(), &put))
	return applied{whole: whole, inForce: time.Duration(put.WaitedMillis * float64(time.Millisecond))}
}

func measureApply(ctx context.Context, t *testing.T, d *deployment, adapters int) {
	var whole, inForce []time.Duration
	for i := range measuredChanges {
		took := applyMeasured(ctx, t, d, adapters, i+1, true)
		whole, inForce = append(whole, took.whole), append(inForce, took.inForce)
	}
	t.Logf("nodes=%d adapters=%d: accepted to in force: %s; whole command: %s", len(d.Nodes()), adapters, quantiles(inForce), quantiles(whole))
}

func quantiles(took []time.Duration) string {
	slices.Sort(took)
	return fmt.Sprintf("p50 %.1f ms p99 %.1f ms", took[len(took)/2].Seconds()*1000, took[len(took)*99/100].Seconds()*1000)
}

func measureCost(ctx context.Context, t *testing.T, d *deployment, what string, change func(i int)) {
	bytesBefore, cpuBefore := sentBytes(t), cpuTime(t)
	start := time.Now()
	for i := 0; time.Since(start) < measuredTime; i++ {
		change(i)
		select {
		case <-ctx.Done():
		case <-time.After(changeInterval):
		}
	}
	seconds := time.Since(start).Seconds()
	nodes := float64(len(d.Nodes()))
	t.Logf("%s: %.0f bytes a second sent by a node to others, %.2f%% of a core a node (with stand-ins)", what,
		float64(sentBytes(t)-bytesBefore)/seconds/nodes, (cpuTime(t)-cpuBefore).Seconds()/seconds/nodes*100)
}

var sentLine = regexp.MustCompile(`(?m)^almondturn_mesh_sent_bytes_total (\d+)`)

func sentBytes(t *testing.T) int64 {
	var page bytes.Buffer
	metrics.WritePrometheus(&page, false)
	m := sentLine.FindSubmatch(page.Bytes())
	assert.NotNil(t, m)
	n, err := strconv.ParseInt(string(m[1]), 10, 64)
	assert.NoError(t, err)
	return n
}

func cpuTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	assert.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
