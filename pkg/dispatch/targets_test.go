package dispatch

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/directory"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// TestLeavingTargetGetsNoNewRequest: the news takes effect with the next
// choice, from whatever source.
func TestLeavingTargetGetsNoNewRequest(t *testing.T) {
	dir := directory.New(directory.DefaultOptions(), peer.NewRouter(), platform.SystemClock{}, zerolog.Nop())
	desk := fleet.Target{ID: "d1", Zone: "a", Kind: fleet.TargetPlain, Service: "desk"}
	engine := fleet.Target{ID: "t1", Zone: "a", Kind: fleet.TargetEngine}
	dir.SetTargets([]fleet.Target{desk, engine})
	targets := NewTargets(dir)
	report := &wire.TargetUpdate{
		Target: engine, Owner: "n1", Epoch: 1, Sequence: 1,
		State: fleet.TargetState{Target: "t1", MaxRunning: 4, Replicas: []fleet.ReplicaState{{Key: testKey, Phase: fleet.ReplicaLoaded}}},
	}
	require.True(t, dir.Apply(report))
	require.Len(t, targets.Loaded(testKey), 1)
	require.Len(t, targets.Plain("desk"), 1)
	dir.ApplyLeaving(&wire.Leaving{Target: "d1", Source: directory.SourceOperator})
	dir.ApplyLeaving(&wire.Leaving{Target: "t1", Source: directory.SourceList})
	require.Empty(t, targets.Loaded(testKey))
	require.Empty(t, targets.Plain("desk"))
	_, ok := targets.Target("t1")
	require.False(t, ok)
}
