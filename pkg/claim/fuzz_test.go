package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/wire"
)

// FuzzDecodeTable: a stored range that parses can be written back, and no
// value makes a decision panic.
func FuzzDecodeTable(f *testing.F) {
	t := newTable()
	t.put(&entry{Key: []byte("k"), Body: []byte("b"), RequestID: "r", Node: "n1", Expires: 1 << 40, Outcome: &wire.Outcome{Status: 200}})
	seed, err := t.encode()
	require.NoError(f, err)
	f.Add(seed)
	f.Add([]byte{0x81, 0xa0})
	f.Add([]byte{0x81, 0xf6})
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := decodeTable(data)
		if err != nil {
			return
		}
		_, err = table.encode()
		require.NoError(t, err)
		r := rules{now: time.Unix(1000, 0), retention: time.Hour, limit: 1 << 20, alive: func(fleet.NodeID, string) bool { return false }}
		table.claim(&wire.Claim{Key: []byte("k"), Body: []byte("b"), RequestID: "q"}, r)
		table.prune(r.now)
	})
}
