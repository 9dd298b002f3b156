package zoneowner

import (
	"cmp"
	"slices"

	"almondturn/fleet"
	"almondturn/wire"
)

// Referral is the response of the owner of a zone that refers a request to other zones.
type Referral struct {
	Zone     fleet.Zone
	Response *wire.SlotResponse
}

// LastResort returns the zones that have referred a request, in the order in which they are
// asked to queue it all the same. It is the order of the referrals, unless the first zone has
// no free slot for a loaded model: then the zones come first that have the shortest expected
// wait.
func LastResort(referrals []Referral) []fleet.Zone {
	if len(referrals) > 0 && referrals[0].Response.ExpectedWaitMillis > 0 {
		referrals = slices.Clone(referrals)
		slices.SortStableFunc(referrals, func(a, b Referral) int {
			x, y := a.Response.ExpectedWaitMillis, b.Response.ExpectedWaitMillis
			if x == 0 || y == 0 {
				return cmp.Compare(y, x) // no wait is named
			}
			return cmp.Compare(x, y)
		})
	}
	zones := make([]fleet.Zone, len(referrals))
	for i, r := range referrals {
		zones[i] = r.Zone
	}
	return zones
}
