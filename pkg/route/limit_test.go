package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
)

// TestZoneQuotasAddUpToTheLimit checks that the quotas, which each zone computes
// on its own, add up to the limit for any number of zones.
func TestZoneQuotasAddUpToTheLimit(t *testing.T) {
	var zones []fleet.Zone
	for n := 1; n <= 5; n++ {
		zones = append(zones, fleet.Zone(fmt.Sprint("zone-", n)))
		for limit := range 12 {
			for model := range 20 {
				sum := 0
				for _, z := range zones {
					quota, ok := AtMost(limit).Quota(z, zones, fmt.Sprint("m", model))
					assert.True(t, ok)
					assert.LessOrEqual(t, quota, limit/n+1)
					sum += quota
				}
				assert.Equal(t, limit, sum, "%d zones", n)
			}
		}
	}
}

func TestLimitsOfOneReplicaAreSpreadOverTheZones(t *testing.T) {
	zones := []fleet.Zone{"a", "b", "c"}
	quotas := map[fleet.Zone]int{}
	for model := range 300 {
		for _, z := range zones {
			quota, _ := AtMost(1).Quota(z, zones, fmt.Sprint("m", model))
			quotas[z] += quota
		}
	}
	for _, z := range zones {
		assert.InDelta(t, 100, quotas[z], 30, z)
	}
}

func TestQuotaWithoutLimitIsUnsetAndWithoutZonesIsTheLimit(t *testing.T) {
	_, ok := ReplicaLimit{}.Quota("a", nil, "m")
	assert.False(t, ok)
	quota, ok := AtMost(3).Quota("a", nil, "m")
	assert.True(t, ok)
	assert.Equal(t, 3, quota, "an empty list of zones counts as one zone")
}
