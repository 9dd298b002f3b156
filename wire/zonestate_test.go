package wire

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// randomState returns a state of up to two services with up to eight models.
func randomState(r *rand.Rand, sequence uint64) *ZoneState {
	s := &ZoneState{Zone: "z", Token: 7, Sequence: sequence, Loaded: map[string][]string{}, Full: map[string][]string{}, Backlog: r.IntN(5), NodeCount: r.IntN(300), WeightStoreLoads: r.IntN(3)}
	for service := range 2 {
		name := fmt.Sprint("s", service)
		for model := range 8 {
			if r.IntN(2) == 0 {
				continue
			}
			s.Loaded[name] = append(s.Loaded[name], fmt.Sprint("m", model))
			if r.IntN(3) == 0 {
				s.Full[name] = append(s.Full[name], fmt.Sprint("m", model))
			}
		}
	}
	return s
}

// TestApplyingChangesYieldsNextState encodes, decodes and applies the changes
// between random states.
func TestApplyingChangesYieldsNextState(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	sent := randomState(r, 0)
	received := sent
	for sequence := range uint64(200) {
		next := randomState(r, sequence+1)
		frame, err := Encode(KindOneWay, 0, 0, sent.ChangeTo(next))
		require.NoError(t, err)
		e, err := DecodeEnvelope(frame)
		require.NoError(t, err)
		m, err := e.Message()
		require.NoError(t, err)
		var ok bool
		received, ok = received.Apply(m.(*ZoneChange))
		require.True(t, ok)
		require.Equal(t, next, received)
		sent = next
	}
}

func TestChangeOutOfSequenceIsRefused(t *testing.T) {
	s := &ZoneState{Token: 7, Sequence: 3}
	for name, c := range map[string]*ZoneChange{
		"the previous change was dropped": {Token: 7, Sequence: 5},
		"the change was applied before":   {Token: 7, Sequence: 3},
		"another owner":                   {Token: 8, Sequence: 4},
	} {
		_, ok := s.Apply(c)
		assert.False(t, ok, name)
	}
	_, ok := (*ZoneState)(nil).Apply(&ZoneChange{Sequence: 1})
	assert.False(t, ok, "there is no state yet")
}
