package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// A slot that an owner granted when the request had just been canceled was never released:
// after some such requests, the owner refused all others for the model.
func TestSlotThatIsGrantedTooLateIsReleased(t *testing.T) {
	requested, granted, ended := make(chan struct{}), make(chan struct{}), make(chan *wire.RunEnded, 1)
	self := func(id fleet.NodeID) fleet.Node {
		return fleet.Node{ID: id, Zone: "other", Incarnation: "1", Addr: "127.0.0.1:1"}
	}
	secret := []byte("a shared secret of the fleet")
	owner := wire.Config{Options: wire.DefaultOptions(), Self: self("owner"), Secret: secret, Handler: func(_ context.Context, _ fleet.Node, m wire.Message) wire.Message {
		switch m := m.(type) {
		case *wire.SlotRequest:
			close(requested)
			<-granted // the cancellation arrives too late
			return &wire.SlotResponse{Run: 7, Target: "t"}
		case *wire.RunEnded:
			ended <- m
		}
		return nil
	}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, err := wire.Accept(w, r, owner); err == nil {
			_ = c.Run()
		}
	}))
	t.Cleanup(s.Close)
	n := &Node{self: self("n"), settings: &Settings{Secret: secret}, runs: map[uint64]zoneRun{8: {}}}
	n.links = newLinks(n, nil)
	link := &ownerLink{zone: "z"}
	n.links.owners["z"] = link
	c, err := wire.Dial(t.Context(), "ws"+strings.TrimPrefix(s.URL, "http"), nil, n.links.connConfig(link))
	require.NoError(t, err)
	t.Cleanup(func() { c.Close(wire.ErrClosed) })
	go func() { _ = c.Run() }()
	link.conn.Store(c)

	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-requested; cancel() }()
	_, err = n.links.requestSlot(ctx, "z", &wire.SlotRequest{})
	require.ErrorIs(t, err, wire.ErrOutcomeUnknown)
	n.links.releaseLateGrant(link, &wire.SlotResponse{Run: 8}) // a duplicate of one that is in use
	close(granted)
	select {
	case m := <-ended:
		assert.Equal(t, &wire.RunEnded{Run: 7, Outcome: wire.RunNotSent}, m)
	case <-time.After(5 * time.Second):
		t.Fatal("the slot was not released")
	}
}
