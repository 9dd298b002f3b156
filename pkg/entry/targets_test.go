package entry

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
)

// targetEntry returns the entry of a target at a revision of an era.
func targetEntry(t *testing.T, era kv.Era, counter uint64, target inventory.Target) kv.Entry {
	t.Helper()
	value, err := json.Marshal(target)
	require.NoError(t, err)
	return kv.Entry{Key: "targets/" + target.ID, Value: value, ModRevision: kv.Revision(counter).InEra(era)}
}

// Guards against a node that takes the list of a restored service for the current one, or
// that keeps a target for ever which does not register again.
func TestTargetsAreKeptForAWhileAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, log := newIdleNode(t)
		draining := inventory.Target{ID: "a", Service: "s", Zone: "z", Incarnation: 7, Draining: true}
		ready := draining
		ready.Draining = false
		later := inventory.Target{ID: "b", Service: "s", Zone: "z", Incarnation: 8}
		n.replaceTargets([]kv.Entry{targetEntry(t, 1, 50, draining), targetEntry(t, 1, 51, later)}, kv.Revision(51).InEra(1))
		n.replaceTargets([]kv.Entry{targetEntry(t, 2, 40, ready)}, kv.Revision(40).InEra(2))
		assert.Contains(t, log.String(), "targets_kept")
		assert.True(t, n.targetSet.Load().Target("a").Draining)
		assert.NotNil(t, n.targetSet.Load().Target("b"))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.True(t, n.targetSet.Load().Target("a").Draining)
		assert.Nil(t, n.targetSet.Load().Target("b"), "it has not registered again")
	})
}
