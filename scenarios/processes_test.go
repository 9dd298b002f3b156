package scenarios

import (
	"cmp"
	"context"
	"errors"
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
	"almondturn/pkg/standin/nodeoutput"
)

// configPathEnv is the environment variable that makes the test binary run one
// node, as almondturn serve does. It holds the path of the node's configuration.
const configPathEnv = "ALMONDTURN_TEST_SERVE"

// TestMain runs the tests, or one node if configPathEnv is set.
func TestMain(m *testing.M) {
	path := os.Getenv(configPathEnv)
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

// processCluster runs each node as a separate process. The stand-ins run in the
// test process. A fault proxy is on each path between nodes, and between a node and
// the key-value service.
type processCluster struct {
	*deployment
	t         *testing.T
	configDir string
	nodeIDs   []fleet.NodeID
	// storeProxies are between each node and the key-value service, peerProxies in
	// front of each node's listener for other nodes.
	storeProxies, peerProxies map[fleet.NodeID]*faultproxy.Proxy
	output                    *nodeoutput.Collector

	mu sync.Mutex // guards running and exited
	// configs is complete before the first process is started.
	configs map[fleet.NodeID]*config.Config
	running map[fleet.NodeID]*exec.Cmd
	// exited holds a channel for each node that was ended. It is closed when the
	// process has exited and its ports are free.
	exited map[fleet.NodeID]chan struct{}
}

// startProcessCluster starts a deployment whose nodes are separate processes, and
// applies the settings of the example teams.
func startProcessCluster(t *testing.T, options deploymentOptions) *processCluster {
	t.Helper()
	nodesPerZone := options.nodesPerZone
	options.nodesPerZone = 0
	d, err := startDeployment(options)
	require.NoError(t, err)
	p := &processCluster{
		deployment: d, t: t, configDir: t.TempDir(), output: nodeoutput.New(os.Stderr),
		storeProxies: map[fleet.NodeID]*faultproxy.Proxy{}, peerProxies: map[fleet.NodeID]*faultproxy.Proxy{},
		configs: map[fleet.NodeID]*config.Config{}, running: map[fleet.NodeID]*exec.Cmd{}, exited: map[fleet.NodeID]chan struct{}{},
	}
	t.Cleanup(p.stop)
	for _, zone := range zoneNames[:options.zones] {
		for i := range nodesPerZone {
			p.addNode(fleet.NodeID(fmt.Sprintf("entry-%s-%d", zone, i+1)), zone)
		}
	}
	p.callers = newCallers(func(id fleet.NodeID) string { return p.configs[id].Listen.Callers })
	for _, id := range p.nodeIDs {
		p.startProcess(id)
	}
	ctx, cancel := commandContext()
	defer cancel()
	require.NoError(t, d.applyExampleTeams(ctx, options))
	return p
}

// addNode creates a node's proxies and writes its configuration, without starting
// it. The nodes that were added before are its seeds.
func (p *processCluster) addNode(id fleet.NodeID, zone fleet.Zone) {
	var err error
	p.storeProxies[id], err = faultproxy.New(p.Store.Addr())
	require.NoError(p.t, err)
	p.t.Cleanup(p.storeProxies[id].Close)
	c, err := p.ExternalNodeConfig(id, zone, p.storeProxies[id].Addr(), func(listenAddr string) (string, error) {
		proxy, err := faultproxy.New(listenAddr)
		if err != nil {
			return "", err
		}
		p.peerProxies[id] = proxy
		p.t.Cleanup(proxy.Close)
		return proxy.Addr(), nil
	})
	require.NoError(p.t, err)
	c.Log.Level = cmp.Or(os.Getenv("SCENARIO_LOG"), "error")
	for _, other := range p.nodeIDs {
		c.Deployment.Seeds = append(c.Deployment.Seeds, p.configs[other].Listen.Advertise)
	}
	text, err := yaml.Marshal(c)
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(p.configPath(id), text, 0o600))
	p.configs[id] = c
	p.nodeIDs = append(p.nodeIDs, id)
}

// configPath returns the path of a node's configuration.
func (p *processCluster) configPath(id fleet.NodeID) string {
	return filepath.Join(p.configDir, string(id)+".yaml")
}

// startProcess starts a node that is not running, after its previous process has
// exited.
func (p *processCluster) startProcess(id fleet.NodeID) {
	p.mu.Lock()
	exited := p.exited[id]
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[id] != nil {
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), configPathEnv+"="+p.configPath(id))
	cmd.Stdout, cmd.Stderr = os.Stderr, p.output.Writer(string(id)) // log lines go to the standard output
	if err := cmd.Start(); err != nil {
		p.t.Errorf("start node %s: %v", id, err)
		return
	}
	p.running[id] = cmd
}

// sendSignal sends a signal to a node and reports whether the node received it: a
// node that is not running does not.
func (p *processCluster) sendSignal(id fleet.NodeID, s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.running[id]
	return cmd != nil && cmd.Process.Signal(s) == nil
}

// process returns the process of a node, nil if the node is not running.
func (p *processCluster) process(id fleet.NodeID) *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[id]
}

// suspendProcess suspends a node's process. The returned function resumes it, also
// if the process has been told to end in the meantime.
func (p *processCluster) suspendProcess(id fleet.NodeID) (resume func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.running[id]
	if cmd == nil {
		return func() {}
	}
	_ = cmd.Process.Signal(syscall.SIGSTOP) // fails if the process has exited
	return func() { _ = cmd.Process.Signal(syscall.SIGCONT) }
}

// signalAndWait sends a signal that ends the process, and waits until the process
// has exited.
func (p *processCluster) signalAndWait(id fleet.NodeID, s syscall.Signal) error {
	p.mu.Lock()
	cmd := p.running[id]
	delete(p.running, id)
	done := make(chan struct{})
	if cmd != nil {
		p.exited[id] = done
	}
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	defer close(done)
	err := cmd.Process.Signal(s) // fails if the process has ended by itself
	return errors.Join(err, cmd.Wait())
}

// stop ends all nodes and the stand-ins. The test fails if a node process has reported a
// data race or crashed.
func (p *processCluster) stop() {
	for _, id := range p.nodeIDs {
		_ = p.signalAndWait(id, syscall.SIGKILL) // also ends a suspended process
	}
	p.Stop()
	assert.Empty(p.t, p.output.Faults(), "data races and crashes of node processes")
}

// awaitOK returns when every node has served a request for the model.
func (p *processCluster) awaitOK(ctx context.Context, model string) error {
	for _, id := range p.nodeIDs {
		err := localcluster.WaitUntil(ctx, func() error {
			if c := p.sendCall(ctx, id, model, defaultTokens); c.code != "ok" {
				return fmt.Errorf("request through node %s ended with code %s", id, c.code)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// sendCall sends a request for a model; an empty model is a booking. Bookings with
// equal tokens have the same idempotency key.
func (p *processCluster) sendCall(ctx context.Context, id fleet.NodeID, model string, tokens int) *call {
	c := &call{node: id, model: model, method: http.MethodPost, maxTokens: tokens, timeout: defaultTimeout}
	if model == "" {
		c.idempotencyKey = fmt.Sprintf("key-%d", tokens)
	}
	p.callers.send(ctx, c)
	return c
}

// startLoad sends requests through all nodes until stop is closed. The returned
// group is done when all their responses have ended.
func (p *processCluster) startLoad(ctx context.Context, stop <-chan struct{}) *sync.WaitGroup {
	const requestInterval = 20 * time.Millisecond
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(requestInterval):
			}
			id, model, tokens := p.nodeIDs[i%len(p.nodeIDs)], requestedModels[i%len(requestedModels)], 10+i%20
			if model == "" {
				tokens = bookingKey(i)
			}
			wg.Go(func() { p.sendCall(ctx, id, model, tokens) })
		}
	})
	return &wg
}

// bookingKey returns the number of the idempotency key of the i-th request that
// startLoad sends: that of the current period, or of one of the former ones.
func bookingKey(i int) int {
	const (
		requestsPerKey = 50 // one second
		periods        = 6
	)
	age := i / len(requestedModels) % periods
	return max(i/requestsPerKey-age, 0)
}

// requestedModels are the models that startLoad requests; an empty name is a booking.
var requestedModels = []string{"", "tea-small@1", "tea-small@1", "tea-large@1", "tea-small@1+hobart"}

// TestProcesses runs six nodes as separate processes under load. One is killed,
// one is suspended for 5 s and resumed, one is stopped during a stream. It guards against requests that run twice, and against a graceful
// shutdown that truncates a stream.
func TestProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*waitTimeout)
	defer cancel()
	p := startProcessCluster(t, deploymentOptions{zones: 3, nodesPerZone: 2, enginesPerZone: 1, plainPerZone: 1})
	require.NoError(t, p.awaitOK(ctx, "tea-small@1"))

	stopLoad := make(chan struct{})
	load := p.startLoad(ctx, stopLoad)
	require.Error(t, p.signalAndWait("entry-hobart-1", syscall.SIGKILL))
	require.True(t, p.sendSignal("entry-kingston-1", syscall.SIGSTOP))
	sleep(ctx, 5*time.Second)
	require.True(t, p.sendSignal("entry-kingston-1", syscall.SIGCONT))
	p.startProcess("entry-hobart-1")

	longStream := make(chan *call, 1)
	go func() { longStream <- p.sendCall(ctx, "entry-sorell-1", "tea-small@1", 200) }()
	sleep(ctx, time.Second)
	require.NoError(t, p.signalAndWait("entry-sorell-1", syscall.SIGTERM), "a graceful shutdown has the exit code 0")
	assert.Equal(t, "ok", (<-longStream).code, "a stream in progress is completed")
	p.startProcess("entry-sorell-1")
	require.NoError(t, p.awaitOK(ctx, "tea-small@1"))
	require.NoError(t, p.awaitOK(ctx, "tea-large@1"))
	close(stopLoad)
	load.Wait()
	p.logCodes()
	assert.Empty(t, p.findViolations())
}

// logCodes logs the number of calls with each code.
func (p *processCluster) logCodes() {
	codes := map[string]int{}
	for _, c := range p.callers.calls() {
		codes[c.code]++
	}
	p.t.Logf("calls by code: %v", codes)
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
