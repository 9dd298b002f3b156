package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/pkg/zoneowner"
	"almondturn/wire"
)

// TestMayReachOwnerOnlyIfConnectedOrRecentlyLost covers the restart of an
// owner: its zone, which could serve a request, cannot be reached for a moment.
// The refusal of another zone must not be final then.
func TestMayReachOwnerOnlyIfConnectedOrRecentlyLost(t *testing.T) {
	fresh := &ownerLink{owner: zoneowner.OwnerRecord{Addr: "10.0.0.1:1"}}
	fresh.markDown(now)
	connected := &ownerLink{owner: zoneowner.OwnerRecord{Addr: "10.0.0.2:1"}}
	connected.markDown(now)
	connected.conn.Store(new(wire.Conn))
	nobody := &ownerLink{}
	nobody.markDown(now)
	l := &links{owners: map[fleet.Zone]*ownerLink{"fresh": fresh, "connected": connected, "nobody": nobody}}
	assert.True(t, l.mayReachOwner(now, []fleet.Zone{"fresh"}))
	assert.True(t, l.mayReachOwner(now.Add(ownerReconnectTime), []fleet.Zone{"connected"}), "the call failed with the previous connection")
	assert.False(t, l.mayReachOwner(now.Add(ownerReconnectTime), []fleet.Zone{"fresh"}), "the owner has not reconnected in time")
	assert.False(t, l.mayReachOwner(now, []fleet.Zone{"nobody", "unknown"}))
	assert.False(t, l.mayReachOwner(now, nil))
}
