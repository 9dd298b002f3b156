// Command driver runs the scripted cases of the review: it starts nodes as the deploy file
// does, and stand-ins for the platform's store, workers and requesters on loopback addresses.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"almondturn/platform/standin"
)

// Names of the deployment.
const (
	host        = "ficu95.example"
	deskService = "xano55b"
)

// zones are those of the small deployment; each has nodesPerZone nodes and one worker.
var zones = []string{"hobart-a", "kingston-b", "glenorchy-c"}

// node is one process of the system.
type node struct {
	name, zone, front, ready, control string
	gate                              *gate
	cmd                               *exec.Cmd
	log                               *os.File
}

// gate is the way of one node to the store. While it is shut, the store turns the node away
// without a response: nothing that waits or comes is answered.
type gate struct {
	addr  string
	store http.Handler
	shut  atomic.Bool
	calls atomic.Int32 // that came while it was shut
}

// newGate opens the way of a node to the store.
func newGate(store http.Handler) (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	g := &gate{addr: l.Addr().String(), store: store}
	go func() { _ = http.Serve(l, g) }()
	return g, nil
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.shut.Load() {
		g.calls.Add(1)
		<-r.Context().Done() // the node gives up
		panic(http.ErrAbortHandler)
	}
	g.store.ServeHTTP(&gateWriter{ResponseWriter: w, gate: g, gone: r.Context().Done()}, r)
}

// gateWriter holds responses back while the gate is shut. It leaves the header Store-Era
// out, which the users' pages do not have.
type gateWriter struct {
	http.ResponseWriter
	gate *gate
	gone <-chan struct{}
}

// WriteHeader implements http.ResponseWriter.
func (w *gateWriter) WriteHeader(status int) {
	if w.gate.shut.Load() {
		<-w.gone
		panic(http.ErrAbortHandler)
	}
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// deployment is the system with its stand-ins.
type deployment struct {
	dir      string
	store    *standin.Store
	nodes    []*node
	record   *record
	beatStop chan struct{}
	beats    sync.WaitGroup
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	begun time.Time
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{out: bufio.NewWriter(f), file: f, begun: time.Now()}, nil
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, args...)...)
}

// close writes what is left.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// newDeployment starts the store. Its processes keep their files in dir.
func newDeployment(dir string, r *record) *deployment {
	return &deployment{dir: dir, store: standin.NewStore(), record: r, beatStop: make(chan struct{})}
}

// putConfiguration writes the operator's config: the routes of seat-hold (unsafe) and
// seat-check (safe) of the sheet.
func (d *deployment) putConfiguration() {
	config := map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-hold", "host": host, "path_prefix": "/puxa403/", "kind": "unsafe", "timeout_ms": 2500, "slo_ms": 150, "priority": 2, "service": deskService, "max_attempts": 1},
			{"name": "r-check", "host": host, "path_prefix": "/cufi504/", "kind": "safe", "timeout_ms": 2500, "slo_ms": 150, "priority": 2, "service": deskService, "max_attempts": 2},
		},
		"services": []map[string]any{{"name": deskService, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	}
	text, _ := json.Marshal(config) // maps of strings and numbers always encode
	d.store.Put("op/config", text)
}

// nodesPerZone is the number of nodes in each zone.
const nodesPerZone = 2

// startNodes starts the nodes of all zones.
func (d *deployment) startNodes() error {
	var seeds []string
	for _, zone := range zones {
		for i := range nodesPerZone {
			g, err := newGate(d.store)
			if err != nil {
				return err
			}
			n := &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: standin.FreeAddr(), ready: standin.FreeAddr(), control: standin.FreeAddr(), gate: g}
			d.nodes = append(d.nodes, n)
			if i == 0 {
				seeds = append(seeds, n.control)
			}
		}
	}
	for _, n := range d.nodes {
		if err := d.start(n, seeds); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the settings of a node, as the users' pages show them.
func (d *deployment) settings(n *node, seeds []string) string {
	lines := []string{
		"node_name=" + n.name, "role=entry", "machine_class=front", "serves=front,control", "ip=127.0.0.1", "zone=" + n.zone, "region=tas-south",
		"listen.front=" + n.front, "listen.ready=" + n.ready, "listen.control=" + n.control, "seeds=" + strings.Join(seeds, ","),
		"bootstrap=true", "count_loss=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
		"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.sync_s=4", "bounds.drain_ms=2000", "bounds.grace_s=8",
		"bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.skew_max_ms=5000", "bounds.retry_budget_ratio=0.2",
		"bounds.retry_window_s=10", "bounds.retry_slack=58", "bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.again_s=0", "bounds.require_fence=false",
		"bounds.lease_ms=3000", "bounds.unfreeze_ms=300", "bounds.origin_window_s=5", "bounds.origin_overage=1.1",
		"platform.address=" + n.gate.addr, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	for _, zone := range zones {
		lines = append(lines, "zones."+zone+"=tas-south")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process of a node with the command of the deploy file.
func (d *deployment) start(n *node, seeds []string) error {
	path := filepath.Join(d.dir, n.name+".conf")
	if err := os.WriteFile(path, []byte(d.settings(n, seeds)), 0o600); err != nil {
		return fmt.Errorf("write the settings: %w", err)
	}
	log, err := os.Create(filepath.Join(d.dir, n.name+".log"))
	if err != nil {
		return fmt.Errorf("create the log: %w", err)
	}
	n.log = log
	n.cmd = exec.Command("target/almondturn", "entry")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ALMONDTURN_SETTINGS=" + path}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return fmt.Errorf("start node %s: %w", n.name, err)
	}
	d.record.line("node %s started, process %d", n.name, n.cmd.Process.Pid)
	return nil
}

// awaitReady waits until each node says that it is ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, n := range d.nodes {
		for {
			resp, err := client.Get("http://" + n.ready + "/api/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		d.record.line("node %s is ready", n.name)
	}
	return nil
}

// stop ends all processes that the deployment has started, by their ids.
func (d *deployment) stop() {
	close(d.beatStop)
	d.beats.Wait()
	for _, n := range d.nodes {
		if n.cmd == nil || n.cmd.Process == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, n := range d.nodes {
		if n.cmd == nil || n.cmd.Process == nil {
			continue
		}
		timer := time.AfterFunc(8*time.Second, func() { _ = n.cmd.Process.Kill() })
		_ = n.cmd.Wait()
		timer.Stop()
		_ = n.log.Close()
	}
	d.store.Close()
}
