// Package scenarios tests nodes and stand-ins, which communicate over loopback
// sockets. TestScenarios runs the scripts in testdata with all of them in one
// process; each script covers one guarantee or one kind of fault, and docs/PROOF.md
// lists them. TestProcesses and TestSoak run the nodes as separate processes.
package scenarios

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"almondturn/platform/standin"
)

// TestScenarios runs the scripts in testdata.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"deploy":   cmdDeploy,
			"call":     cmdCall,
			"book":     cmdBook,
			"begin":    cmdBegin,
			"finish":   cmdFinish,
			"node":     cmdNode,
			"platform": cmdPlatform,
			"target":   cmdTarget,
			"relay":    cmdRelay,
			"zone":     cmdZone,
			"limit":    cmdLimit,
			"await":    cmdAwait,
			"verdict":  cmdVerdict,

			"ctl":       cmdCtl,
			"ctl-until": cmdCtlUntil,
			"sub":       cmdSub,
		},
		Setup: func(e *testscript.Env) error {
			s := &scriptState{backgroundCalls: map[string]chan []*call{}}
			e.Values[scriptStateKey{}] = s
			e.Defer(s.close)
			return nil
		},
	})
}

// scriptStateKey is the key of the scriptState in the values of a script.
type scriptStateKey struct{}

// scriptState is the deployment of one script, and its background calls by the
// names that the script gave them.
type scriptState struct {
	deployment      *deployment
	backgroundCalls map[string]chan []*call
	storeCopy       *standin.Copy
}

func (s *scriptState) close() {
	if s.deployment == nil {
		return
	}
	s.deployment.Stop()
}

// scriptStateOf returns the state of a script.
func scriptStateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(scriptStateKey{}).(*scriptState)
}

// commandContext returns a context for one command, which ends after waitTimeout.
func commandContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), waitTimeout)
}

// parseOptions splits the arguments of a command into "name=value" options and
// other words.
func parseOptions(args []string) (words []string, opts map[string]string) {
	opts = map[string]string{}
	for _, a := range args {
		if name, value, ok := strings.Cut(a, "="); ok {
			opts[name] = value
		} else {
			words = append(words, a)
		}
	}
	return words, opts
}

// intOption returns the integer value of an option.
func intOption(ts *testscript.TestScript, opts map[string]string, name string, defaultValue int) int {
	text, ok := opts[name]
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// durationOption returns the duration in an option.
func durationOption(ts *testscript.TestScript, opts map[string]string, name string, defaultValue time.Duration) time.Duration {
	text, ok := opts[name]
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

// requireUsage fails the script with a usage message unless ok.
func requireUsage(ts *testscript.TestScript, ok bool, usage string) {
	if !ok {
		ts.Fatalf("usage: %s", usage)
	}
}

// cmdDeploy: deploy [zones=3] [nodes=1] [engines=1] [plains=1] [idle=PRICE]
// [memory=MB] starts a deployment that serves the example teams. Nodes, engines and
// plain targets are counted per zone; PRICE is the idleWeight of deploymentOptions.
func cmdDeploy(ts *testscript.TestScript, _ bool, args []string) {
	_, opts := parseOptions(args)
	s := scriptStateOf(ts)
	ctx, cancel := commandContext()
	defer cancel()
	options := deploymentOptions{
		zones:          intOption(ts, opts, "zones", 3),
		nodesPerZone:   intOption(ts, opts, "nodes", 1),
		enginesPerZone: intOption(ts, opts, "engines", 1),
		plainPerZone:   intOption(ts, opts, "plains", 1),
		engineMemoryMB: intOption(ts, opts, "memory", 0),
		idleWeight:     float64(intOption(ts, opts, "idle", 0)),
	}
	d, err := startDeployment(options)
	ts.Check(err)
	s.deployment = d
	ts.Check(d.serveExampleTeams(ctx, options))
}

// cmdVerdict fails the script if a guarantee was violated. With ! it fails the
// script unless one was.
func cmdVerdict(ts *testscript.TestScript, neg bool, _ []string) {
	d := scriptStateOf(ts).deployment
	violations := d.findViolations()
	for _, v := range violations {
		ts.Logf("violation: %s", v)
	}
	if neg != (len(violations) > 0) {
		ts.Fatalf("%d violations in %d calls", len(violations), len(d.callers.calls()))
	}
}
