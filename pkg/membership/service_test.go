package membership

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/mesh"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/kv"
	"almondturn/wire"
)

// eventually bounds the waits of these tests; none depends on its length.
const eventually = 30 * time.Second

type liveNode struct {
	*Service
	mesh *mesh.Mesh
	stop func()
	// freeze makes the node send nothing and act on nothing.
	freeze atomic.Bool
}

type vmList struct{ vms []platform.VM }

func (l *vmList) VMs(context.Context) ([]platform.VM, uint64, error) { return l.vms, 1, nil }

// startLive runs a node with its mesh on a loopback listener.
func startLive(t testing.TB, id string, zone fleet.Zone, store platform.KV, vms platform.VMLister, seeds ...string) *liveNode {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	self := fleet.Node{ID: fleet.NodeID(id), Zone: zone, Incarnation: l.Addr().String(), Addr: l.Addr().String()}
	router := peer.NewRouter()
	meshOpts := mesh.DefaultOptions()
	meshOpts.Secret = "0123456789abcdef"
	meshOpts.Peers = seeds
	m, err := mesh.New(meshOpts, self, router, platform.SystemClock{}, zerolog.Nop())
	require.NoError(t, err)
	configured := []fleet.Target{{ID: "t2", Zone: "z1", Addr: "10.0.0.2:80"}}
	svc := New(DefaultOptions(), self, m, router, store, vms, configured, platform.SystemClock{}, zerolog.Nop())
	n := &liveNode{Service: svc, mesh: m}
	m.SetHeartbeat(func() *wire.Heartbeat {
		if n.freeze.Load() {
			return nil
		}
		return svc.Heartbeat()
	})
	m.AddObserver(svc.Observe)
	mux := http.NewServeMux()
	mux.Handle(mesh.Path, m.Handler())
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	served := make(chan struct{})
	go func() { defer close(served); _ = srv.Serve(l) }()
	require.NoError(t, m.Start(t.Context()))
	require.NoError(t, svc.Start(t.Context()))
	n.stop = func() {
		ctx, cancel := context.WithTimeout(context.Background(), eventually)
		defer cancel()
		_ = svc.Stop(ctx)
		_ = m.Stop(ctx)
		_ = srv.Close()
		<-served
	}
	return n
}

func (n *liveNode) addr() string { return n.self.Addr }

func TestNodesJoinServeTargetsAndLeave(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	vms := &vmList{vms: []platform.VM{
		{ID: "t1", Zone: "z1", Addr: "10.0.0.1:80", Role: platform.VMTarget},
		{ID: "t2", Zone: "z9", Addr: "10.9.9.9:80", Role: platform.VMTarget, Leaving: true},
		{ID: "n1", Zone: "z1", Role: platform.VMEntry},
	}}
	a := startLive(t, "a", "z1", store, vms)
	defer a.stop()
	b := startLive(t, "b", "z1", store, vms, a.addr())
	defer b.stop()
	c := startLive(t, "c", "z2", store, vms, a.addr())
	defer c.stop()
	changed := a.Subscribe()
	require.Eventually(t, func() bool {
		return len(a.View().Roster) == 2 && len(b.View().Live) == 3 && c.View().Member && len(c.View().Live) == 3
	}, eventually, 5*time.Millisecond)
	assert.NotEmpty(t, changed)
	assert.Equal(t, a.View().Epoch, b.View().Epoch)
	require.Eventually(t, func() bool { return len(b.Targets()) == 2 }, eventually, 5*time.Millisecond)
	assert.Equal(t, fleet.Target{ID: "t2", Zone: "z1", Addr: "10.0.0.2:80", Leaving: true}, b.Targets()[1], "settings say what it is, either says that it leaves")

	require.NoError(t, b.Leave(t.Context()))
	require.Eventually(t, func() bool { return len(a.View().Roster) == 1 && len(a.View().Live) == 2 }, eventually, 5*time.Millisecond)
	assert.False(t, b.View().Member)
}
