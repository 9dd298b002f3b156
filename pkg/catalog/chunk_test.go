package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
)

// bigTeam has the given numbers of models and adapters.
func bigTeam(models, adapters int) *TeamSpec {
	svc := ServiceSpec{Name: "big", Kind: fleet.TargetEngine, Share: 1}
	for i := range models {
		m := ModelSpec{Name: fmt.Sprintf("model-%03d", i), Version: "1", MemoryBytes: 4 << 30, MaxReplicas: 2}
		for j := i; j < adapters; j += models {
			m.Adapters = append(m.Adapters, AdapterSpec{Name: fmt.Sprintf("adapter-%05d", j), MemoryBytes: 64 << 20, MaxReplicas: 2})
		}
		svc.Models = append(svc.Models, m)
	}
	return &TeamSpec{Team: "big", Services: []ServiceSpec{svc}}
}

func dataOf(chunks []Chunk) [][]byte {
	var out [][]byte
	for _, c := range chunks {
		out = append(out, c.Data)
	}
	return out
}

func TestChunksRoundTrip(t *testing.T) {
	for _, spec := range []*TeamSpec{devTeam(t, "listings"), devTeam(t, "bookings"), bigTeam(160, 20000), bigTeam(3, 9000)} {
		chunks, err := encodeTeam(spec)
		require.NoError(t, err)
		got, err := decodeTeam(dataOf(chunks))
		require.NoError(t, err)
		assert.Equal(t, spec, got)
	}
}

func TestChangedAdapterRewritesOneChunk(t *testing.T) {
	digests := func(spec *TeamSpec) map[Digest]bool {
		chunks, err := encodeTeam(spec)
		require.NoError(t, err)
		out := map[Digest]bool{}
		for _, c := range chunks {
			require.Less(t, len(c.Data), 100<<10)
			out[c.Digest] = true
		}
		return out
	}
	before := digests(bigTeam(160, 20000))
	fresh := func(change func(m *ModelSpec)) (n int) {
		spec := bigTeam(160, 20000)
		change(&spec.Services[0].Models[80])
		for d := range digests(spec) {
			if !before[d] {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 1, fresh(func(m *ModelSpec) { m.Adapters[50].MaxReplicas = 7 }))
	assert.LessOrEqual(t, fresh(func(m *ModelSpec) { m.Adapters = append(m.Adapters, AdapterSpec{Name: "new"}) }), 2)
	assert.LessOrEqual(t, fresh(func(m *ModelSpec) { m.Adapters = m.Adapters[1:] }), 2)
	assert.Less(t, len(before), 200)
}

func TestHeadRoundTripAndRelations(t *testing.T) {
	h := &Head{Team: "a", Revision: 3, WriteID: "w3", Author: "x", Time: time.Unix(5, 0).UTC(), Chunks: []Digest{{1}, {2}}}
	p, manifest, err := h.past()
	require.NoError(t, err)
	next := &Head{Team: "a", Revision: 4, WriteID: "w4", Time: time.Unix(6, 0).UTC(), History: []Past{p}}
	data, err := next.encode()
	require.NoError(t, err)
	got, err := decodeHead(data)
	require.NoError(t, err)
	assert.Equal(t, next.History[0].Manifest, got.History[0].Manifest)
	assert.Equal(t, manifest.Digest, p.Manifest)
	fork := &Head{Team: "a", Revision: 5, WriteID: "w5", History: []Past{{Revision: 4, WriteID: "other"}}}
	assert.Equal(t, relationNewer, compareHeads(next, h))
	assert.Equal(t, relationNewer, compareHeads(next, nil))
	assert.Equal(t, relationOlder, compareHeads(h, next))
	assert.Equal(t, relationSame, compareHeads(got, next))
	assert.Equal(t, relationForked, compareHeads(fork, next))
	assert.Equal(t, relationForked, compareHeads(&Head{Revision: 4, WriteID: "z"}, next))
}
