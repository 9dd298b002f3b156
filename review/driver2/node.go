package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is a process of the system on one machine.
type node struct {
	name, zone            string
	front, ready, control string
	settingsPath, output  string
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// freeAddr returns a loopback address whose port is free.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// cluster is a small deployment.
type cluster struct {
	rec       *record
	dir       string
	binary    string
	storeAddr string
	zones     []string
	nodes     []*node
}

// add adds a node that is not started.
func (c *cluster) add(name, zone string) error {
	n := &node{name: name, zone: zone, settingsPath: filepath.Join(c.dir, name+".conf"), output: filepath.Join(c.dir, name+".log")}
	for _, a := range []*string{&n.front, &n.ready, &n.control} {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		*a = addr
	}
	c.nodes = append(c.nodes, n)
	return nil
}

// settings returns the settings file of a node.
func (c *cluster) settings(n *node) string {
	seeds := []string{}
	for _, other := range c.nodes {
		if len(seeds) < 3 {
			seeds = append(seeds, other.control)
		}
	}
	lines := [][2]string{
		{"node_name", n.name},
		{"role", "entry"},
		{"machine_class", "front"},
		{"serves", "front,control"},
		{"ip", "127.0.0.1"},
		{"zone", n.zone},
		{"region", "test-region"},
	}
	for _, z := range c.zones {
		lines = append(lines, [2]string{"zones." + z, "test-region"})
	}
	lines = append(lines, [][2]string{
		{"listen.front", n.front},
		{"listen.ready", n.ready},
		{"listen.control", n.control},
		{"port_range", "7380,7380"},
		{"seeds", strings.Join(seeds, ",")},
		{"bootstrap", "true"},
		{"count_loss", "false"},
		{"limits.cpu_share", "0.4"},
		{"limits.cores", "1"},
		{"limits.memory_mb", "284"},
		{"limits.max_fds", "4100"},
		{"limits.link_mbps", "1000.0"},
		{"limits.disk_mb", "0"},
		{"discovery", "platform"},
		{"entry", "vip"},
		{"heartbeat_ms", "1200"},
		{"contracts", "base,drain,config,cost,retry,recover,fleet,stream,engine,platform"},
		{"fault_tolerance.machines", "2"},
		{"fault_tolerance.zones", "1"},
		{"fault_tolerance.regions", "0"},
		{"bounds.seed_lag_s", "3"},
		{"bounds.addr_reuse_s", "2"},
		{"bounds.contact_ms", "3000"},
		{"bounds.ack_ms", "4000"},
		{"bounds.sync_s", "4"},
		{"bounds.drain_ms", "2000"},
		{"bounds.grace_s", "8"},
		{"bounds.loss_slack_ms", "200"},
		{"bounds.config_apply_ms", "2000"},
		{"bounds.rollback_slack_ms", "250"},
		{"bounds.skew_max_ms", "5000"},
		{"bounds.retry_budget_ratio", "0.2"},
		{"bounds.retry_window_s", "10"},
		{"bounds.retry_slack", "58"},
		{"bounds.recovery_s", "12"},
		{"bounds.pass_ms", "120"},
		{"bounds.again_s", "0"},
		{"bounds.require_fence", "false"},
		{"bounds.lease_ms", "3000"},
		{"bounds.unfreeze_ms", "300"},
		{"bounds.origin_window_s", "5"},
		{"bounds.origin_overage", "1.1"},
		{"platform.address", c.storeAddr},
		{"platform.form", "kv"},
		{"platform.writes_per_s", "400"},
		{"platform.reads_per_s", "2000"},
		{"platform.history_s", "20"},
		{"platform.value_bytes", "1048576"},
		{"platform.ttl_min_ms", "1000"},
	}...)
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "%s=%s\n", l[0], l[1])
	}
	return b.String()
}

// start starts the process of a node with the command of the deploy file.
func (c *cluster) start(n *node) error {
	if err := os.WriteFile(n.settingsPath, []byte(c.settings(n)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(n.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(c.binary, "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "ALMONDTURN_SETTINGS=" + n.settingsPath}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	c.rec.log("process %d is started for %s", cmd.Process.Pid, n.name)
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		c.rec.log("process %d of %s has ended: %v", cmd.Process.Pid, n.name, err)
		close(exited)
	}()
	return nil
}

// stopOnSignal ends all processes if this one is to end before its time.
func (c *cluster) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	<-signals
	c.stop()
	os.Exit(couldntRun)
}

// stop ends all processes and waits for their ends.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		if n.cmd == nil {
			continue
		}
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
}

// isReady asks a node whether it takes requesters, as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all started nodes are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range c.nodes {
		for n.cmd != nil && !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// keepAsking asks each node once a second whether it is ready.
func (c *cluster) keepAsking() {
	for {
		time.Sleep(time.Second)
		for _, n := range c.nodes {
			go n.isReady()
		}
	}
}
