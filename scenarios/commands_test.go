package scenarios

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"almondturn/fleet"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/engine"
	"almondturn/pkg/standin/kv"
	"almondturn/pkg/standin/plain"
	"almondturn/pkg/trial"
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
			node = d.IDs()[i%len(d.IDs())]
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
	ctx, cancel := bounded()
	defer cancel()
	for _, id := range args[1:] {
		switch args[0] {
		case "kill":
			d.KillNode(fleet.NodeID(id))
		case "stop":
			ts.Check(d.StopNode(ctx, fleet.NodeID(id)))
		case "start":
			ts.Check(d.StartNode(ctx, fleet.NodeID(id)))
		default:
			ts.Fatalf("unknown action %q", args[0])
		}
	}
}

// cmdPlatform: platform up|down|silent|remember|older [lose=N] [delay=D]
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := options(args)
	mustUse(ts, len(words) == 1, "platform up|down|silent|remember|older [lose=N] [delay=D]")
	d := get(ts).d
	f := kv.Faults{LoseAnswers: number(ts, opts, "lose", 0), Delay: duration(ts, opts, "delay", 0)}
	switch words[0] {
	case "up":
		d.Site.KV.SetFaults(f)
	case "down":
		d.Site.KV.SetFaults(kv.Faults{Down: true})
	case "silent":
		d.Site.KV.SetFaults(kv.Faults{SilentWatches: true})
	case "remember":
		d.older = d.Site.KV.Snapshot()
	case "older":
		d.Site.KV.Restore(d.older)
	default:
		ts.Fatalf("unknown state %q", words[0])
	}
}

// cmdEngine: engine restart|well|leave|faults ID|all [name=value]...
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := options(args)
	mustUse(ts, len(words) == 2, "engine restart|well|leave|faults ID|all [cut=N] [after=N] [lose=N] [fail=N] [crossed=N] [silent=1] [stall=1] [delay=D]")
	for id, e := range get(ts).d.Site.Engines {
		if words[1] != "all" && words[1] != string(id) {
			continue
		}
		switch words[0] {
		case "restart":
			e.Restart()
		case "leave":
			e.SetLeaving(true)
		case "well":
			e.SetFaults(engine.Faults{})
		case "faults":
			e.SetFaults(engine.Faults{
				CutStreams:       number(ts, opts, "cut", 0),
				CutAfter:         number(ts, opts, "after", 0),
				LoseOrderAnswers: number(ts, opts, "lose", 0),
				FailLoads:        number(ts, opts, "fail", 0),
				WrongID:          number(ts, opts, "crossed", 0),
				Silent:           opts["silent"] != "",
				StallLoads:       opts["stall"] != "",
				OrderDelay:       duration(ts, opts, "delay", 0),
			})
		default:
			ts.Fatalf("unknown action %q", words[0])
		}
	}
}

// cmdPlain: plain faults ID|all [lose=N] [fail=N] [silent=1] [delay=D]
func cmdPlain(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := options(args)
	mustUse(ts, len(words) == 2 && words[0] == "faults", "plain faults ID|all [lose=N] [fail=N] [silent=1] [delay=D]")
	for id, p := range get(ts).d.Site.Plains {
		if words[1] == "all" || words[1] == string(id) {
			p.SetFaults(plain.Faults{
				LoseAnswers: number(ts, opts, "lose", 0),
				FailCalls:   number(ts, opts, "fail", 0),
				Silent:      opts["silent"] != "",
				Delay:       duration(ts, opts, "delay", 0),
			})
		}
	}
}

// cmdRelay: relay silence|cut|refuse|accept NAME...; names are targets and "platform"
func cmdRelay(ts *testscript.TestScript, _ bool, args []string) {
	mustUse(ts, len(args) >= 2, "relay silence|cut|refuse|accept NAME...")
	for _, name := range args[1:] {
		r, ok := get(ts).d.Site.Relay(name)
		mustUse(ts, ok, "relay: a target or platform")
		switch args[0] {
		case "silence":
			r.Silence()
		case "cut":
			r.Cut()
		case "refuse":
			r.SetRefuse(true)
			r.Cut()
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

// cmdLeave: leave TARGET marks the VM as leaving in the VM list.
func cmdLeave(ts *testscript.TestScript, _ bool, args []string) {
	mustUse(ts, len(args) == 1, "leave TARGET")
	s := get(ts).d.Site
	for _, t := range s.Targets {
		if string(t.ID) == args[0] {
			s.VMs.Set(platform.VM{ID: args[0], Zone: t.Zone, Addr: t.Addr, Role: platform.VMTarget, Kind: t.Kind, Service: t.Service, Leaving: true})
		}
	}
}

// cmdAwait: await serving | await loaded MODEL n=N | await started n=N
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := options(args)
	mustUse(ts, len(words) >= 1, "await serving|loaded MODEL n=N|running n=N")
	d := get(ts).d
	ctx, cancel := bounded()
	defer cancel()
	want := number(ts, opts, "n", 1)
	switch words[0] {
	case "serving":
		ts.Check(d.AwaitServing(ctx, len(d.teams)))
	case "loaded":
		key, err := model(words[1])
		ts.Check(err)
		ts.Check(trial.Wait(ctx, func() error {
			if have := d.loaded(key); have != want {
				return fmt.Errorf("%s is loaded on %d engines, not %d", key, have, want)
			}
			return nil
		}))
	case "running":
		ts.Check(trial.Wait(ctx, func() error {
			have := 0
			for _, e := range d.Site.Engines {
				have += e.State().Running
			}
			if have < want {
				return fmt.Errorf("%d requests run, not %d", have, want)
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
		d.CutZone(fleet.Zone(args[1]))
	case len(args) == 1 && args[0] == "heal":
		d.Fabric.Heal()
	default:
		ts.Fatalf("usage: zone cut NAME | zone heal")
	}
}
