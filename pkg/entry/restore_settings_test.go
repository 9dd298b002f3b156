package entry

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/kv"
)

// Guards against settings that are not written again because the copy has none.
func TestOnRestoreIsCalledIfTheServiceCameBackEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := newIdleNode(t)
		calls := 0
		n.onRestore = func(_ context.Context, held, listed map[string]kv.Entry) {
			calls++
			assert.Len(t, held, 1)
			assert.Empty(t, listed)
		}
		n.replaceConfiguration(nil, kv.Revision(390).InEra(2))
		synctest.Wait()
		assert.Zero(t, calls, "nothing is in force")
		n.replaceConfiguration([]kv.Entry{configurationEntry(t, "16", 1, 401)}, kv.Revision(401).InEra(1))
		n.replaceConfiguration(nil, kv.Revision(390).InEra(2))
		n.replaceConfiguration(nil, kv.Revision(390).InEra(2))
		synctest.Wait()
		assert.Equal(t, 1, calls)
	})
}

// Guards against settings that are not written again, because the only node that is left
// with them was started after the restore and has copied them from a peer.
func TestOnRestoreIsCalledForACopiedConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := newIdleNode(t)
		var calls []string
		n.onRestore = func(_ context.Context, held, _ map[string]kv.Entry) {
			calls = append(calls, string(held[testConfigurationKey].Value))
		}
		listed := configurationEntry(t, "12", 2, 300)
		list := func() {
			n.replaceConfiguration([]kv.Entry{listed}, listed.ModRevision)
			synctest.Wait()
		}
		list()
		assert.Empty(t, calls)
		for counter, version := range []string{"15", "16"} {
			n.considerConfiguration(entriesByKey([]kv.Entry{configurationEntry(t, version, 1, 401+uint64(counter))}))
			list()
			list()
		}
		assert.Equal(t, []string{"15", "16"}, calls)
	})
}

// Guards against settings that are not written again after a restore of the key-value
// service, and against nodes that try so at each list.
func TestOnRestoreIsCalledOncePerEraWithTheConfigurationInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := newIdleNode(t)
		var calls [][2]string
		n.onRestore = func(_ context.Context, held, listed map[string]kv.Entry) {
			calls = append(calls, [2]string{string(held[testConfigurationKey].Value), string(listed[testConfigurationKey].Value)})
		}
		list := func(e kv.Entry) {
			n.replaceConfiguration([]kv.Entry{e}, e.ModRevision)
			synctest.Wait()
		}
		list(configurationEntry(t, "16", 1, 401))
		list(configurationEntry(t, "17", 1, 402))
		assert.Empty(t, calls, "no restore")
		list(configurationEntry(t, "12", 2, 300))
		list(configurationEntry(t, "12", 2, 300))
		assert.Equal(t, [][2]string{{"17", "12"}}, calls)
		list(configurationEntry(t, "9", 3, 200))
		assert.Equal(t, [2]string{"17", "9"}, calls[1], "what is in force, not what was listed before")
		list(configurationEntry(t, "18", 4, 150))
		assert.Equal(t, [2]string{"17", "18"}, calls[2], "also if the listed one supersedes it")
		n.applyConfigurationChanges([]kv.WatchEvent{{Entry: configurationEntry(t, "19", 4, 151)}})
		list(configurationEntry(t, "19", 5, 150))
		assert.Equal(t, [2]string{"19", "19"}, calls[3])
		assert.Len(t, calls, 4)
	})
}
