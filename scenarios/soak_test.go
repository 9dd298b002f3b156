package scenarios

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/engine"
	"almondturn/pkg/standin/kv"
	"almondturn/pkg/standin/plain"
	"almondturn/pkg/trial"
)

var (
	soakTime = flag.Duration("soak", 0, "length of the soak; 0 skips it")
	soakSeed = flag.Uint64("soak-seed", 1, "seed of the soak's faults and load")
)

const (
	soakRate      = 25 // requests a second
	soakBookings  = 5  // of them, one in this many is a booking
	soakFaultGap  = 4 * time.Second
	soakFaultTime = 6 * time.Second
	soakTimeout   = 15 * time.Second
	// goroutineSlack is the number of goroutines that may remain after the
	// deployment has stopped.
	goroutineSlack = 50
)

// TestSoak runs random faults at today's size of Derwent:
//
//	go test ./scenarios -run TestSoak -soak 20m -soak-seed 1 -timeout 40m -v
func TestSoak(t *testing.T) {
	if *soakTime == 0 {
		t.Skip("give -soak")
	}
	baseline := runtime.NumGoroutine()
	ctx, cancel := context.WithTimeout(t.Context(), *soakTime+10*time.Minute)
	defer cancel()
	d, err := deploy(ctx, shape{zones: 3, nodes: 3, engines: 7, plains: 1})
	require.NoError(t, err)
	s := &soak{t: t, d: d, rng: rand.New(rand.NewPCG(*soakSeed, 0)), codes: map[string]int{}}
	require.NoError(t, s.apply(ctx))
	s.run(ctx)
	violations := d.judge()
	for _, v := range violations {
		t.Log("violation:", v)
	}
	assert.Empty(t, violations)
	s.report(baseline)
	require.NoError(t, d.Stop(ctx))
	d.callers.http.CloseIdleConnections()
	assert.Eventually(t, func() bool { return runtime.NumGoroutine() <= baseline+goroutineSlack }, 30*time.Second, time.Second)
	t.Logf("goroutines: %d before, %d after", baseline, runtime.NumGoroutine())
}

type soak struct {
	t      *testing.T
	d      *deployment
	rng    *rand.Rand
	models []string
	faults int

	mu    sync.Mutex // guards codes
	codes map[string]int
}

// apply puts the settings of Derwent in force, with the callers' keys of the
// trial.
func (s *soak) apply(ctx context.Context) error {
	files, err := examples.Load("derwent")
	if err != nil {
		return err
	}
	for _, f := range files {
		spec, err := catalog.ParseTeam(f.Name, f.Data)
		if err != nil {
			return err
		}
		for i := range spec.Services {
			s.adopt(spec, &spec.Services[i])
		}
		s.d.teams = append(s.d.teams, spec)
		s.d.noteLimits(spec)
		if err := trial.Wait(ctx, func() error { return s.d.Nodes()[0].ApplyTeam(ctx, spec) }); err != nil {
			return err
		}
	}
	return s.d.AwaitServing(ctx, len(files))
}

// adopt renames a service to the names that the callers of a scenario use.
func (s *soak) adopt(spec *catalog.TeamSpec, svc *catalog.ServiceSpec) {
	key := examples.DevBookingsKey
	svc.Name = "bookings"
	if svc.Kind == fleet.TargetEngine {
		svc.Name, key = "listing", examples.DevListingKey
		for i := range svc.Models {
			m := &svc.Models[i]
			m.MemoryBytes = min(m.MemoryBytes, 3<<30)
			s.models = append(s.models, m.Name+"@"+m.Version)
			for _, a := range m.Adapters {
				s.models = append(s.models, m.Name+"@"+m.Version+"+"+a.Name)
			}
		}
	}
	spec.Callers = []catalog.CallerSpec{{Name: "soak", KeyHash: catalog.HashKey(key), Service: svc.Name}}
}

// run sends load and injects faults until the time is over, then heals all.
func (s *soak) run(ctx context.Context) {
	end := time.Now().Add(*soakTime)
	var wg sync.WaitGroup
	nextFault := time.Now().Add(soakFaultGap)
	for i := 0; time.Now().Before(end); i++ {
		k := s.call(i)
		wg.Go(func() { s.send(ctx, k) })
		if time.Now().After(nextFault) {
			s.inject(ctx, &wg)
			nextFault = time.Now().Add(soakFaultGap)
		}
		time.Sleep(time.Second / soakRate)
	}
	wg.Wait()
}

func (s *soak) call(i int) *call {
	ids := s.d.IDs()
	k := &call{node: ids[s.rng.IntN(len(ids))], method: "POST", tokens: 5 + s.rng.IntN(60), timeout: soakTimeout}
	if i%soakBookings == 0 {
		k.key = fmt.Sprintf("k%d", s.rng.IntN(1+i))
		return k
	}
	// Squaring prefers some models, so that both warm and cold ones occur.
	x := s.rng.Float64()
	k.model = s.models[int(x*x*float64(len(s.models)))]
	return k
}

func (s *soak) send(ctx context.Context, k *call) {
	s.d.callers.do(ctx, k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.codes[k.code]++
}

// inject starts one fault, which ends after soakFaultTime.
func (s *soak) inject(ctx context.Context, wg *sync.WaitGroup) {
	s.faults++
	node := s.d.IDs()[s.rng.IntN(len(s.d.IDs()))]
	g := s.d.Site.Targets[s.rng.IntN(len(s.d.Site.Targets))]
	undo := func() {}
	switch s.rng.IntN(9) {
	case 0:
		s.d.KillNode(node)
		undo = func() { s.start(ctx, node) }
	case 1:
		undo = func() { _ = s.d.StopNode(ctx, node); s.start(ctx, node) }
	case 2:
		s.d.Site.KV.SetFaults(kv.Faults{Down: true})
		undo = func() { s.d.Site.KV.SetFaults(kv.Faults{}) }
	case 3:
		s.d.Site.KV.SetFaults(kv.Faults{LoseAnswers: 5, Delay: 20 * time.Millisecond})
	case 4:
		if e := s.d.Site.Engines[g.ID]; e != nil {
			e.Restart()
		}
	case 5:
		s.targetFaults(g.ID)
		undo = func() { s.targetWell(g.ID) }
	case 6:
		s.d.CutZone(g.Zone)
		undo = s.d.Fabric.Heal
	case 7:
		if r, ok := s.d.Site.Relay(string(g.ID)); ok {
			r.Silence()
		}
	case 8:
		s.leave(g, true)
		undo = func() { s.leave(g, false) }
	}
	wg.Go(func() {
		select {
		case <-time.After(soakFaultTime):
		case <-ctx.Done():
		}
		undo()
	})
}

func (s *soak) start(ctx context.Context, id fleet.NodeID) {
	if s.d.Node(id) == nil {
		assert.NoError(s.t, s.d.StartNode(ctx, id))
	}
}

func (s *soak) targetFaults(id fleet.TargetID) {
	if e := s.d.Site.Engines[id]; e != nil {
		e.SetFaults(engine.Faults{CutStreams: 3, CutAfter: 2, LoseOrderAnswers: 2, FailLoads: 1, WrongID: 1, OrderDelay: 100 * time.Millisecond})
	}
	if p := s.d.Site.Plains[id]; p != nil {
		p.SetFaults(plain.Faults{LoseAnswers: 2, FailCalls: 2, Delay: 50 * time.Millisecond})
	}
}

func (s *soak) targetWell(id fleet.TargetID) {
	if e := s.d.Site.Engines[id]; e != nil {
		e.SetFaults(engine.Faults{})
	}
	if p := s.d.Site.Plains[id]; p != nil {
		p.SetFaults(plain.Faults{})
	}
}

func (s *soak) leave(g fleet.Target, leaving bool) {
	s.d.Site.VMs.Set(platform.VM{ID: string(g.ID), Zone: g.Zone, Addr: g.Addr, Role: platform.VMTarget, Kind: g.Kind, Service: g.Service, Leaving: leaving})
}

func (s *soak) report(baseline int) {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	s.t.Logf("%d requests ended: %v", len(s.d.callers.calls()), s.codes)
	s.t.Logf("%d faults, %d records, heap %d MB, goroutines %d (before: %d)", s.faults, len(s.d.records.all()), m.HeapAlloc>>20, runtime.NumGoroutine(), baseline)
}
