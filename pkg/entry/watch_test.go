package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/kv"
)

// changedStore has one change to tell.
type changedStore struct{}

func (changedStore) List(context.Context, string) ([]kv.Entry, kv.Revision, error) {
	return nil, 1, nil
}

func (changedStore) Changes(context.Context, string, kv.Revision, time.Duration) ([]kv.WatchEvent, kv.Revision, error) {
	return []kv.WatchEvent{change("servers/a", 2)}, 2, nil
}

// TestFrozenOwnerHoldsNoWatchUp: the owner of the zone has stopped just before
// a target says that it leaves. The node has to learn it from the key-value
// service before the drain time is over, with the pauses between two looks.
func TestFrozenOwnerHoldsNoWatchUp(t *testing.T) {
	const drainTime = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := &watch{store: changedStore{}, refresh: make(chan struct{}, 1)}
		w.remote = func(ctx context.Context, _ kv.Revision, _ time.Duration) ([]kv.WatchEvent, kv.Revision, bool) {
			<-ctx.Done()
			return nil, 0, false
		}
		began := time.Now()
		events, _, err := w.fetch(t.Context(), 1)
		require.NoError(t, err)
		assert.Len(t, events, 1)
		assert.LessOrEqual(t, time.Since(began), drainTime/2)
	})
}
