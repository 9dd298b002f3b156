package kvtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/kv"
)

// Checks that a restored store behaves as the platform's service does after a restore,
// as platform.Store reports it.
func TestRestoreLosesWhatWasWrittenSinceTheCopy(t *testing.T) {
	s, ctx := new(Store), t.Context()
	kept, err := s.GrantLease(ctx, time.Hour)
	require.NoError(t, err)
	first, err := s.CompareAndSwap(ctx, "a", []byte("1"), 0, kept)
	require.NoError(t, err)
	older := s.Copy()
	second, err := s.CompareAndSwap(ctx, "a", []byte("2"), first, kv.LeaseID{})
	require.NoError(t, err)
	lost, err := s.GrantLease(ctx, time.Hour)
	require.NoError(t, err)

	s.Restore(older)
	assert.Equal(t, kv.FirstEra+1, s.Era())
	restored, err := s.Get(ctx, "a")
	require.NoError(t, err)
	assert.Equal(t, "1", string(restored.Value))
	assert.Equal(t, first.Counter(), restored.ModRevision.Counter())
	assert.Greater(t, restored.ModRevision, second)
	_, err = s.CompareAndSwap(ctx, "a", []byte("3"), first, kv.LeaseID{})
	require.ErrorIs(t, err, kv.ErrConflict, "a revision of the former era")
	for _, lease := range []kv.LeaseID{kept, lost, {Era: s.Era(), ID: lost.ID}} {
		_, err = s.CompareAndSwap(ctx, "b", nil, 0, lease)
		require.ErrorIs(t, err, kv.ErrLeaseExpired)
		require.ErrorIs(t, s.RenewLease(ctx, lease), kv.ErrLeaseExpired)
		require.ErrorIs(t, s.RevokeLease(ctx, lease), kv.ErrLeaseExpired)
	}
	require.NoError(t, s.RenewLease(ctx, restored.Lease), "the copy has this lease")
	again, err := s.CompareAndSwap(ctx, "a", []byte("3"), restored.ModRevision, kv.LeaseID{})
	require.NoError(t, err)
	assert.Equal(t, second.Counter(), again.Counter(), "it is given out again")
	granted, err := s.GrantLease(ctx, time.Hour)
	require.NoError(t, err)
	assert.Equal(t, lost.ID, granted.ID, "it is granted again")
	require.NoError(t, s.RenewLease(ctx, granted))

	s.Restore(older)
	assert.Equal(t, kv.FirstEra+2, s.Era())
}
