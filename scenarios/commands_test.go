package scenarios

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"almondturn/fleet"
	"almondturn/pkg/localcluster"
	"almondturn/platform/standin"
)

const (
	defaultTokens  = 8
	defaultTimeout = 20 * time.Second
)

// newCalls returns the calls that a call, book or begin command describes.
// Without the option node they are spread over all nodes.
func newCalls(ts *testscript.TestScript, d *deployment, opts map[string]string) []*call {
	count := intOption(ts, opts, "n", 1)
	var calls []*call
	for i := range count {
		node := fleet.NodeID(opts["node"])
		if node == "" {
			node = d.NodeIDs()[i%len(d.NodeIDs())]
		}
		c := &call{
			node:           node,
			model:          opts["model"],
			idempotencyKey: opts["key"],
			method:         "POST",
			maxTokens:      intOption(ts, opts, "tokens", defaultTokens),
			timeout:        durationOption(ts, opts, "timeout", defaultTimeout),
		}
		if m := opts["method"]; m != "" {
			c.method = m
		}
		calls = append(calls, c)
	}
	return calls
}

// sendConcurrently sends all calls at the same time and waits for their
// responses.
func sendConcurrently(d *deployment, calls []*call) {
	ctx, cancel := commandContext()
	defer cancel()
	var wg sync.WaitGroup
	for _, c := range calls {
		wg.Go(func() { d.callers.send(ctx, c) })
	}
	wg.Wait()
}

// requireCodes fails the script unless every call ended with one of the codes in
// want, which are separated by "|".
func requireCodes(ts *testscript.TestScript, calls []*call, want string) {
	codes := map[string]int{}
	for _, c := range calls {
		codes[c.code]++
	}
	ts.Logf("calls by code: %v", codes)
	for _, c := range calls {
		if !slices.Contains(strings.Split(want, "|"), c.code) {
			ts.Fatalf("a request through %s (%s%s) ended with code %s (run %q, status %d, %d events), want %s", c.node, c.model, c.idempotencyKey, c.code, c.reportedRun, c.status, c.eventCount, want)
		}
	}
}

const callUsage = "call|book CODE[|CODE] [n=1] [node=ID] [model=M] [key=K] [tokens=8] [timeout=20s] [method=POST]"

// cmdCall: call CODE[|CODE] model=M [OPTION]... sends requests for a model and waits
// for their responses; callUsage lists the options.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := parseOptions(args)
	requireUsage(ts, len(words) == 1 && opts["model"] != "", callUsage)
	d := scriptStateOf(ts).deployment
	calls := newCalls(ts, d, opts)
	sendConcurrently(d, calls)
	requireCodes(ts, calls, words[0])
}

// cmdBook: book CODE[|CODE] [OPTION]... sends bookings to the plain service and waits
// for their responses; callUsage lists the options.
func cmdBook(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := parseOptions(args)
	requireUsage(ts, len(words) == 1 && opts["model"] == "", callUsage)
	d := scriptStateOf(ts).deployment
	calls := newCalls(ts, d, opts)
	sendConcurrently(d, calls)
	requireCodes(ts, calls, words[0])
}

// cmdBegin: begin NAME [OPTION]... sends requests in the background, bookings without
// the option model; cmdFinish waits for them by name. callUsage lists the options.
func cmdBegin(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := parseOptions(args)
	requireUsage(ts, len(words) == 1, "begin NAME, with the options of "+callUsage)
	s := scriptStateOf(ts)
	calls := newCalls(ts, s.deployment, opts)
	done := make(chan []*call, 1)
	s.backgroundCalls[words[0]] = done
	go func() {
		sendConcurrently(s.deployment, calls)
		done <- calls
	}()
}

// cmdFinish: finish NAME CODE[|CODE] waits for the requests of a begin command.
func cmdFinish(ts *testscript.TestScript, _ bool, args []string) {
	requireUsage(ts, len(args) == 2, "finish NAME CODE[|CODE]")
	s := scriptStateOf(ts)
	done := s.backgroundCalls[args[0]]
	requireUsage(ts, done != nil, "finish NAME CODE[|CODE], where NAME is that of a begin command")
	delete(s.backgroundCalls, args[0])
	requireCodes(ts, <-done, args[1])
}

// cmdNode: node kill|stop|start ID... Nodes are stopped concurrently.
func cmdNode(ts *testscript.TestScript, _ bool, args []string) {
	requireUsage(ts, len(args) >= 2, "node kill|stop|start ID...")
	d := scriptStateOf(ts).deployment
	var wg sync.WaitGroup
	for _, id := range args[1:] {
		switch args[0] {
		case "kill":
			d.KillNode(fleet.NodeID(id))
		case "stop":
			wg.Go(func() { d.StopNode(fleet.NodeID(id)) })
		case "start":
			ts.Check(d.StartNode(fleet.NodeID(id)))
		default:
			ts.Fatalf("unknown action %q", args[0])
		}
	}
	wg.Wait()
}

// storeFaults maps the arguments of the platform command to faults of the
// key-value service.
var storeFaults = map[string]standin.Fault{
	"up": standin.Healthy, "down": standin.DropConnections, "busy": standin.Busy, "limited": standin.RateLimited, "losing": standin.DropWriteResponses,
}

// cmdPlatform: platform up|down|busy|limited|losing|compact|copy|restore|restore-cut changes
// the state of the key-value service, compacts its history, copies it, or restores the last
// copy: restore leaves waiting watches without a response, and restore-cut closes all
// connections and expires the leases.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	const usage = "platform up|down|busy|limited|losing|compact|copy|restore|restore-cut"
	requireUsage(ts, len(args) == 1, usage)
	s := scriptStateOf(ts)
	store := s.deployment.Store
	switch args[0] {
	case "compact":
		store.Compact()
		return
	case "copy":
		s.storeCopy = store.Copy()
		return
	case "restore":
		store.Restore(s.storeCopy, standin.RestoreOptions{})
		return
	case "restore-cut":
		store.Restore(s.storeCopy, standin.RestoreOptions{ExpireLeases: true, CutConnections: true})
		return
	}
	f, ok := storeFaults[args[0]]
	requireUsage(ts, ok, usage)
	store.SetFault(f)
}

// targetFaults maps the FAULT argument of the target command to faults of
// targets.
var targetFaults = map[string]standin.EngineFault{
	"full": standin.Full, "lose": standin.DropResponse, "cut": standin.BreakStream, "late": standin.DelayOrders,
	"lose-orders": standin.DropOrderResponses, "crossed": standin.MismatchedResponse, "second": standin.DuplicateResponse, "fail": standin.ServerError, "mute": standin.NoResponse,
}

// cmdTarget: target restart|leave|well|FAULT ID|engines|plains [n=N] acts on one
// target or on all of a kind, and does nothing for an identifier that no target has.
// A fault applies to the next n requests or orders, and without n to all of them.
// well removes the fault.
func cmdTarget(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := parseOptions(args)
	requireUsage(ts, len(words) == 2, "target restart|leave|well|FAULT ID|engines|plains [n=N]")
	d := scriptStateOf(ts).deployment
	for _, e := range d.targetsNamed(words[1]) {
		switch words[0] {
		case "restart":
			e.Restart()
		case "leave":
			e.SetDraining()
			e.Register(d.Store)
		case "well":
			e.SetFault(standin.EngineHealthy)
		default:
			f, ok := targetFaults[words[0]]
			requireUsage(ts, ok, "target FAULT ID|engines|plains [n=N], where FAULT is a key of targetFaults")
			e.SetFaults(f, intOption(ts, opts, "n", -1))
		}
	}
}

// targetsNamed returns the target with the identifier name, or all of a kind if
// name is "engines" or "plains". It returns nil if no target has the name.
func (d *deployment) targetsNamed(name string) []*standin.Engine {
	switch name {
	case "engines":
		return slices.Collect(maps.Values(d.Engines))
	case "plains":
		return slices.Collect(maps.Values(d.PlainTargets))
	}
	var found []*standin.Engine
	for _, byID := range []map[string]*standin.Engine{d.Engines, d.PlainTargets} {
		if e := byID[name]; e != nil {
			found = append(found, e)
		}
	}
	return found
}

// cmdRelay: relay silence|cut|refuse|accept NAME... changes the fault proxy in
// front of a target, or in front of the key-value service if NAME is "platform".
// silence stalls the open connections and cut closes them; new connections work.
// refuse closes the open connections and refuses new ones until accept.
func cmdRelay(ts *testscript.TestScript, _ bool, args []string) {
	requireUsage(ts, len(args) >= 2, "relay silence|cut|refuse|accept NAME...")
	for _, name := range args[1:] {
		proxy, ok := scriptStateOf(ts).deployment.Proxy(name)
		requireUsage(ts, ok, "relay silence|cut|refuse|accept NAME..., where NAME is a target or platform")
		switch args[0] {
		case "silence":
			proxy.StallConns()
		case "cut":
			proxy.CloseConns()
		case "refuse":
			proxy.SetRefuse(true)
			proxy.CloseConns()
		case "accept":
			proxy.SetRefuse(false)
		default:
			ts.Fatalf("unknown action %q", args[0])
		}
	}
}

// cmdLimit: limit MODEL n=N changes the model's replica limit and waits until all
// nodes have it in force.
func cmdLimit(ts *testscript.TestScript, _ bool, args []string) {
	_, opts := parseOptions(args)
	requireUsage(ts, len(args) == 2 && opts["n"] != "", "limit MODEL n=N")
	ctx, cancel := commandContext()
	defer cancel()
	ts.Check(scriptStateOf(ts).deployment.setReplicaLimit(ctx, args[0], intOption(ts, opts, "n", 0)))
}

// cmdAwait waits for a condition: await serving | await ready |
// await loaded MODEL n=N | await running n=N | await taken n=N
// ready means that every running node is ready. serving means in addition that the
// nodes know all targets, have the settings of all teams in force and reach an owner
// of every zone that has a running node (AwaitServing). loaded is the exact number of
// engines that have the model loaded or are loading it, running the minimum of requests
// in progress at engines, taken the minimum in progress at nodes.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := parseOptions(args)
	requireUsage(ts, len(words) >= 1, "await serving|ready|loaded MODEL n=N|running n=N|taken n=N")
	d := scriptStateOf(ts).deployment
	ctx, cancel := commandContext()
	defer cancel()
	want := intOption(ts, opts, "n", 1)
	switch words[0] {
	case "serving":
		ts.Check(d.AwaitServing(ctx, len(d.teams)))
	case "loaded":
		ts.Check(localcluster.WaitUntil(ctx, func() error {
			if have := d.replicas.loadedCount(words[1]); have != want {
				return fmt.Errorf("%s is loaded on %d engines, want %d", words[1], have, want)
			}
			return nil
		}))
	case "running":
		ts.Check(localcluster.WaitUntil(ctx, func() error {
			have := 0
			for _, e := range d.Engines {
				have += e.Running()
			}
			if have < want {
				return fmt.Errorf("%d requests are in progress at engines, want at least %d", have, want)
			}
			return nil
		}))
	case "ready":
		ts.Check(localcluster.WaitUntil(ctx, func() error {
			for _, n := range d.Nodes() {
				if !n.Ready() {
					return fmt.Errorf("node %s is not ready", n.ID())
				}
			}
			return nil
		}))
	case "taken":
		ts.Check(localcluster.WaitUntil(ctx, func() error {
			have := 0
			for _, n := range d.Nodes() {
				have += n.InFlight()
			}
			if have < want {
				return fmt.Errorf("%d requests are in progress at nodes, want at least %d", have, want)
			}
			return nil
		}))
	default:
		ts.Fatalf("unknown condition %q", words[0])
	}
}

// cmdZone: zone cut NAME | zone heal partitions a zone from the other zones and
// from the platform, or heals all partitions.
func cmdZone(ts *testscript.TestScript, _ bool, args []string) {
	d := scriptStateOf(ts).deployment
	switch {
	case len(args) == 2 && args[0] == "cut":
		d.PartitionZone(fleet.Zone(args[1]))
	case len(args) == 1 && args[0] == "heal":
		d.Network.Heal()
	default:
		ts.Fatalf("usage: zone cut NAME | zone heal")
	}
}
