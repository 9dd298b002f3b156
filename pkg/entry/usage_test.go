package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
)

// TestNodesWithoutLoadsSpreadRequests simulates the start of all nodes at the
// same time: none has observed a load yet, and each sends one request. They
// must not all choose the same target.
func TestNodesWithoutLoadsSpreadRequests(t *testing.T) {
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
		assert.Equal(t, first, l.acquire(time.Unix(2, 0), list, "z", nil), "its connection is used again")
	}
	for id, n := range chosen {
		assert.LessOrEqual(t, n, 5*nodes/targets, "target %s", id)
	}
}
