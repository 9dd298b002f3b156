package scenarios

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/platform/standin"
)

var (
	soakDuration  = flag.Duration("soak", 6*time.Second, "time during which one seed injects faults")
	soakSeeds     = flag.Int("soak-seeds", 0, "number of additional seeds; 0 runs only the regression seeds")
	soakFirstSeed = flag.Uint64("soak-first", 1000, "first of the additional seeds")
)

// regressionSeeds are the seeds that CI runs: one that shows that the soak test
// works, and every seed that has failed, with its cause.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "none; faults of all kinds"},
	{5007, "of the test: both nodes that had settings in force were killed before they could write them again after a restore"},
	{9310, "a pause was forgotten when the list showed a new incarnation of the target, probably: restarts of engine-kingston-1 and a restore"},
	{2033, "the outcome of a booking was recorded later, as that of another request, probably: it ran again"},
	{6007, "three restores within six seconds: idempotency keys were claimed in the span that was lost, and their requests ran again"},
}

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	// maxFaultDuration is the longest duration of a fault. It is longer, so that
	// faults overlap.
	meanFaultInterval = 700 * time.Millisecond
	maxFaultDuration  = 3 * time.Second
	// oneModelMB is an engine's memory in which either model fits, but not both, so
	// that the owners of the zones send many orders.
	oneModelMB = 7 << 10
	// recoveryTimeout is the time after the last fault within which all nodes have
	// to serve requests again.
	recoveryTimeout = 30 * time.Second
)

// TestSoak injects random faults that overlap, while requests are sent through
// nodes that are separate processes. It guards against faults whose combination
// violates a guarantee, or after which a node does not recover.
//
//	go test ./scenarios -run TestSoak -soak 20s -soak-seeds 50 -timeout 60m -v
func TestSoak(t *testing.T) {
	for _, r := range regressionSeeds {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) { runSoak(t, r.seed) })
	}
	for i := range *soakSeeds {
		seed := *soakFirstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// runSoak runs the soak test with one seed.
func runSoak(t *testing.T, seed uint64) {
	ctx, cancel := context.WithTimeout(t.Context(), *soakDuration+3*waitTimeout)
	defer cancel()
	rng := rand.New(rand.NewPCG(seed, 0))
	p := startProcessCluster(t, deploymentOptions{
		zones: 2 + rng.IntN(2), nodesPerZone: 1 + rng.IntN(3), enginesPerZone: 1 + rng.IntN(2), plainPerZone: 1, engineMemoryMB: []int{0, oneModelMB}[rng.IntN(2)],
	})
	require.NoError(t, p.awaitOK(ctx, "tea-small@1"))
	injector := &faultInjector{processCluster: p, rng: rng, settings: settingsLog{inForce: map[*exec.Cmd]uint64{}}}
	stopLoad := make(chan struct{})
	load := p.startLoad(ctx, stopLoad)
	watchCtx, endWatch := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { injector.watchSettings(watchCtx) })
	injector.notices = newNoticeInjector(injector)
	injectCtx, endInjectors := context.WithCancel(ctx)
	var injectors sync.WaitGroup
	injectors.Go(func() { injector.notices.inject(injectCtx, seed) })
	injector.holds = &holdInjector{f: injector}
	injectors.Go(func() { injector.holds.inject(injectCtx, seed) })
	injector.injectFaults(ctx)
	endInjectors()
	injectors.Wait()
	recoveryCtx, cancelRecovery := context.WithTimeout(ctx, recoveryTimeout)
	defer cancelRecovery()
	assert.NoError(t, p.awaitOK(recoveryCtx, "tea-small@1"), "all nodes serve requests again after the faults")
	assert.NoError(t, injector.awaitSettings(recoveryCtx))
	close(stopLoad)
	load.Wait()
	endWatch()
	watch.Wait()
	p.logCodes()
	violations := append(p.findViolations(), injector.settings.violations...)
	violations = append(violations, injector.notices.violations()...)
	for _, v := range violations {
		t.Log("violation:", v)
	}
	if len(violations) > 0 || t.Failed() {
		t.Logf("faults:\n%v\nchanges of settings:\n%v", injector.faultLog, injector.settings.changes)
	}
	assert.Empty(t, violations)
}

// faultInjector injects random faults that overlap.
type faultInjector struct {
	*processCluster
	rng            *rand.Rand
	faultLog       []string
	pendingReverts sync.WaitGroup
	copies         storeCopies
	settings       settingsLog
	notices        *noticeInjector
	holds          *holdInjector
}

// injectFaults injects faults for soakDuration, each of which is reverted after a
// random duration. It then waits until all have been reverted and starts the nodes
// that are not running.
func (f *faultInjector) injectFaults(ctx context.Context) {
	copiesCtx, endCopies := context.WithCancel(ctx)
	defer endCopies()
	go f.copies.takeCopies(copiesCtx, f.Store)
	started := time.Now()
	for time.Since(started) < *soakDuration {
		sleep(ctx, time.Duration(f.rng.ExpFloat64()*float64(meanFaultInterval)))
		faultDuration := time.Duration(f.rng.Float64() * float64(maxFaultDuration))
		name, revert := f.injectFault(ctx)
		f.faultLog = append(f.faultLog, fmt.Sprintf("%.1f s: %s for %s\n", time.Since(started).Seconds(), name, faultDuration))
		f.pendingReverts.Go(func() {
			sleep(ctx, faultDuration)
			revert()
		})
	}
	f.pendingReverts.Wait()
	for _, id := range f.nodeIDs {
		f.startProcess(id)
	}
}

// injectFault injects one fault and returns its name, and a function that reverts
// it. The function does nothing after a fault that is over at once. The compaction
// of the key-value service and the change of a limit take place only when the function is
// called, and a restore from a copy some time after it.
func (f *faultInjector) injectFault(ctx context.Context) (name string, revert func()) {
	id := f.nodeIDs[f.rng.IntN(len(f.nodeIDs))]
	switch f.rng.IntN(13) {
	case 0:
		f.notices.nodeEnds(id)
		_ = f.signalAndWait(id, syscall.SIGKILL)
		return "kill " + string(id), func() { f.startProcess(id) }
	case 1:
		f.notices.nodeEnds(id)
		done := make(chan struct{})
		go func() { _ = f.signalAndWait(id, syscall.SIGTERM); close(done) }()
		return "stop " + string(id), func() { <-done; f.startProcess(id) }
	case 2:
		f.notices.nodeEnds(id)
		resumed, resume := f.holds.suspend(), f.suspendProcess(id)
		return "suspend " + string(id), func() { resume(); resumed() }
	case 3:
		f.Store.SetFault([]standin.Fault{standin.DropConnections, standin.Busy, standin.RateLimited, standin.DropWriteResponses}[f.rng.IntN(4)])
		return "fault of the key-value service", func() { f.Store.SetFault(standin.Healthy) }
	case 4:
		return "compact the key-value service", f.Store.Compact
	case 5:
		f.notices.nodeIsCut(id)
		f.storeProxies[id].SetRefuse(true)
		f.storeProxies[id].CloseConns()
		return "partitioned from the key-value service: " + string(id), func() { f.storeProxies[id].SetRefuse(false) }
	case 6:
		f.notices.nodeIsCut(id)
		f.storeProxies[id].StallConns()
		f.peerProxies[id].StallResponses()
		return "stalled connections of " + string(id), func() {}
	case 7:
		f.notices.nodeIsCut(id)
		f.peerProxies[id].SetRefuse(true)
		f.peerProxies[id].CloseConns()
		return "partitioned from other nodes: " + string(id), func() { f.peerProxies[id].SetRefuse(false) }
	case 8:
		f.notices.nodeIsCut(id)
		f.peerProxies[id].SetDelay(80 * time.Millisecond)
		f.storeProxies[id].SetDelay(80 * time.Millisecond)
		return "slow connections of " + string(id), func() { f.peerProxies[id].SetDelay(0); f.storeProxies[id].SetDelay(0) }
	case 9:
		return f.injectConnectionFault()
	case 10:
		return f.injectTargetFault()
	case 11:
		return f.restoreStore(ctx)
	default:
		limit := 1 + f.rng.IntN(2)
		return fmt.Sprintf("limit of %d through %s", limit, id), func() { f.changeLimit(ctx, id, limit) }
	}
}

// randomTarget returns the identifier of the first engine or plain target of a
// random zone, and the target.
func (f *faultInjector) randomTarget() (string, *standin.Engine) {
	zone := zoneNames[f.rng.IntN(len(f.usedZones()))]
	id := fmt.Sprintf("engine-%s-1", zone)
	if f.rng.IntN(3) == 0 {
		id = fmt.Sprintf("plain-%s-1", zone)
		return id, f.PlainTargets[id]
	}
	return id, f.Engines[id]
}

// usedZones returns the zones that have nodes.
func (f *faultInjector) usedZones() map[fleet.Zone]bool {
	zones := map[fleet.Zone]bool{}
	for _, id := range f.nodeIDs {
		zones[f.configs[id].Node.Zone] = true
	}
	return zones
}

// injectConnectionFault stalls, closes or slows down connections to a target.
func (f *faultInjector) injectConnectionFault() (string, func()) {
	id, _ := f.randomTarget()
	proxy, _ := f.Proxy(id)
	f.notices.targetIsCut(id)
	switch f.rng.IntN(3) {
	case 0:
		proxy.StallConns()
		return "stalled connections of " + id, func() {}
	case 1:
		proxy.CloseConns()
		return "reset connections of " + id, func() {}
	default:
		proxy.SetDelay(targetProxyDelay)
		return "slow connections of " + id, func() { proxy.SetDelay(0) }
	}
}

// injectTargetFault restarts a target, or makes it fail some requests or orders.
func (f *faultInjector) injectTargetFault() (string, func()) {
	id, engine := f.randomTarget()
	if f.rng.IntN(4) == 0 {
		engine.Restart()
		return "restart " + id, func() {}
	}
	faults := []standin.EngineFault{
		standin.Full, standin.DropResponse, standin.BreakStream, standin.ServerError, standin.DelayOrders, standin.DropOrderResponses, standin.MismatchedResponse, standin.DuplicateResponse,
	}
	fault := faults[f.rng.IntN(len(faults))]
	engine.SetFaults(fault, 1+f.rng.IntN(4))
	return fmt.Sprintf("fault %d of %s", fault, id), func() { engine.SetFault(standin.EngineHealthy) }
}
