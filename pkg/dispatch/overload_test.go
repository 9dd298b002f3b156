package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/target"
)

// batchEngine runs a bounded number of requests at once, each for the same
// time, and queues a few more. It implements Sender for its targets.
type batchEngine struct {
	service time.Duration
	running map[fleet.TargetID]chan struct{}
	queued  map[fleet.TargetID]chan struct{}
}

func newBatchEngine(service time.Duration, places, queue int, ids ...fleet.TargetID) *batchEngine {
	e := &batchEngine{service: service, running: map[fleet.TargetID]chan struct{}{}, queued: map[fleet.TargetID]chan struct{}{}}
	for _, id := range ids {
		e.running[id] = make(chan struct{}, places)
		e.queued[id] = make(chan struct{}, places+queue)
	}
	return e
}

// Do implements Sender.
func (e *batchEngine) Do(ctx context.Context, t fleet.Target, x *target.Exchange, to target.Receiver) error {
	select {
	case e.queued[t.ID] <- struct{}{}:
	default:
		return &target.SendError{Run: fault.RunNo, Refused: true, Status: http.StatusTooManyRequests, Err: errors.New("full")}
	}
	defer func() { <-e.queued[t.ID] }()
	select {
	case e.running[t.ID] <- struct{}{}:
	case <-ctx.Done():
		return &target.SendError{Run: fault.RunNo, Err: ctx.Err()}
	}
	defer func() { <-e.running[t.ID] }()
	if !sleep(ctx, e.service) {
		return &target.SendError{Run: fault.RunUnknown, Err: ctx.Err()}
	}
	return answerOK(ctx, t, x, to)
}

// report writes the engines' load to the directory, as owners do.
func (e *batchEngine) report(dir *fakeDirectory, number uint64) {
	dir.mu.Lock()
	defer dir.mu.Unlock()
	list := append([]Candidate(nil), dir.loaded[testKey]...)
	for i := range list {
		state := *list[i].State
		state.Running = len(e.running[list[i].Target.ID])
		state.Waiting = len(e.queued[list[i].Target.ID]) - state.Running
		list[i].State, list[i].Report = &state, number
	}
	dir.loaded[testKey] = list
}

// overload is one trial: teams send at fixed rates for a while.
type overload struct {
	places   int
	service  time.Duration
	deadline time.Duration
	length   time.Duration
	// rates are requests per second by team.
	rates map[fleet.Team]float64
}

// tally is what became of one team's requests.
type tally struct {
	ok, refused, unknown int
	// late is the longest time beyond the deadline.
	late time.Duration
	// refusals are the times that refusals took.
	refusals []time.Duration
}

func (o overload) run(b testing.TB) map[fleet.Team]*tally {
	m, dir := newMesh(), newFakeDirectory()
	dir.add(candidate("t1", "a", o.places), testKey)
	dir.add(candidate("t2", "a", o.places), testKey)
	e := newBatchEngine(o.service, o.places, 4*o.places, "t1", "t2")
	opts := DefaultOptions()
	var nodes []*testNode
	for i := range 3 {
		nodes = append(nodes, m.start(b, fleet.NodeID(fmt.Sprintf("n%d", i)), "a", opts, dir, e, nil))
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.length)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := uint64(2); sleep(ctx, 100*time.Millisecond); n++ {
			e.report(dir, n)
		}
	})
	var mu sync.Mutex
	out := map[fleet.Team]*tally{}
	for team, rate := range o.rates {
		out[team] = &tally{}
		wg.Go(func() {
			began := time.Now()
			for sent := 0; ; {
				if !sleep(ctx, time.Millisecond) {
					return
				}
				for due := int(time.Since(began).Seconds() * rate); sent < due; sent++ {
					n := nodes[sent%len(nodes)]
					wg.Go(func() { o.one(n, team, &mu, out[team]) })
				}
			}
		})
	}
	wg.Wait()
	return out
}

func (o overload) one(n *testNode, team fleet.Team, mu *sync.Mutex, t *tally) {
	r := modelRequest(o.deadline)
	r.Identity.Team = team
	began := time.Now()
	err := n.Do(context.Background(), r, discardSink{})
	took := time.Since(began)
	mu.Lock()
	defer mu.Unlock()
	t.late = max(t.late, took-o.deadline)
	switch {
	case err == nil:
		t.ok++
	case fault.KindOf(err).Answer().Run == fault.RunNo:
		t.refused++
		t.refusals = append(t.refusals, took)
	default:
		t.unknown++
	}
}

// BenchmarkGoodput reports the answers per second at multiples of the
// capacity of two engines, as a share of the capacity.
func BenchmarkGoodput(b *testing.B) {
	o := overload{places: 8, service: 40 * time.Millisecond, deadline: 600 * time.Millisecond, length: 3 * time.Second}
	capacity := float64(2*o.places) / o.service.Seconds()
	for _, times := range []float64{0.5, 1, 2, 3, 5} {
		b.Run(fmt.Sprintf("load=%g", times), func(b *testing.B) {
			for b.Loop() {
				o.rates = map[fleet.Team]float64{"a": capacity * times}
				t := o.run(b)["a"]
				b.ReportMetric(float64(t.ok)/o.length.Seconds()/capacity, "goodput")
				b.ReportMetric(float64(t.unknown), "unknown")
				b.ReportMetric(float64(t.late.Milliseconds()), "late-ms")
				b.ReportMetric(float64(percentile(t.refusals, 0.5).Milliseconds()), "refused-p50-ms")
			}
		})
	}
}

// BenchmarkFairness sets one greedy team at three times the capacity beside
// two teams at a quarter each, which fits their share.
func BenchmarkFairness(b *testing.B) {
	o := overload{places: 8, service: 40 * time.Millisecond, deadline: 600 * time.Millisecond, length: 3 * time.Second}
	capacity := float64(2*o.places) / o.service.Seconds()
	for b.Loop() {
		o.rates = map[fleet.Team]float64{"greedy": 3 * capacity, "small1": capacity / 4, "small2": capacity / 4}
		for team, t := range o.run(b) {
			b.ReportMetric(float64(t.ok)/o.length.Seconds()/o.rates[team], string(team)+"-served")
		}
	}
}

func percentile(d []time.Duration, p float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[int(p*float64(len(d)-1))]
}
