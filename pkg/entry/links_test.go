package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/pkg/zoneowner"
	"almondturn/wire"
)

// TestOwnersThatAreExpectedBack: after a restart of its owner, the zone that
// could serve a request is out of reach for a moment; another zone's refusal is
// not the last word then.
func TestOwnersThatAreExpectedBack(t *testing.T) {
	fresh := &ownerLink{owner: zoneowner.OwnerRecord{Addr: "10.0.0.1:1"}}
	fresh.markDown(now)
	connected := &ownerLink{owner: zoneowner.OwnerRecord{Addr: "10.0.0.2:1"}}
	connected.markDown(now)
	connected.conn.Store(new(wire.Conn))
	nobody := &ownerLink{}
	nobody.markDown(now)
	l := &links{owners: map[fleet.Zone]*ownerLink{"fresh": fresh, "connected": connected, "nobody": nobody}}
	assert.True(t, l.mayReachOwner(now, []fleet.Zone{"fresh"}))
	assert.True(t, l.mayReachOwner(now.Add(ownerReconnectTime), []fleet.Zone{"connected"}), "the call was lost with the connection before")
	assert.False(t, l.mayReachOwner(now.Add(ownerReconnectTime), []fleet.Zone{"fresh"}), "it stays away")
	assert.False(t, l.mayReachOwner(now, []fleet.Zone{"nobody", "unknown"}))
	assert.False(t, l.mayReachOwner(now, nil))
}
