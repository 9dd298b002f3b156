package observer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/peer"
	"almondturn/wire"
)

type fixture struct {
	*Observer
	now   time.Time
	view  peer.View
	err   error
	state fleet.TargetState
	reads int
	sent  []*wire.TargetUpdate
}

func (f *fixture) Now() time.Time { return f.now }

func (f *fixture) State(context.Context, fleet.Target) (fleet.TargetState, error) {
	f.reads++
	return f.state, f.err
}

func (f *fixture) Call(context.Context, fleet.NodeID, wire.Message) (wire.Message, error) {
	return nil, errors.New("no calls")
}

func (f *fixture) Send(fleet.NodeID, wire.Message) {}

func (f *fixture) Broadcast(_ fleet.Zone, m wire.Message) {
	f.sent = append(f.sent, m.(*wire.TargetUpdate))
}

var (
	self   = fleet.Node{ID: "a", Zone: "z1", Incarnation: "2"}
	before = fleet.Node{ID: "a", Zone: "z1", Incarnation: "1"}
	engine = fleet.Target{ID: "t1", Zone: "z1", Kind: fleet.TargetEngine}
)

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0), view: peer.View{Self: self, Epoch: 4, Live: []fleet.Node{self}}}
	f.Observer = New(DefaultOptions(), Deps{
		Self: "a", Clock: f, Logger: zerolog.Nop(), Engines: f, Network: f,
		View:    func() *peer.View { return &f.view },
		Targets: func() []fleet.Target { return []fleet.Target{engine} },
	})
	return f
}

func (f *fixture) step() {
	f.Step(context.Background())
	f.now = f.now.Add(time.Second)
}

func TestOrphansAreThoseWithoutALiveOwner(t *testing.T) {
	other := fleet.Target{ID: "t2", Zone: "z2", Kind: fleet.TargetEngine}
	plain := fleet.Target{ID: "t3", Zone: "z1", Kind: fleet.TargetPlain}
	targets := []fleet.Target{engine, other, plain}
	v := &peer.View{Self: self, Live: []fleet.Node{self}}
	assert.Equal(t, []fleet.Target{engine}, Orphans(v, "a", targets), "no roster")
	v.Roster = []fleet.Node{before}
	assert.Equal(t, []fleet.Target{engine}, Orphans(v, "a", targets), "the member has restarted")
	v.Roster = []fleet.Node{self}
	assert.Empty(t, Orphans(v, "a", targets))
	v.Roster = []fleet.Node{{ID: "gone", Zone: "z1"}}
	v.Live = append(v.Live, fleet.Node{ID: "b", Zone: "z1"}, fleet.Node{ID: "c", Zone: "z2"})
	observers := len(Orphans(v, "a", targets)) + len(Orphans(v, "b", targets)) + len(Orphans(v, "c", targets))
	assert.Equal(t, 1, observers)
}

func TestObservesOnlyWhileThereIsNoOwner(t *testing.T) {
	f := newFixture()
	f.step()
	f.step()
	assert.Zero(t, f.reads, "the owner may only be unknown yet")
	f.step()
	require.Len(t, f.sent, 1)
	assert.True(t, f.sent[0].Observed)
	f.step()
	assert.Len(t, f.sent, 1, "unchanged")
	f.state.Running = 1
	f.step()
	assert.Len(t, f.sent, 2)
	f.err = errors.New("refused")
	f.step()
	require.Len(t, f.sent, 3)
	assert.True(t, f.sent[2].Unreachable)
	assert.Equal(t, 1, f.sent[2].State.Running, "the state before stands")
	reads := f.reads
	f.view.Roster = []fleet.Node{self}
	f.step()
	assert.Equal(t, reads, f.reads)
}
