package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/pkg/zoneowner"
	"almondturn/wire"
)

// TestMayReachOwnerOnlyIfConnectedOrRecentlyLost covers the restart of an
// owner: the zone that it owns could serve a request, but cannot be reached for
// a moment. The refusal of another zone must not be final then. An owner that
// has reconnected also counts as reachable; one that has not reconnected in
// time, or whose address is not known, does not.
func TestMayReachOwnerOnlyIfConnectedOrRecentlyLost(t *testing.T) {
	recentlyLost := &ownerLink{owner: zoneowner.OwnerRecord{Addr: "10.0.0.1:1"}}
	recentlyLost.markDown(now)
	connected := &ownerLink{owner: zoneowner.OwnerRecord{Addr: "10.0.0.2:1"}}
	connected.markDown(now)
	connected.conn.Store(new(wire.Conn))
	unknownOwner := &ownerLink{}
	unknownOwner.markDown(now)
	l := &links{owners: map[fleet.Zone]*ownerLink{"recentlyLost": recentlyLost, "connected": connected, "unknownOwner": unknownOwner}}
	assert.True(t, l.mayReachOwner(now, []fleet.Zone{"recentlyLost"}))
	assert.True(t, l.mayReachOwner(now.Add(ownerReconnectWindow), []fleet.Zone{"connected"}), "the call failed with the previous connection")
	assert.False(t, l.mayReachOwner(now.Add(ownerReconnectWindow), []fleet.Zone{"recentlyLost"}), "the owner has not reconnected in time")
	assert.False(t, l.mayReachOwner(now, []fleet.Zone{"unknownOwner", "unknown"}))
	assert.False(t, l.mayReachOwner(now, nil))
}
