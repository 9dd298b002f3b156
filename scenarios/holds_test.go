package scenarios

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/standin/faultproxy"
	"almondturn/platform/standin"
)

// Times of holds, in which what nodes send is held back.
const (
	meanHoldInterval = 2 * time.Second
	maxHoldDuration  = 1500 * time.Millisecond
	// maxDeliveryDelay is the longest time after a hold until the data is delivered.
	maxDeliveryDelay = 2 * time.Second
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
		proxy, recordFault := h.randomPath(rng)
		recordFault()
		proxy.HoldRequests()
		sleep(ctx, time.Duration(rng.Float64()*float64(maxHoldDuration)))
		proxy.PassRequests()
		sleep(ctx, time.Duration(rng.Float64()*float64(maxDeliveryDelay)))
		h.awaitNoSuspension(ctx)
		recordFault()
		proxy.DeliverHeld()
	}
}

// randomPath returns the proxy in front of a target, or between a node and the key-value
// service, and a function that records a fault there.
func (h *holdInjector) randomPath(rng *rand.Rand) (*faultproxy.Proxy, func()) {
	if rng.IntN(3) == 0 {
		id := h.f.nodeIDs[rng.IntN(len(h.f.nodeIDs))]
		return h.f.storeProxies[id], func() { h.f.notices.nodeIsCut(id) }
	}
	kind := []string{"engine", "engine", "plain"}[rng.IntN(3)]
	id := fmt.Sprintf("%s-%s-1", kind, zoneNames[rng.IntN(len(h.f.usedZones()))])
	proxy, _ := h.f.Proxy(id)
	return proxy, func() { h.f.notices.targetIsCut(id) }
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
