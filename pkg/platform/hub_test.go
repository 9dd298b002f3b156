package platform_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/platform"
	"almondturn/pkg/standin/kv"
)

func put(t *testing.T, s *kv.Store, key string) platform.Revision {
	t.Helper()
	rev, err := s.CompareAndSwap(t.Context(), key, []byte("v"), 0, 0)
	require.NoError(t, err)
	return rev
}

func TestHubSharesOneWatch(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	hub := platform.NewHub(store)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first := put(t, store, "fleet/a/1")
	a, err := hub.Watch(ctx, "fleet/a/", first)
	require.NoError(t, err)
	second := put(t, store, "fleet/b/1")
	b, err := hub.Watch(ctx, "fleet/b/", first)
	require.NoError(t, err)
	assert.Equal(t, second, (<-b).Entry.ModRevision, "a later watcher gets the events since its revision")
	third := put(t, store, "fleet/a/2")
	assert.Equal(t, third, (<-a).Entry.ModRevision)
	assert.Equal(t, 1, store.Calls()["watch"])
	_, err = hub.Watch(ctx, "fleet/a/", first-1)
	require.ErrorIs(t, err, platform.ErrCompacted, "events before the shared watch are not there")
	_, err = hub.Watch(ctx, "slots/", third)
	require.NoError(t, err)
	assert.Equal(t, 2, store.Calls()["watch"], "other prefixes are not shared")
}

func TestHubEndsAllWatchesWithTheSharedOne(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	hub := platform.NewHub(store)
	a, err := hub.Watch(t.Context(), "fleet/a/", 0)
	require.NoError(t, err)
	b, err := hub.Watch(t.Context(), "fleet/b/", 0)
	require.NoError(t, err)
	store.SetFaults(kv.Faults{Down: true})
	_, open := <-a
	assert.False(t, open)
	_, open = <-b
	assert.False(t, open)
	_, err = hub.Watch(t.Context(), "fleet/a/", 0)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	store.SetFaults(kv.Faults{})
	rev := put(t, store, "fleet/a/1")
	a, err = hub.Watch(t.Context(), "fleet/a/", rev-1)
	require.NoError(t, err)
	assert.Equal(t, rev, (<-a).Entry.ModRevision)
}

func TestHubReopensAfterTheLastWatcher(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	hub := platform.NewHub(store)
	var rev platform.Revision
	for i := range 100 {
		ctx, cancel := context.WithCancel(t.Context())
		events, err := hub.Watch(ctx, "fleet/", rev)
		require.NoError(t, err)
		rev = put(t, store, fmt.Sprintf("fleet/%d", i))
		ev, open := <-events
		require.True(t, open, "an ended shared watch must not end its successor's watchers")
		require.Equal(t, rev, ev.Entry.ModRevision)
		cancel()
		for range events {
			require.Fail(t, "no further event")
		}
	}
}

// TestHubGivesUpWithTheFirstWatcher: a host that does not answer must not
// hold the hub for ever.
func TestHubGivesUpWithTheFirstWatcher(t *testing.T) {
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	hub := platform.NewHub(platform.NewClient("http://127.0.0.1:1", time.Hour, silent))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := hub.Watch(ctx, "fleet/", 0)
		done <- err
	}()
	cancel()
	require.Error(t, <-done)
	short := platform.NewHub(platform.NewClient("http://127.0.0.1:1", time.Millisecond, silent))
	_, err := short.Watch(context.WithoutCancel(t.Context()), "fleet/", 0)
	require.ErrorIs(t, err, platform.ErrUnavailable)
}
