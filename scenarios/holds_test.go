package scenarios

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/pkg/standin/faultproxy"
	"almondturn/platform/standin"
)

// Times of holds, in which what nodes send is held back.
const (
	meanHoldInterval = 2 * time.Second
	maxHoldDuration  = 1500 * time.Millisecond
	// maxDeliveryDelay is the longest time after a hold until the data is delivered.
	maxDeliveryDelay = 2 * time.Second
	// maxOrderWait is the longest wait for an order.
	maxOrderWait = 5 * time.Second
	// resumeTime is how long after a suspension a node may take to give up what it sent
	// before.
	resumeTime = time.Second
)

// holdInjector holds back what nodes send to targets and to the key-value service, also
// past the end of their processes, and delivers it after newer data.
type holdInjector struct {
	f *faultInjector

	mu        sync.Mutex // guards all below
	suspended int        // number of suspended nodes
	resumedAt time.Time  // of the node that was resumed last
}

// inject holds one path after the other until ctx ends. Its random numbers are its own, so
// that a seed gives the same other faults with and without it.
func (h *holdInjector) inject(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 35))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanHoldInterval)))
		path := h.randomPath(rng)
		path.recordFault()
		duration := time.Duration(rng.Float64() * float64(maxHoldDuration))
		if onlyOrders := path.isEngine && rng.IntN(2) == 0; onlyOrders {
			path.proxy.HoldRequests(orderPrefix)
			h.provokeOrder(ctx, path)
		} else {
			path.proxy.HoldRequests("")
		}
		sleep(ctx, duration)
		holdsOrder := path.proxy.HeldRequests(orderPrefix) > 0
		if holdsOrder {
			h.restartNodes(path.zone)
		}
		path.proxy.PassRequests()
		sleep(ctx, time.Duration(rng.Float64()*float64(maxDeliveryDelay)))
		if holdsOrder {
			awaitOrder(ctx, path.target)
		}
		h.awaitNoSuspension(ctx)
		path.recordFault()
		path.proxy.DeliverHeld()
	}
}

// orderPrefix is what the requests of orders begin with.
const orderPrefix = "POST /api/order "

// path is a way from nodes to a target or to the key-value service.
type path struct {
	proxy       *faultproxy.Proxy
	target      *standin.Engine // nil for the key-value service
	isEngine    bool            // whether the target gets orders
	zone        fleet.Zone      // of the target
	recordFault func()
}

// randomPath returns the path to a random target, or from a random node to the key-value
// service.
func (h *holdInjector) randomPath(rng *rand.Rand) path {
	if rng.IntN(3) == 0 {
		id := h.f.nodeIDs[rng.IntN(len(h.f.nodeIDs))]
		return path{proxy: h.f.storeProxies[id], recordFault: func() { h.f.notices.nodeIsCut(id) }}
	}
	kind := []string{"engine", "engine", "plain"}[rng.IntN(3)]
	zone := zoneNames[rng.IntN(len(h.f.usedZones()))]
	id := fmt.Sprintf("%s-%s-1", kind, zone)
	proxy, _ := h.f.Proxy(id)
	target := cmp.Or(h.f.Engines[id], h.f.PlainTargets[id])
	return path{proxy: proxy, target: target, isEngine: kind == "engine", zone: zone, recordFault: func() { h.f.notices.targetIsCut(id) }}
}

// provokeOrder restarts a target, so that its models have to be loaded again, and waits until
// an order is held, at most maxOrderWait.
func (h *holdInjector) provokeOrder(ctx context.Context, p path) {
	ctx, cancel := context.WithTimeout(ctx, maxOrderWait)
	defer cancel()
	p.target.Restart()
	p.target.Register(h.f.Store)
	for ctx.Err() == nil && p.proxy.HeldRequests(orderPrefix) == 0 {
		sleep(ctx, 10*time.Millisecond)
	}
}

// restartNodes kills the nodes of a zone at once and starts them again.
func (h *holdInjector) restartNodes(zone fleet.Zone) {
	var ended sync.WaitGroup
	for _, id := range h.f.nodeIDs {
		if h.f.configs[id].Node.Zone != zone {
			continue
		}
		h.f.notices.nodeEnds(id)
		ended.Go(func() {
			_ = h.f.signalAndWait(id, syscall.SIGKILL)
			h.f.startProcess(id)
		})
	}
	ended.Wait()
}

// awaitOrder waits until the target receives another order, at most maxOrderWait.
func awaitOrder(ctx context.Context, target *standin.Engine) {
	ctx, cancel := context.WithTimeout(ctx, maxOrderWait)
	defer cancel()
	former := len(target.Orders())
	for ctx.Err() == nil && len(target.Orders()) == former {
		sleep(ctx, 10*time.Millisecond)
	}
}

// suspend records that a node is suspended, until the returned function is called.
func (h *holdInjector) suspend() (resume func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspended++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.suspended--
		h.resumedAt = time.Now()
	}
}

// awaitNoSuspension waits until no node is suspended and each has had time to give up what
// it sent before: the kernel of a suspended VM sends nothing, while that of a suspended
// process does.
func (h *holdInjector) awaitNoSuspension(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		quiet := h.suspended == 0 && time.Since(h.resumedAt) > resumeTime
		h.mu.Unlock()
		if quiet {
			return
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// findFallingTokens returns the violations in the orders that an engine received with a
// fencing token below that of an earlier order.
func findFallingTokens(id string, orders []standin.Order) []string {
	var violations []string
	var highest standin.Order
	for _, o := range orders {
		if o.Token >= highest.Token {
			highest = o
			continue
		}
		violations = append(violations, fmt.Sprintf("engine %s received an order of %s with token %d at %s, after one of %s with token %d at %s",
			id, o.Sender, o.Token, o.Received.Format(time.StampMilli), highest.Sender, highest.Token, highest.Received.Format(time.StampMilli)))
	}
	return violations
}

// Guards against a judge that overlooks an order that arrives after a newer one.
func TestFallingTokensAreFound(t *testing.T) {
	orders := func(tokens ...uint64) (out []standin.Order) {
		for _, token := range tokens {
			out = append(out, standin.Order{Sender: "a", Token: token})
		}
		return out
	}
	assert.Empty(t, findFallingTokens("e", orders(1, 1, 2, 5, 5)))
	assert.Len(t, findFallingTokens("e", orders(1, 3, 2, 3, 1, 4)), 2)
}
