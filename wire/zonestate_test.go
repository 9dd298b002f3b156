package wire

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// randomState returns a callState of up to two services with up to eight models.
func randomState(r *rand.Rand, number uint64) *ZoneState {
	s := &ZoneState{Zone: "z", Token: 7, Sequence: number, Loaded: map[string][]string{}, Full: map[string][]string{}, Backlog: r.IntN(5), NodeCount: r.IntN(300), StoreLoads: r.IntN(3)}
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

// TestApplyingChangesYieldsNextState follows a random series of states by changes
// that go through the encoding.
func TestApplyingChangesYieldsNextState(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	told := randomState(r, 0)
	known := told
	for number := range uint64(200) {
		next := randomState(r, number+1)
		frame, err := Encode(KindOneWay, 0, 0, told.ChangeTo(next))
		require.NoError(t, err)
		e, err := DecodeEnvelope(frame)
		require.NoError(t, err)
		m, err := e.Message()
		require.NoError(t, err)
		var ok bool
		known, ok = known.Apply(m.(*ZoneChange))
		require.True(t, ok)
		require.Equal(t, next, known)
		told = next
	}
}

func TestChangeOutOfSequenceIsRefused(t *testing.T) {
	s := &ZoneState{Token: 7, Sequence: 3}
	for name, c := range map[string]*ZoneChange{
		"one was dropped": {Token: 7, Sequence: 5},
		"known already":   {Token: 7, Sequence: 3},
		"another owner":   {Token: 8, Sequence: 4},
	} {
		_, ok := s.Apply(c)
		assert.False(t, ok, name)
	}
	_, ok := (*ZoneState)(nil).Apply(&ZoneChange{Sequence: 1})
	assert.False(t, ok, "nothing is known yet")
}
