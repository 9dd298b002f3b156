package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex // guards file
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begun: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...)) // the record is for people
}

// node is one process of the deploy file's role entry.
type node struct {
	name, front, ready, dir string
	settings                string
	log                     *record
	cmd                     *exec.Cmd
	exited                  chan struct{}
}

// firstNode is the last number of the address of the first node.
const firstNode = 11

// deployment is what the settings of all nodes have in common.
type deployment struct {
	root, dir, storeAddr string
	zones, seeds         []string
	log                  *record
	// grace is grace_s, 0 for defaultGrace.
	grace int
}

// defaultGrace is grace_s in the users' settings.
const defaultGrace = 8

// network is the part of the loopback network that a case uses: others play at the same time.
var network = fmt.Sprintf("127.%d.%d.", 1+rand.N(250), rand.N(250))

// freePort returns a port that is free at the first address of the network.
func freePort() (int, error) {
	l, err := net.Listen("tcp", network+"1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// maxNodes is the largest number of nodes of a case.
const maxNodes = 4

// freePorts returns the ports of the nodes, which are the same on all machines and free at the
// addresses of all.
func freePorts() (ports [3]int, err error) {
	for i := range ports {
		first, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", network, firstNode))
		if err != nil {
			return ports, err
		}
		defer first.Close()
		ports[i] = first.Addr().(*net.TCPAddr).Port
		for n := 1; n < maxNodes; n++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", network, firstNode+n, ports[i]))
			if err != nil {
				return ports, err
			}
			defer l.Close()
		}
	}
	return ports, nil
}

// newNode writes the settings of the node at the i-th address of the network.
func (d *deployment) newNode(name, zone string, i int, ports [3]int) (*node, error) {
	ip := fmt.Sprintf("%s%d", network, firstNode+i)
	n := &node{name: name, dir: d.dir, log: d.log, settings: filepath.Join(d.dir, name+".conf")}
	grace := d.grace
	if grace == 0 {
		grace = defaultGrace
	}
	n.front, n.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	lines := []string{
		"node_name=" + name, "role=entry", "machine_class=front", "serves=front,control", "ip=" + ip, "zone=" + zone, "region=r",
		"listen.front=" + n.front, "listen.ready=" + n.ready, fmt.Sprintf("listen.control=%s:%d", ip, ports[2]),
		"seeds=" + strings.Join(d.seeds, ","), "bootstrap=true", "count_loss=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
		"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.sync_s=4", "bounds.drain_ms=2000", fmt.Sprintf("bounds.grace_s=%d", grace),
		"bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.skew_max_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_slack=58", "bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.again_s=0",
		"bounds.require_fence=false", "bounds.lease_ms=3000", "bounds.unfreeze_ms=300", "bounds.origin_window_s=5", "bounds.origin_overage=1.1",
		"platform.address=" + d.storeAddr, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	for _, z := range d.zones {
		lines = append(lines, "zones."+z+"=r")
	}
	return n, os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the process as the deploy file does.
func (n *node) start(root string) error {
	out, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command(filepath.Join(root, "target", "almondturn"), "entry")
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = root, out, out
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ALMONDTURN_SETTINGS=" + n.settings}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.log.add("process of %s starts", n.name)
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() {
		_ = cmd.Wait() // its end is what counts
		close(exited)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.log.add("process of %s is killed", n.name)
	_ = n.cmd.Process.Kill() // fails only if it has ended
	<-n.exited
}

// isReady asks the readiness address once, as the platform does each second.
func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/api/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the node is ready.
func (n *node) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-n.exited:
			return fmt.Errorf("node %s has ended", n.name)
		default:
		}
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready", n.name)
}
