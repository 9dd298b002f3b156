package scenarios

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
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
	soakTime  = flag.Duration("soak", 6*time.Second, "length of the faults of one seed")
	soakSeeds = flag.Int("soak-seeds", 0, "number of further seeds; 0 plays the regression cases alone")
	soakFirst = flag.Uint64("soak-first", 1000, "first of the further seeds")
)

// regressions are the seeds that CI plays: one to show that the soak works,
// and each that ever failed, with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "none; faults of all kinds"},
}

const (
	// soakFaultGap is the mean time between two faults, soakFaultTime the
	// longest time that one lasts: several overlap.
	soakFaultGap  = 700 * time.Millisecond
	soakFaultTime = 3 * time.Second
	// soakSettle is the time without faults at the end in which all nodes have
	// to answer again.
	soakSettle = 30 * time.Second
)

// TestSoak plays random faults against nodes that are processes of their own:
//
//	go test ./scenarios -run TestSoak -soak 20s -soak-seeds 50 -timeout 60m -v
func TestSoak(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) { playSoak(t, r.seed) })
	}
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playSoak(t, seed) })
	}
}

func playSoak(t *testing.T, seed uint64) {
	ctx, cancel := context.WithTimeout(t.Context(), *soakTime+3*limitForAll)
	defer cancel()
	rng := rand.New(rand.NewPCG(seed, 0))
	p := startProcesses(t, shape{zones: 2 + rng.IntN(2), nodes: 1 + rng.IntN(3), engines: 1 + rng.IntN(2), plains: 1})
	require.NoError(t, p.awaitAnswers(ctx, "tea-small@1"))
	s := &soak{processes: p, rng: rng}
	stopLoad := make(chan struct{})
	loaded := p.load(ctx, stopLoad)
	s.run(ctx)
	settled, cancelSettle := context.WithTimeout(ctx, soakSettle)
	defer cancelSettle()
	assert.NoError(t, p.awaitAnswers(settled, "tea-small@1"), "all nodes serve again after the faults")
	close(stopLoad)
	loaded.Wait()
	p.report()
	violations := p.judge()
	for _, v := range violations {
		t.Log("violation:", v)
	}
	if len(violations) > 0 || t.Failed() {
		t.Logf("faults:\n%v", s.log)
	}
	assert.Empty(t, violations)
}

// soak injects faults that overlap.
type soak struct {
	*processes
	rng  *rand.Rand
	log  []string
	undo sync.WaitGroup
}

// run injects faults until the time is over, and takes them all back.
func (s *soak) run(ctx context.Context) {
	began := time.Now()
	for time.Since(began) < *soakTime {
		pause(ctx, time.Duration(s.rng.ExpFloat64()*float64(soakFaultGap)))
		lasts := time.Duration(s.rng.Float64() * float64(soakFaultTime))
		name, undo := s.inject(ctx)
		s.log = append(s.log, fmt.Sprintf("%.1f s: %s for %s\n", time.Since(began).Seconds(), name, lasts))
		s.undo.Go(func() {
			pause(ctx, lasts)
			undo()
		})
	}
	s.undo.Wait()
	for _, id := range s.ids {
		s.start(id)
	}
}

// inject starts one fault and returns how it ends.
func (s *soak) inject(ctx context.Context) (name string, undo func()) {
	id := s.ids[s.rng.IntN(len(s.ids))]
	switch s.rng.IntN(12) {
	case 0:
		_ = s.end(id, syscall.SIGKILL)
		return "kill " + string(id), func() { s.start(id) }
	case 1:
		done := make(chan struct{})
		go func() { _ = s.end(id, syscall.SIGTERM); close(done) }()
		return "stop " + string(id), func() { <-done; s.start(id) }
	case 2:
		return "pause " + string(id), s.pause(id)
	case 3:
		s.Store.SetFault([]standin.Fault{standin.DropConnections, standin.Busy, standin.RateLimited, standin.DropWriteResponses}[s.rng.IntN(4)])
		return "key-value service", func() { s.Store.SetFault(standin.Healthy) }
	case 4:
		return "compact", s.Store.Compact
	case 5:
		s.storeRelays[id].SetRefuse(true)
		s.storeRelays[id].CloseConns()
		return "cut off from the key-value service: " + string(id), func() { s.storeRelays[id].SetRefuse(false) }
	case 6:
		s.storeRelays[id].StallConns()
		s.innerRelays[id].StallResponses()
		return "silent connections of " + string(id), func() {}
	case 7:
		s.innerRelays[id].SetRefuse(true)
		s.innerRelays[id].CloseConns()
		return "cut off from other nodes: " + string(id), func() { s.innerRelays[id].SetRefuse(false) }
	case 8:
		s.innerRelays[id].SetDelay(80 * time.Millisecond)
		s.storeRelays[id].SetDelay(80 * time.Millisecond)
		return "slow connections of " + string(id), func() { s.innerRelays[id].SetDelay(0); s.storeRelays[id].SetDelay(0) }
	case 9:
		return s.targetConnections()
	case 10:
		return s.targetFault()
	default:
		return s.limit(ctx)
	}
}

// target returns a target and its identifier.
func (s *soak) target() (string, *standin.Engine) {
	zone := zoneNames[s.rng.IntN(len(s.zones()))]
	id := fmt.Sprintf("engine-%s-1", zone)
	if s.rng.IntN(3) == 0 {
		id = fmt.Sprintf("plain-%s-1", zone)
		return id, s.PlainTargets[id]
	}
	return id, s.Engines[id]
}

// zones returns the zones of the deployment.
func (s *soak) zones() map[fleet.Zone]bool {
	out := map[fleet.Zone]bool{}
	for _, id := range s.ids {
		out[s.configs[id].Node.Zone] = true
	}
	return out
}

func (s *soak) targetConnections() (string, func()) {
	id, _ := s.target()
	r, _ := s.Proxy(id)
	switch s.rng.IntN(3) {
	case 0:
		r.StallConns()
		return "silent connections of " + id, func() {}
	case 1:
		r.CloseConns()
		return "reset connections of " + id, func() {}
	default:
		r.SetDelay(50 * time.Millisecond)
		return "slow connections of " + id, func() { r.SetDelay(0) }
	}
}

func (s *soak) targetFault() (string, func()) {
	id, e := s.target()
	if s.rng.IntN(4) == 0 {
		e.Restart()
		return "restart " + id, func() {}
	}
	faults := []standin.EngineFault{
		standin.Full, standin.DropResponse, standin.BreakStream, standin.ServerError, standin.DelayOrders, standin.DropOrderResponses, standin.MismatchedResponse, standin.DuplicateResponse,
	}
	f := faults[s.rng.IntN(len(faults))]
	e.SetFaults(f, 1+s.rng.IntN(4))
	return fmt.Sprintf("fault %d of %s", f, id), func() { e.SetFault(standin.EngineHealthy) }
}

// limit changes a limit; it may fail while the service is away.
func (s *soak) limit(ctx context.Context) (string, func()) {
	m := &s.teams[len(s.teams)-1].Services[0].Models[0]
	team := s.teams[len(s.teams)-1]
	before := m.MaxReplicas
	m.MaxReplicas = 1 + s.rng.IntN(2)
	s.noteLimits(team)
	changed := *team
	err := s.ApplyTeam(ctx, &changed)
	return fmt.Sprintf("limit of %s from %d to %d (%v)", m.Name, before, m.MaxReplicas, err), func() {}
}
