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

// prepare makes the calls that a call, book or begin command describes.
func prepare(ts *testscript.TestScript, d *deployment, opts map[string]string) []*call {
	n := number(ts, opts, "n", 1)
	var out []*call
	for i := range n {
		node := fleet.NodeID(opts["node"])
		if node == "" {
			node = d.NodeIDs()[i%len(d.NodeIDs())]
		}
		k := &call{
			node:    node,
			model:   opts["model"],
			key:     opts["key"],
			method:  "POST",
			tokens:  number(ts, opts, "tokens", defaultTokens),
			timeout: duration(ts, opts, "timeout", defaultTimeout),
		}
		if m := opts["method"]; m != "" {
			k.method = m
		}
		out = append(out, k)
	}
	return out
}

// send runs the calls at the same time.
func send(d *deployment, calls []*call) {
	ctx, cancel := bounded()
	defer cancel()
	var wg sync.WaitGroup
	for _, k := range calls {
		wg.Go(func() { d.callers.do(ctx, k) })
	}
	wg.Wait()
}

// expect requires that every call ended with one of the codes.
func expect(ts *testscript.TestScript, calls []*call, want string) {
	codes := map[string]int{}
	for _, k := range calls {
		codes[k.code]++
	}
	ts.Logf("ended: %v", codes)
	for _, k := range calls {
		if !slices.Contains(strings.Split(want, "|"), k.code) {
			ts.Fatalf("a request through %s (%s%s) ended with %s (run %q, status %d, %d events), not %s", k.node, k.model, k.key, k.code, k.run, k.status, k.events, want)
		}
	}
}

const callUsage = "call|book CODE[|CODE] [n=1] [node=ID] [model=M] [key=K] [tokens=8] [timeout=20s] [method=POST]"

// cmdCall sends requests to a model and waits for their ends.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := options(args)
	mustUse(ts, len(words) == 1 && opts["model"] != "", callUsage)
	d := get(ts).d
	calls := prepare(ts, d, opts)
	send(d, calls)
	expect(ts, calls, words[0])
}

// cmdBook sends calls to the plain service.
func cmdBook(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := options(args)
	mustUse(ts, len(words) == 1 && opts["model"] == "", callUsage)
	d := get(ts).d
	calls := prepare(ts, d, opts)
	send(d, calls)
	expect(ts, calls, words[0])
}

// cmdBegin sends requests in the background under a name.
func cmdBegin(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := options(args)
	mustUse(ts, len(words) == 1, "begin NAME "+callUsage)
	s := get(ts)
	calls := prepare(ts, s.d, opts)
	done := make(chan []*call, 1)
	s.pending[words[0]] = done
	go func() {
		send(s.d, calls)
		done <- calls
	}()
}

// cmdFinish waits for requests of begin: finish NAME CODE[|CODE]
func cmdFinish(ts *testscript.TestScript, _ bool, args []string) {
	mustUse(ts, len(args) == 2, "finish NAME CODE[|CODE]")
	s := get(ts)
	done := s.pending[args[0]]
	mustUse(ts, done != nil, "finish NAME of a begin")
	delete(s.pending, args[0])
	expect(ts, <-done, args[1])
}

// cmdNode: node kill|stop|start ID...
func cmdNode(ts *testscript.TestScript, _ bool, args []string) {
	mustUse(ts, len(args) >= 2, "node kill|stop|start ID...")
	d := get(ts).d
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

// storeFaults are the states of the key-value service, by their names.
var storeFaults = map[string]standin.Fault{
	"up": standin.Healthy, "down": standin.DropConnections, "busy": standin.Busy, "limited": standin.RateLimited, "losing": standin.DropWriteResponses,
}

// cmdPlatform: platform up|down|busy|limited|losing|compact
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	const usage = "platform up|down|busy|limited|losing|compact"
	mustUse(ts, len(args) == 1, usage)
	store := get(ts).d.Store
	if args[0] == "compact" {
		store.Compact()
		return
	}
	f, ok := storeFaults[args[0]]
	mustUse(ts, ok, usage)
	store.SetFault(f)
}

// targetFaults are the faults of targets, by their names.
var targetFaults = map[string]standin.EngineFault{
	"full": standin.Full, "lose": standin.DropResponse, "cut": standin.BreakStream, "late": standin.DelayOrders,
	"lose-orders": standin.DropOrderResponses, "crossed": standin.MismatchedResponse, "second": standin.DuplicateResponse, "fail": standin.ServerError, "mute": standin.NoResponse,
}

// cmdTarget: target restart|leave|well|FAULT ID|engines|plains [n=N]
func cmdTarget(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := options(args)
	mustUse(ts, len(words) == 2, "target restart|leave|well|FAULT ID|engines|plains [n=N]")
	d := get(ts).d
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
			mustUse(ts, ok, "target: a known fault")
			e.SetFaults(f, number(ts, opts, "n", -1))
		}
	}
}

// targetsNamed returns one target, or all of a kind.
func (d *deployment) targetsNamed(name string) []*standin.Engine {
	switch name {
	case "engines":
		return slices.Collect(maps.Values(d.Engines))
	case "plains":
		return slices.Collect(maps.Values(d.PlainTargets))
	}
	var out []*standin.Engine
	for _, list := range []map[string]*standin.Engine{d.Engines, d.PlainTargets} {
		if e := list[name]; e != nil {
			out = append(out, e)
		}
	}
	return out
}

// cmdRelay: relay silence|cut|refuse|accept NAME...; names are targets and "platform"
func cmdRelay(ts *testscript.TestScript, _ bool, args []string) {
	mustUse(ts, len(args) >= 2, "relay silence|cut|refuse|accept NAME...")
	for _, name := range args[1:] {
		r, ok := get(ts).d.Proxy(name)
		mustUse(ts, ok, "relay: a target or platform")
		switch args[0] {
		case "silence":
			r.StallConns()
		case "cut":
			r.CloseConns()
		case "refuse":
			r.SetRefuse(true)
			r.CloseConns()
		case "accept":
			r.SetRefuse(false)
		default:
			ts.Fatalf("unknown action %q", args[0])
		}
	}
}

// cmdLimit: limit MODEL N changes the model's replica limit.
func cmdLimit(ts *testscript.TestScript, _ bool, args []string) {
	_, opts := options(args)
	mustUse(ts, len(args) == 2 && opts["n"] != "", "limit MODEL n=N")
	ctx, cancel := bounded()
	defer cancel()
	ts.Check(get(ts).d.setLimit(ctx, args[0], number(ts, opts, "n", 0)))
}

// cmdAwait: await serving | await ready | await loaded MODEL n=N | await running n=N | await taken n=N
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := options(args)
	mustUse(ts, len(words) >= 1, "await serving|ready|loaded MODEL n=N|running n=N|taken n=N")
	d := get(ts).d
	ctx, cancel := bounded()
	defer cancel()
	want := number(ts, opts, "n", 1)
	switch words[0] {
	case "serving":
		ts.Check(d.AwaitServing(ctx, len(d.teams)))
	case "loaded":
		ts.Check(localcluster.WaitUntil(ctx, func() error {
			if have := d.replicas.loaded(words[1]); have != want {
				return fmt.Errorf("%s is loaded on %d engines, not %d", words[1], have, want)
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
				return fmt.Errorf("%d requests run, not %d", have, want)
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
				return fmt.Errorf("%d requests are in progress at nodes, not %d", have, want)
			}
			return nil
		}))
	default:
		ts.Fatalf("unknown condition %q", words[0])
	}
}

// cmdZone: zone cut NAME | zone heal
func cmdZone(ts *testscript.TestScript, _ bool, args []string) {
	d := get(ts).d
	switch {
	case len(args) == 2 && args[0] == "cut":
		d.PartitionZone(fleet.Zone(args[1]))
	case len(args) == 1 && args[0] == "heal":
		d.Network.Heal()
	default:
		ts.Fatalf("usage: zone cut NAME | zone heal")
	}
}
