package scenarios

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/platform/standin"
)

// Bounds of what targets may get after they have said something about themselves, as the
// users of the platform state them.
const (
	noticeDrainTime  = 2 * time.Second
	noticePause      = time.Second
	noticePauseGrace = 500 * time.Millisecond
	maxInPause       = 2
	noticeLimit      = 2
	limitGrace       = 3 * time.Second
	limitWindow      = 4 * time.Second
	maxInLimitWindow = 1.5*noticeLimit*4 + 5
	// meanNoticeInterval is the mean time between two targets that say something.
	meanNoticeInterval = 1500 * time.Millisecond
)

// Kinds of notice.
const (
	saysItLeaves = iota
	asksForAPause
	namesALimit
	noticeKinds
)

// notice is the time in which a target said something about itself.
type notice struct {
	kind     int
	target   string
	from, to time.Time
}

// noticeInjector makes targets say that they leave, ask for a pause or name a limit, and
// judges what reaches them.
type noticeInjector struct {
	f *faultInjector

	mu      sync.Mutex // guards all below
	notices []notice
	// ended and cut hold when each node was killed, stopped or suspended, and when its
	// connections had a fault.
	ended, cut map[fleet.NodeID][]time.Time
	// targetCut holds when connections of each target had a fault.
	targetCut map[string][]time.Time
}

// newNoticeInjector returns an injector that has seen no faults.
func newNoticeInjector(f *faultInjector) *noticeInjector {
	return &noticeInjector{f: f, ended: map[fleet.NodeID][]time.Time{}, cut: map[fleet.NodeID][]time.Time{}, targetCut: map[string][]time.Time{}}
}

// nodeEnds records that a node is killed, stopped or suspended.
func (n *noticeInjector) nodeEnds(id fleet.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended[id] = append(n.ended[id], time.Now())
}

// nodeIsCut records that connections of a node have a fault.
func (n *noticeInjector) nodeIsCut(id fleet.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = append(n.cut[id], time.Now())
}

// targetIsCut records that connections of a target have a fault.
func (n *noticeInjector) targetIsCut(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.targetCut[id] = append(n.targetCut[id], time.Now())
}

// inject makes one target after the other say something until ctx ends. Its random numbers
// are its own, so that a seed gives the same other faults with and without it.
func (n *noticeInjector) inject(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 34))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanNoticeInterval)))
		zone := zoneNames[rng.IntN(len(n.f.usedZones()))]
		id := fmt.Sprintf("engine-%s-1", zone)
		engine := n.f.Engines[id]
		if rng.IntN(2) == 0 {
			id = fmt.Sprintf("plain-%s-1", zone)
			engine = n.f.PlainTargets[id]
		}
		said := notice{kind: rng.IntN(noticeKinds), target: id, from: time.Now()}
		switch said.kind {
		case saysItLeaves:
			engine.SetLeaving()
			sleep(ctx, noticeDrainTime+time.Second)
			said.to = time.Now()
			engine.Restart()
			engine.Register(n.f.Store)
		case asksForAPause:
			engine.SetPause(fmt.Sprint(noticePause.Seconds()), 1)
			sleep(ctx, 2*noticePause)
			said.to = time.Now()
			engine.SetPause("", 0)
		case namesALimit:
			engine.SetLimit(fmt.Sprint(noticeLimit))
			sleep(ctx, limitGrace+limitWindow)
			said.to = time.Now()
			engine.SetLimit("")
		}
		n.mu.Lock()
		n.notices = append(n.notices, said)
		n.mu.Unlock()
	}
}

// violations judges what the targets received while they said something, from nodes that
// they had told. A node that was killed, stopped or suspended since then may have
// forgotten; limits are not judged for nodes with a fault of their connections either. A
// target with such a fault is not judged: its response may not have arrived.
func (n *noticeInjector) violations() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes := map[string]fleet.NodeID{}
	for _, c := range n.f.callers.calls() {
		nodes[c.requestID] = c.node
	}
	var out []string
	for _, said := range n.notices {
		if hadFault(n.targetCut[said.target], said.from, said.to) {
			continue
		}
		e := n.f.Engines[said.target]
		if e == nil {
			e = n.f.PlainTargets[said.target]
		}
		byNode := map[fleet.NodeID][]time.Time{}
		var all []time.Time
		for _, a := range e.Arrivals() {
			node, known := nodes[a.ID]
			if a.ID == "" || !known || a.At.Before(said.from) || a.At.After(said.to) {
				continue
			}
			times := byNode[node]
			told := len(times) > 0 && !hadFault(n.ended[node], times[0], a.At)
			switch {
			case told:
				byNode[node] = append(times, a.At)
			case said.isTold(a):
				out = append(out, said.judge(map[fleet.NodeID][]time.Time{node: times}, nil)...)
				byNode[node] = []time.Time{a.At}
			}
			if told && !hadFault(n.cut[node], said.from, a.At) {
				all = append(all, a.At)
			}
		}
		out = append(out, said.judge(byNode, all)...)
	}
	return out
}

// isTold reports whether the response to a request said it.
func (said notice) isTold(a standin.Arrival) bool {
	switch said.kind {
	case saysItLeaves:
		return a.Leaving
	case asksForAPause:
		return a.Paused
	default:
		return a.Limited
	}
}

// hadFault reports whether one of the faults began between two times, or before and may
// have lasted until then.
func hadFault(begun []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(begun, func(at time.Time) bool {
		return at.After(from.Add(-maxFaultDuration)) && !at.After(to)
	})
}

// judge returns the violations in the arrivals at the target while it said something. Those
// of each node are counted from its first, whose response told it.
func (said notice) judge(byNode map[fleet.NodeID][]time.Time, all []time.Time) []string {
	var out []string
	for node, times := range byNode {
		late, paused := 0, 0
		for _, at := range times {
			after := at.Sub(times[0])
			if after > noticeDrainTime {
				late++
			}
			if after > noticePauseGrace && after < noticePause {
				paused++
			}
		}
		if said.kind == saysItLeaves && late > 0 {
			out = append(out, fmt.Sprintf("%s got %d requests from %s later than %s after it had said that it leaves", said.target, late, node, noticeDrainTime))
		}
		if said.kind == asksForAPause && paused > maxInPause {
			out = append(out, fmt.Sprintf("%s got %d requests from %s in its pause", said.target, paused, node))
		}
	}
	if said.kind != namesALimit {
		return out
	}
	for i, first := 0, 0; i < len(all); i++ {
		for all[i].Sub(all[first]) > limitWindow || first < i && all[first].Sub(said.from) < limitGrace {
			first++
		}
		if n := i - first + 1; all[i].Sub(said.from) > limitGrace && n > maxInLimitWindow {
			return append(out, fmt.Sprintf("%s got %d requests in %s with a limit of %d", said.target, n, limitWindow, noticeLimit))
		}
	}
	return out
}

// Guards against a judge that overlooks requests to targets that leave, pause or have a limit.
func TestRequestsAgainstNoticesAreFound(t *testing.T) {
	start := time.Now()
	at := func(seconds ...float64) []time.Time {
		var out []time.Time
		for _, s := range seconds {
			out = append(out, start.Add(time.Duration(s*float64(time.Second))))
		}
		return out
	}
	node := func(times []time.Time) map[fleet.NodeID][]time.Time { return map[fleet.NodeID][]time.Time{"n": times} }
	for kind, c := range map[int]struct{ allowed, broken []time.Time }{
		saysItLeaves:  {at(0, 1, 1.9), at(0, 2.1)},
		asksForAPause: {at(0, 0.4, 0.6, 0.7, 1.1, 1.2), at(0, 0.6, 0.7, 0.8)},
		namesALimit:   {at(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 3.5), at(3.1, 3.2, 3.3, 3.4, 3.5, 3.6, 3.7, 3.8, 3.9, 4, 4.1, 4.2, 4.3, 4.4, 4.5, 4.6, 4.7, 4.8)},
	} {
		said := notice{kind: kind, target: "t", from: start}
		assert.Empty(t, said.judge(node(c.allowed), c.allowed), "kind %d", kind)
		assert.Len(t, said.judge(node(c.broken), c.broken), 1, "kind %d", kind)
	}
}
