package entry

import (
	"fmt"
	"math"
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

// chosenShare returns how many of 100 requests, each ended at once, go to the target
// "odd" beside two sound ones. loadOfOdd is what the responses of the odd target say
// about its load.
func chosenShare(odd *inventory.Target, loadOfOdd ResponseInfo) int {
	targets := []*inventory.Target{odd, {ID: "a", Zone: "z", Slots: 8}, {ID: "b", Zone: "z", Slots: 8}}
	u, now, chosen := new(targetUsages), time.Unix(1, 0), 0
	var inFlight []string
	for range 100 {
		t := u.acquire(now, targets, "z", nil)
		inFlight = append(inFlight, t.ID)
		info := ResponseInfo{Running: 4, Slots: 8}
		if t.ID == odd.ID {
			chosen++
			info = loadOfOdd
		}
		if len(inFlight) > 6 {
			u.release(now, inFlight[0], sendResult{kind: completed, info: info})
			inFlight = inFlight[1:]
		}
		now = now.Add(10 * time.Millisecond)
	}
	return chosen
}

// A target whose entry has far too many slots got nearly all requests of its service,
// also while its responses said how many slots it has.
func TestTargetWithTooManySlotsGetsItsShare(t *testing.T) {
	assert.LessOrEqual(t, chosenShare(&inventory.Target{ID: "odd", Zone: "z", Slots: 1 << 16}, ResponseInfo{Running: 4, Slots: 8}), 60)
	assert.LessOrEqual(t, chosenShare(&inventory.Target{ID: "odd", Zone: "z", Slots: 8}, ResponseInfo{Running: 4, Slots: 1 << 16}), 60)
	sound := chosenShare(&inventory.Target{ID: "odd", Zone: "z", Slots: 8}, ResponseInfo{Running: 4, Slots: 8})
	assert.InDelta(t, 33, sound, 15, "the share of a sound target")
}

// An entry without slots made a target look full with its first request.
func TestTargetWithoutSlotsInItsEntryGetsItsShare(t *testing.T) {
	assert.GreaterOrEqual(t, chosenShare(&inventory.Target{ID: "odd", Zone: "z"}, ResponseInfo{Running: 4, Slots: 8}), 15)
}

// A target that reported a great number of requests was avoided more than one to which no
// connection can be established.
func TestReportedLoadCountsLessThanAnUnreachableTarget(t *testing.T) {
	now := time.Unix(1, 0)
	loaded, unreachableTarget := &inventory.Target{ID: "loaded", Zone: "z", Slots: 1}, &inventory.Target{ID: "down", Zone: "z", Slots: 1}
	list := []*inventory.Target{loaded, unreachableTarget}
	u := new(targetUsages)
	u.release(now, unreachableTarget.ID, sendResult{kind: unreachable})
	u.release(now, loaded.ID, sendResult{kind: completed, info: ResponseInfo{Running: 1 << 16, Waiting: 1 << 16, Slots: 1}})
	assert.Equal(t, loaded, u.acquire(now, list, "z", nil))
	u = new(targetUsages)
	u.release(now, loaded.ID, sendResult{kind: completed, info: ResponseInfo{Running: math.MaxInt, Waiting: math.MaxInt, Slots: math.MaxInt}})
	u.release(now, unreachableTarget.ID, sendResult{kind: unreachable})
	assert.Equal(t, loaded, u.acquire(now, list, "z", nil), "the sum does not overflow")
}
