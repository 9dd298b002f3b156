package scenarios

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/config"
	"almondturn/pkg/node"
	"almondturn/pkg/standin/engine"
	"almondturn/pkg/standin/site"
	"almondturn/pkg/standin/weights"
	"almondturn/pkg/trial"
)

// envServe makes the test binary run one node, as almondturn serve does.
const envServe = "ALMONDTURN_TEST_SERVE"

func TestMain(m *testing.M) {
	path := os.Getenv(envServe)
	if path == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	c, err := config.Load(path)
	if err == nil {
		err = node.Run(ctx, c)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// processes are nodes as processes of their own, with the stand-ins here.
type processes struct {
	t       *testing.T
	site    *site.Site
	dir     string
	callers *callers
	records *recordLog
	ids     []fleet.NodeID
	configs map[fleet.NodeID]*config.Config
	running map[fleet.NodeID]*exec.Cmd
}

func startProcesses(t *testing.T, nodesPerZone int) *processes {
	t.Helper()
	p := &processes{
		t: t, dir: t.TempDir(), records: &recordLog{},
		configs: map[fleet.NodeID]*config.Config{}, running: map[fleet.NodeID]*exec.Cmd{},
	}
	var err error
	p.site, err = site.Start(site.Options{
		Zones: zoneNames, EnginesPerZone: 1, PlainPerZone: 1, PlainService: "bookings",
		Engine: func(id fleet.TargetID, zone fleet.Zone, _ int) engine.Options {
			return engineOptions(id, shape{ignoring: zone == zoneNames[0]})
		},
		Store: weights.Options{LoadsPerSecond: 20, FullSpeedLoads: 4}, Recorder: p.records,
	})
	require.NoError(t, err)
	t.Cleanup(p.stop)
	for _, zone := range zoneNames {
		for i := range nodesPerZone {
			p.add(fleet.NodeID(fmt.Sprintf("entry-%s-%d", zone, i+1)), zone)
		}
	}
	p.callers = newCallers(func(id fleet.NodeID) string { return p.configs[id].Listen.Callers })
	for _, id := range p.ids {
		p.start(id)
	}
	return p
}

func (p *processes) add(id fleet.NodeID, zone fleet.Zone) {
	c := config.Default()
	c.Node.ID, c.Node.Zone = id, zone
	c.Mesh.Secret = "process-secret-0123456789"
	c.Listen = config.Listen{Callers: freePort(p.t), Operators: freePort(p.t), Inner: freePort(p.t)}
	c.Platform.URL = p.site.PlatformURL
	c.Deployment.Name, c.Deployment.Zones = "processes", zoneNames
	c.Admin.RootTokenSHA256 = catalog.HashKey(examples.DevRootToken)
	c.Shutdown.Notice = 100 * time.Millisecond
	c.Log.Level = "error"
	text, err := yaml.Marshal(&c)
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(p.path(id), text, 0o600))
	p.configs[id] = &c
	p.ids = append(p.ids, id)
}

func (p *processes) path(id fleet.NodeID) string { return filepath.Join(p.dir, string(id)+".yaml") }

func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (p *processes) start(id fleet.NodeID) {
	cmd := exec.Command(os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), envServe+"="+p.path(id))
	cmd.Stderr = os.Stderr
	require.NoError(p.t, cmd.Start())
	p.running[id] = cmd
}

func (p *processes) signal(id fleet.NodeID, s syscall.Signal) {
	require.NoError(p.t, p.running[id].Process.Signal(s))
}

// end sends a signal and waits for the process.
func (p *processes) end(id fleet.NodeID, s syscall.Signal) error {
	p.signal(id, s)
	cmd := p.running[id]
	delete(p.running, id)
	return cmd.Wait()
}

func (p *processes) stop() {
	for id := range p.running {
		_ = p.end(id, syscall.SIGKILL)
	}
	p.site.Stop()
}

// apply puts the example settings in force through a node's operators' listener.
func (p *processes) apply(ctx context.Context, id fleet.NodeID) {
	files, err := examples.Dev()
	require.NoError(p.t, err)
	for _, f := range files {
		spec, err := catalog.ParseTeam(f.Name, f.Data)
		require.NoError(p.t, err)
		url := "http://" + p.configs[id].Listen.Operators + "/admin/v1/teams/" + string(spec.Team) + "?wait=5s"
		require.NoError(p.t, trial.Wait(ctx, func() error { return putTeam(ctx, url, f.Data) }))
	}
}

func putTeam(ctx context.Context, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+examples.DevRootToken)
	req.Header.Set("If-Match", "0")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices && resp.StatusCode != http.StatusConflict {
		return fmt.Errorf("put %s: status %d", url, resp.StatusCode)
	}
	return nil
}

// awaitAnswers returns when every running node has answered for the model.
func (p *processes) awaitAnswers(ctx context.Context, model string) {
	for id := range p.running {
		require.NoError(p.t, trial.Wait(ctx, func() error {
			if k := p.call(ctx, id, model, defaultTokens); k.code != "ok" {
				return fmt.Errorf("node %s: %s", id, k.code)
			}
			return nil
		}))
	}
}

func (p *processes) call(ctx context.Context, id fleet.NodeID, model string, tokens int) *call {
	k := &call{node: id, model: model, method: http.MethodPost, tokens: tokens, timeout: defaultTimeout}
	if model == "" {
		k.key = fmt.Sprintf("key-%d", tokens)
	}
	p.callers.do(ctx, k)
	return k
}

// load sends requests through the given nodes until stop is closed.
func (p *processes) load(ctx context.Context, stop <-chan struct{}, ids []fleet.NodeID) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			id, model := ids[i%len(ids)], "tea-small@1"
			if i%4 == 0 {
				model = ""
			}
			wg.Go(func() { p.call(ctx, id, model, 10+i%20) })
		}
	})
	return &wg
}

// TestProcesses runs six nodes as separate processes: one is killed, one
// paused beyond every timeout and woken, one stopped while it streams.
func TestProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*limitForAll)
	defer cancel()
	p := startProcesses(t, 2)
	p.apply(ctx, p.ids[0])
	p.awaitAnswers(ctx, "tea-small@1")

	stopLoad := make(chan struct{})
	loaded := p.load(ctx, stopLoad, p.ids)
	require.Error(t, p.end("entry-hobart-1", syscall.SIGKILL))
	p.signal("entry-kingston-1", syscall.SIGSTOP)
	pause(ctx, 8*time.Second)
	p.signal("entry-kingston-1", syscall.SIGCONT)
	p.start("entry-hobart-1")

	long := make(chan *call, 1)
	go func() { long <- p.call(ctx, "entry-sorell-1", "tea-small@1", 200) }()
	pause(ctx, time.Second)
	require.NoError(t, p.end("entry-sorell-1", syscall.SIGTERM), "a graceful shutdown exits with 0")
	assert.Equal(t, "ok", (<-long).code, "a stream in progress ends whole")
	p.start("entry-sorell-1")
	p.awaitAnswers(ctx, "tea-small@1")
	p.awaitAnswers(ctx, "tea-large@1")
	close(stopLoad)
	loaded.Wait()

	d := &deployment{callers: p.callers, records: p.records, limits: map[fleet.ReplicaKey]int{}}
	files, err := examples.Dev()
	require.NoError(t, err)
	for _, f := range files {
		spec, err := catalog.ParseTeam(f.Name, f.Data)
		require.NoError(t, err)
		d.noteLimits(spec)
	}
	codes := map[string]int{}
	for _, k := range p.callers.calls() {
		codes[k.code]++
	}
	t.Logf("ended: %v", codes)
	assert.Empty(t, d.judge())
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
