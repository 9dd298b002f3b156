package catalog

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/fault"
)

func devTeam(t testing.TB, name string) *TeamSpec {
	files, err := examples.Dev()
	require.NoError(t, err)
	for _, f := range files {
		spec, err := ParseTeam(f.Name, f.Data)
		require.NoError(t, err)
		if string(spec.Team) == name {
			return spec
		}
	}
	t.Fatalf("no team %q", name)
	return nil
}

func TestSnapshotLookups(t *testing.T) {
	s := empty.With(devTeam(t, "listings"), 3).With(devTeam(t, "bookings"), 4)
	id, ok := s.Identify(examples.DevListingKey)
	require.True(t, ok)
	assert.Equal(t, Identity{Team: "listings", Caller: "dev", Service: "listing"}, id)
	r, err := s.Resolve("listing", "tea-small+hobart")
	require.NoError(t, err, "without a version the last one is taken")
	assert.Equal(t, "listing/tea-small@1+hobart", r.Key.String())
	assert.EqualValues(t, 64<<20, r.MemoryBytes)
	_, err = s.Resolve("listing", "tea-huge")
	assert.Equal(t, fault.UnknownModel, fault.KindOf(err))
	_, err = s.Resolve("other", "tea-small")
	assert.Equal(t, fault.UnknownService, fault.KindOf(err))
	svc, team, ok := s.Service("bookings")
	require.True(t, ok)
	assert.Equal(t, fleet.Team("bookings"), team)
	assert.True(t, svc.Idempotent("GET", "/seats/4"))
	assert.False(t, svc.Idempotent("POST", "/seats"))
	assert.EqualValues(t, 4, s.Revisions["bookings"])
	assert.Empty(t, empty.Revisions, "With leaves its receiver as it was")
}

func TestSnapshotsAgreeOnServiceHeldByTwoTeams(t *testing.T) {
	a, b := devTeam(t, "listings"), devTeam(t, "listings")
	b.Team = "another"
	for _, s := range []*Snapshot{empty.With(a, 1).With(b, 2), empty.With(b, 2).With(a, 1)} {
		_, team, ok := s.Service("listing")
		require.True(t, ok)
		assert.Equal(t, fleet.Team("another"), team)
	}
}
