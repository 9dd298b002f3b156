package zoneowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/pkg/scheduler"
	"almondturn/wire"
)

// Guards against full zones of which one gets all requests, and against an order that changes
// where the first zone has to load the model, or its owner names no wait.
func TestLastResortIsTheFullZoneWithTheShortestWait(t *testing.T) {
	for _, c := range []struct {
		waits []int64
		want  []fleet.Zone
	}{
		{nil, []fleet.Zone{}},
		{[]int64{300, 200, 100}, []fleet.Zone{"c", "b", "a"}},
		{[]int64{300, 0, 100}, []fleet.Zone{"c", "a", "b"}},
		{[]int64{200, 0, 0}, []fleet.Zone{"a", "b", "c"}},
		{[]int64{200, 200, 200}, []fleet.Zone{"a", "b", "c"}},
		{[]int64{0, 200, 100}, []fleet.Zone{"a", "b", "c"}},
		{[]int64{0, 0, 0}, []fleet.Zone{"a", "b", "c"}},
	} {
		var referrals []Referral
		for i, wait := range c.waits {
			referrals = append(referrals, Referral{fleet.Zone("abc"[i : i+1]), &wire.SlotResponse{ExpectedWaitMillis: wait}})
		}
		assert.Equal(t, c.want, LastResort(referrals), c.waits)
	}
}

// Guards against a wait for a load that is compared with one for a slot, and against a wait
// under a millisecond that reads as unknown.
func TestReferralOfAFullZoneNamesTheWait(t *testing.T) {
	for wait, want := range map[time.Duration]int64{0: 0, time.Microsecond: 1, 250 * time.Millisecond: 250} {
		r := scheduler.Refusal{Reason: scheduler.TryOtherZone, Estimate: scheduler.RefusalEstimate{ReferralWait: wait, ReadyReplicas: 1}}
		assert.Equal(t, want, refusalResponse(r).ExpectedWaitMillis)
		r.Estimate = scheduler.RefusalEstimate{ExpectedWait: wait}
		assert.Zero(t, refusalResponse(r).ExpectedWaitMillis)
		assert.Zero(t, refusalResponse(scheduler.Refusal{Reason: scheduler.Overloaded, Estimate: scheduler.RefusalEstimate{ReferralWait: wait, ReadyReplicas: 1}}).ExpectedWaitMillis)
	}
}
