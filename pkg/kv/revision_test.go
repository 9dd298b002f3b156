package kv_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/kv"
)

// Guards against revisions, and the fencing tokens that are made of them, that go back
// when the key-value service is restored from an older copy.
func TestRevisionsRiseOverEras(t *testing.T) {
	before := revision(t, 1, kv.MaxCounter)
	after := revision(t, 2, 0)
	assert.Less(t, before, after)
	assert.Less(t, revision(t, 2, 7), revision(t, 2, 8))
	assert.Less(t, uint64(revision(t, kv.MaxEra, kv.MaxCounter)), uint64(1)<<53, "a float64 holds it")
}

func TestRevisionHoldsEraAndCounter(t *testing.T) {
	r := revision(t, 3, 217)
	assert.Equal(t, kv.Era(3), r.Era())
	assert.EqualValues(t, 217, r.Counter())
	assert.Equal(t, revision(t, 1, 217), r.InEra(1))
	assert.Equal(t, kv.Revision(217), revision(t, 0, 217), "a service without eras")
}

func TestRevisionOutOfRangeIsAnError(t *testing.T) {
	for _, r := range []struct {
		era     kv.Era
		counter uint64
	}{{kv.MaxEra + 1, 1}, {1, kv.MaxCounter + 1}, {math.MaxUint64, math.MaxUint64}} {
		_, err := kv.NewRevision(r.era, r.counter)
		require.Error(t, err, "%+v", r)
	}
}

func revision(t *testing.T, era kv.Era, counter uint64) kv.Revision {
	t.Helper()
	r, err := kv.NewRevision(era, counter)
	require.NoError(t, err)
	return r
}
