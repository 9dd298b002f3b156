package scenarios

import (
	"context"
	"fmt"
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

	"almondturn/fleet"
	"almondturn/pkg/config"
	"almondturn/pkg/localcluster"
	"almondturn/pkg/node"
	"almondturn/pkg/standin/faultproxy"
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

// processes are nodes as processes of their own, with the stand-ins here and a
// relay on each way between them.
type processes struct {
	*deployment
	t   *testing.T
	dir string
	ids []fleet.NodeID
	// storeRelays and innerRelays are those of each node: its way to the
	// key-value service, and the others' way to it.
	storeRelays, innerRelays map[fleet.NodeID]*faultproxy.Proxy

	mu      sync.Mutex // guards running and ending
	configs map[fleet.NodeID]*config.Config
	running map[fleet.NodeID]*exec.Cmd
	// ending are closed when the process before has ended and its ports are free.
	ending map[fleet.NodeID]chan struct{}
}

func startProcesses(t *testing.T, s shape) *processes {
	t.Helper()
	nodes := s.nodes
	s.nodes = 0
	d, err := deploy(s)
	require.NoError(t, err)
	p := &processes{
		deployment: d, t: t, dir: t.TempDir(),
		storeRelays: map[fleet.NodeID]*faultproxy.Proxy{}, innerRelays: map[fleet.NodeID]*faultproxy.Proxy{},
		configs: map[fleet.NodeID]*config.Config{}, running: map[fleet.NodeID]*exec.Cmd{}, ending: map[fleet.NodeID]chan struct{}{},
	}
	t.Cleanup(p.stop)
	for _, zone := range zoneNames[:s.zones] {
		for i := range nodes {
			p.add(fleet.NodeID(fmt.Sprintf("entry-%s-%d", zone, i+1)), zone)
		}
	}
	p.callers = newCallers(func(id fleet.NodeID) string { return p.configs[id].Listen.Callers })
	for _, id := range p.ids {
		p.start(id)
	}
	ctx, cancel := bounded()
	defer cancel()
	require.NoError(t, d.applyTeams(ctx, s))
	return p
}

func (p *processes) add(id fleet.NodeID, zone fleet.Zone) {
	var err error
	p.storeRelays[id], err = faultproxy.New(p.Store.Addr())
	require.NoError(p.t, err)
	p.t.Cleanup(p.storeRelays[id].Close)
	c, err := p.ExternalNodeConfig(id, zone, p.storeRelays[id].Addr(), func(inner string) (string, error) {
		r, err := faultproxy.New(inner)
		if err != nil {
			return "", err
		}
		p.innerRelays[id] = r
		p.t.Cleanup(r.Close)
		return r.Addr(), nil
	})
	require.NoError(p.t, err)
	c.Log.Level = "error"
	for _, other := range p.ids {
		c.Deployment.Seeds = append(c.Deployment.Seeds, p.configs[other].Listen.Advertise)
	}
	text, err := yaml.Marshal(c)
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(p.path(id), text, 0o600))
	p.configs[id] = c
	p.ids = append(p.ids, id)
}

func (p *processes) path(id fleet.NodeID) string { return filepath.Join(p.dir, string(id)+".yaml") }

// start starts a node that does not run, once its former process has ended.
func (p *processes) start(id fleet.NodeID) {
	p.mu.Lock()
	before := p.ending[id]
	p.mu.Unlock()
	if before != nil {
		<-before
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[id] != nil {
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), envServe+"="+p.path(id))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		p.t.Errorf("start node %s: %v", id, err)
		return
	}
	p.running[id] = cmd
}

// signal sends a signal to a node; false when it does not run.
func (p *processes) signal(id fleet.NodeID, s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.running[id]
	return cmd != nil && cmd.Process.Signal(s) == nil
}

// pause stops a node's process and returns how it goes on, also when it was
// asked to end meanwhile.
func (p *processes) pause(id fleet.NodeID) (resume func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.running[id]
	if cmd == nil {
		return func() {}
	}
	_ = cmd.Process.Signal(syscall.SIGSTOP) // it may have ended
	return func() { _ = cmd.Process.Signal(syscall.SIGCONT) }
}

// end sends a signal and waits for the end of the process.
func (p *processes) end(id fleet.NodeID, s syscall.Signal) error {
	p.mu.Lock()
	cmd := p.running[id]
	delete(p.running, id)
	done := make(chan struct{})
	if cmd != nil {
		p.ending[id] = done
	}
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	defer close(done)
	if err := cmd.Process.Signal(s); err != nil {
		return err
	}
	return cmd.Wait()
}

func (p *processes) stop() {
	for _, id := range p.ids {
		_ = p.end(id, syscall.SIGKILL) // also wakes a paused process
	}
	p.Stop()
}

// awaitAnswers returns when every node has answered for the model.
func (p *processes) awaitAnswers(ctx context.Context, model string) error {
	for _, id := range p.ids {
		err := localcluster.WaitUntil(ctx, func() error {
			if k := p.call(ctx, id, model, defaultTokens); k.code != "ok" {
				return fmt.Errorf("node %s: %s", id, k.code)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *processes) call(ctx context.Context, id fleet.NodeID, model string, tokens int) *call {
	k := &call{node: id, model: model, method: http.MethodPost, tokens: tokens, timeout: defaultTimeout}
	if model == "" {
		k.key = fmt.Sprintf("key-%d", tokens)
	}
	p.callers.do(ctx, k)
	return k
}

// load sends requests through all nodes until stop is closed.
func (p *processes) load(ctx context.Context, stop <-chan struct{}) *sync.WaitGroup {
	const pause = 20 * time.Millisecond
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			id, model := p.ids[i%len(p.ids)], soakModels[i%len(soakModels)]
			wg.Go(func() { p.call(ctx, id, model, 10+i%20) })
		}
	})
	return &wg
}

// soakModels are what the load asks for; an empty name is a booking.
var soakModels = []string{"", "tea-small@1", "tea-small@1", "tea-large@1", "tea-small@1+hobart"}

// TestProcesses runs six nodes as separate processes: one is killed, one
// paused beyond every timeout and woken, one stopped while it streams.
func TestProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*limitForAll)
	defer cancel()
	p := startProcesses(t, shape{zones: 3, nodes: 2, engines: 1, plains: 1})
	require.NoError(t, p.awaitAnswers(ctx, "tea-small@1"))

	stopLoad := make(chan struct{})
	loaded := p.load(ctx, stopLoad)
	require.Error(t, p.end("entry-hobart-1", syscall.SIGKILL))
	require.True(t, p.signal("entry-kingston-1", syscall.SIGSTOP))
	pause(ctx, 5*time.Second)
	require.True(t, p.signal("entry-kingston-1", syscall.SIGCONT))
	p.start("entry-hobart-1")

	long := make(chan *call, 1)
	go func() { long <- p.call(ctx, "entry-sorell-1", "tea-small@1", 200) }()
	pause(ctx, time.Second)
	require.NoError(t, p.end("entry-sorell-1", syscall.SIGTERM), "a graceful shutdown exits with 0")
	assert.Equal(t, "ok", (<-long).code, "a stream in progress ends whole")
	p.start("entry-sorell-1")
	require.NoError(t, p.awaitAnswers(ctx, "tea-small@1"))
	require.NoError(t, p.awaitAnswers(ctx, "tea-large@1"))
	close(stopLoad)
	loaded.Wait()
	p.report()
	assert.Empty(t, p.judge())
}

// report logs how the requests ended.
func (p *processes) report() {
	codes := map[string]int{}
	for _, k := range p.callers.calls() {
		codes[k.code]++
	}
	p.t.Logf("ended: %v", codes)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
