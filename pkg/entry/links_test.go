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
	fresh := &link{owner: zoneowner.OwnerRecord{Addr: "10.0.0.1:1"}}
	fresh.broken(now)
	connected := &link{owner: zoneowner.OwnerRecord{Addr: "10.0.0.2:1"}}
	connected.broken(now)
	connected.conn.Store(new(wire.Conn))
	nobody := &link{}
	nobody.broken(now)
	l := &links{zones: map[fleet.Zone]*link{"fresh": fresh, "connected": connected, "nobody": nobody}}
	assert.True(t, l.settling(now, []fleet.Zone{"fresh"}))
	assert.True(t, l.settling(now.Add(settleTime), []fleet.Zone{"connected"}), "the call was lost with the connection before")
	assert.False(t, l.settling(now.Add(settleTime), []fleet.Zone{"fresh"}), "it stays away")
	assert.False(t, l.settling(now, []fleet.Zone{"nobody", "unknown"}))
	assert.False(t, l.settling(now, nil))
}
