package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/platform"
	"almondturn/pkg/standin/kv"
	"almondturn/pkg/standin/vmlist"
)

func serve(t *testing.T) (*kv.Store, *platform.Client) {
	t.Helper()
	store := kv.New(platform.SystemClock{})
	srv := httptest.NewServer(kv.Handler(store, vmlist.New(0)))
	t.Cleanup(srv.Close)
	return store, platform.NewClient(srv.URL, 5*time.Second, nil)
}

// TestClientKeepsTheContract runs the same calls in process and over HTTP.
func TestClientKeepsTheContract(t *testing.T) {
	_, client := serve(t)
	for name, kvs := range map[string]platform.KV{"store": kv.New(platform.SystemClock{}), "client": client} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			_, err := kvs.Get(ctx, "a/1")
			require.ErrorIs(t, err, platform.ErrNotFound)
			rev, err := kvs.CompareAndSwap(ctx, "a/1", []byte("x y&="), 0, 0)
			require.NoError(t, err)
			_, err = kvs.CompareAndSwap(ctx, "a/1", nil, 0, 0)
			require.ErrorIs(t, err, platform.ErrConflict)

			events, err := kvs.Watch(ctx, "a/", rev-1)
			require.NoError(t, err)
			assert.Equal(t, []byte("x y&="), (<-events).Entry.Value)
			require.NoError(t, kvs.Delete(ctx, "a/1", rev))
			assert.True(t, (<-events).Deleted)

			id, err := kvs.GrantLease(ctx, time.Minute)
			require.NoError(t, err)
			require.NoError(t, kvs.RenewLease(ctx, id))
			_, err = kvs.CompareAndSwap(ctx, "a/2", []byte("z"), 0, id)
			require.NoError(t, err)
			require.NoError(t, kvs.RevokeLease(ctx, id))
			require.ErrorIs(t, kvs.RenewLease(ctx, id), platform.ErrLeaseExpired)
			entries, _, err := kvs.List(ctx, "a/")
			require.NoError(t, err)
			assert.Empty(t, entries)
		})
	}
}

func TestClientTellsLostAnswersFromOutages(t *testing.T) {
	store, client := serve(t)
	store.SetFaults(kv.Faults{LoseAnswers: 1})
	_, err := client.CompareAndSwap(t.Context(), "k", []byte("v"), 0, 0)
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	e, err := client.Get(t.Context(), "k")
	require.NoError(t, err, "the change took effect")
	assert.Equal(t, []byte("v"), e.Value)

	store.SetFaults(kv.Faults{Down: true})
	_, err = client.CompareAndSwap(t.Context(), "k", []byte("w"), e.ModRevision, 0)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, platform.ErrOutcomeUnknown)
}

func TestWatchFromAnOldRevisionIsCompacted(t *testing.T) {
	store, client := serve(t)
	rev, err := client.CompareAndSwap(t.Context(), "k", []byte("1"), 0, 0)
	require.NoError(t, err)
	snapshot := store.Snapshot()
	_, err = client.CompareAndSwap(t.Context(), "k", []byte("2"), rev, 0)
	require.NoError(t, err)
	store.Restore(snapshot)
	_, err = client.Watch(t.Context(), "", 0)
	require.ErrorIs(t, err, platform.ErrCompacted)
}
