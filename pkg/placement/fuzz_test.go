package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondturn/fleet"
)

// FuzzDecodeRecord: a stored value that parses can be written back, and no
// value makes a transition panic.
func FuzzDecodeRecord(f *testing.F) {
	seed, err := Record{Write: "n1/1", Team: "x", Limits: map[string]int{"1": 2}, LimitRevision: 3, Slots: []Slot{
		{Target: "t1", Zone: "a", Version: "1", Phase: SlotBound, MemoryBytes: 5},
		{Target: "t2", Zone: "b", Version: "1", Phase: SlotReleasing, Mark: "m"},
	}}.Encode()
	require.NoError(f, err)
	f.Add(seed)
	f.Add([]byte{0xa0})
	f.Add([]byte{0xbf})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		_, err = r.Encode()
		require.NoError(t, err)
		l := Limits{Team: "x", Revision: r.LimitRevision, Max: map[string]int{"1": 1}}
		_, _ = r.Bind(Slot{Target: "t3", Version: "1"}, l)
		_, _ = r.MarkReleasing("t1", "1", "other", l)
		_, _ = r.Remove("t2", "1", "m")
		for i := range r.Slots {
			r.Surplus(i, l)
		}
	})
}

// FuzzParseGroup: what parses is written the same way again.
func FuzzParseGroup(f *testing.F) {
	f.Add("slots/listing/tea@1+hobart")
	f.Add("slots/listing/tea")
	f.Add("slots/a/@+")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseGroup(text)
		if err != nil {
			return
		}
		again, err := fleet.ParseReplicaKey(k.String())
		require.NoError(t, err)
		require.Equal(t, k, again)
	})
}
