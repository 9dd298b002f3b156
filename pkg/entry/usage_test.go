package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
)

// TestNodesWithoutUsageSpreadRequests simulates the start of all nodes at the
// same time: none has observed any usage yet, and each sends one request. They
// must not all choose the same target: a target gets at most 5 times its even
// share. Each node must choose the same target again for its next request.
func TestNodesWithoutUsageSpreadRequests(t *testing.T) {
	const nodes, targets = 100, 30
	var list []*inventory.Target
	for i := range targets {
		list = append(list, &inventory.Target{ID: fmt.Sprint("t", i), Zone: "z", Slots: 6})
	}
	chosen := map[string]int{}
	for i := range nodes {
		l := &targetUsages{node: fleet.NodeID(fmt.Sprint("n", i))}
		first := l.acquire(time.Unix(1, 0), list, "z", nil)
		chosen[first.ID]++
		l.release(time.Unix(1, 0), first.ID, sendResult{kind: completed})
		assert.Equal(t, first, l.acquire(time.Unix(2, 0), list, "z", nil), "the same target is chosen again")
	}
	for id, n := range chosen {
		assert.LessOrEqual(t, n, 5*nodes/targets, "target %s", id)
	}
}
