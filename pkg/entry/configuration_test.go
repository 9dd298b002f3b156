package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/kv/kvtest"
	"almondturn/pkg/route"
	"almondturn/pkg/upstream"
	"almondturn/pkg/wait"
	"almondturn/pkg/zoneowner"
)

// idleStore is a key-value service that no call reaches.
type idleStore struct{ kvtest.Store }

func (*idleStore) Changes(context.Context, string, kv.Revision, time.Duration) ([]kv.WatchEvent, kv.Revision, error) {
	return nil, 0, kv.ErrUnavailable
}

func (*idleStore) SetRelay(func(context.Context, string, string, []byte) (kv.Response, error)) {}

func (*idleStore) Forward(context.Context, string, string, []byte) (kv.Response, error) {
	return kv.Response{}, kv.ErrUnavailable
}

func (*idleStore) SetRestoreObserver(func(previous, current kv.Era)) {}

func (*idleStore) AnnounceEra(kv.Era) {}

const testConfigurationKey = "configuration"

// decodeTestConfiguration decodes a configuration that is the JSON of its version.
func decodeTestConfiguration(entries map[string]kv.Entry) (*route.Table, error) {
	e, ok := entries[testConfigurationKey]
	if !ok {
		return nil, nil
	}
	var version int64
	if err := json.Unmarshal(e.Value, &version); err != nil {
		return nil, err
	}
	t := route.NewTable(version, nil, nil, route.RequestLimits{})
	t.Revision = e.ModRevision
	return t, nil
}

// idleTargets are targets that are never called.
type idleTargets struct{ zoneowner.Targets }

func (idleTargets) SetHeadObserver(func(*inventory.Target, string, int, http.Header)) {}

func (idleTargets) Probe(context.Context, *inventory.Target) (inventory.Report, error) {
	return inventory.Report{}, errors.ErrUnsupported
}

// decodeTestTarget decodes a target that is the JSON of inventory.Target.
func decodeTestTarget(_ string, value []byte) (*inventory.Target, error) {
	t := new(inventory.Target)
	return t, json.Unmarshal(value, t)
}

// logBuffer holds log lines. Its methods may be called concurrently.
type logBuffer struct {
	mu    sync.Mutex // guards lines
	lines bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// newIdleNode returns a node that has not started, and its log.
func newIdleNode(t *testing.T) (*Node, *logBuffer) {
	t.Helper()
	lines := new(logBuffer)
	log := zerolog.New(lines)
	dial := new(net.Dialer).DialContext
	n, err := New(Deps{
		Settings: &Settings{Node: "n", Zone: "z", Zones: []fleet.Zone{"z"}},
		Log:      &log, Dial: dial, Store: new(idleStore), Targets: idleTargets{}, Pool: upstream.NewPool(dial), Metrics: NewMetrics(),
		Decoder: Decoder{ConfigurationPrefix: testConfigurationKey, TargetPrefix: "targets/", Configuration: decodeTestConfiguration, Target: decodeTestTarget},
	})
	require.NoError(t, err)
	t.Cleanup(n.cancel)
	return n, lines
}

// configurationEntry returns the entry of a configuration at a revision of an era.
func configurationEntry(t *testing.T, value string, era kv.Era, counter uint64) kv.Entry {
	t.Helper()
	revision, err := kv.NewRevision(era, counter)
	require.NoError(t, err)
	return kv.Entry{Key: testConfigurationKey, Value: []byte(value), ModRevision: revision}
}

// Guards against configurations that are ignored after the key-value service came back
// from an older copy, because the revisions that it gives out again are lower.
func TestChangeAfterARestoreComesIntoForce(t *testing.T) {
	n, _ := newIdleNode(t)
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "13", 1, 401)}, 0)
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "13", 2, 390)}, 0)
	assert.EqualValues(t, 13, n.version())
	n.applyConfigurationChanges([]kv.WatchEvent{{Entry: configurationEntry(t, "16", 2, 395)}})
	assert.EqualValues(t, 16, n.version())
}

// Guards against a confirmed configuration that is replaced by the older one with which
// the key-value service came back, and by those that the operators write on the way to
// the newest one.
func TestOlderConfigurationOfARestoredServiceIsNotPutInForce(t *testing.T) {
	n, log := newIdleNode(t)
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "16", 1, 401)}, 0)
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "12", 2, 300)}, 0)
	assert.EqualValues(t, 16, n.version())
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "12", 2, 300)}, 0)
	assert.Equal(t, 1, strings.Count(log.String(), "configuration_kept"), "logged once: %s", log)
	entries, ok := n.configurationInForce.get()
	require.True(t, ok)
	assert.Equal(t, "16", string(entries[testConfigurationKey].Value), "nodes that start now get the newer one")
	n.applyConfigurationChanges([]kv.WatchEvent{{Entry: configurationEntry(t, "14", 2, 310)}})
	assert.EqualValues(t, 16, n.version())
	n.applyConfigurationChanges([]kv.WatchEvent{{Entry: configurationEntry(t, "16", 2, 320)}})
	assert.Equal(t, kv.Era(2), n.table.Load().Revision.Era())
	n.applyConfigurationChanges([]kv.WatchEvent{{Entry: configurationEntry(t, "17", 2, 330)}})
	assert.EqualValues(t, 17, n.version())
}

// Guards against an invalid configuration in a restored service that ends the one in force.
func TestInvalidConfigurationOfARestoredServiceIsIgnored(t *testing.T) {
	n, _ := newIdleNode(t)
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "16", 1, 401)}, 0)
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "{", 2, 300)}, 0)
	assert.EqualValues(t, 16, n.version())
	n.replaceConfiguration(nil, 0)
	assert.EqualValues(t, 16, n.version(), "the copy is from before the first configuration")
	n.applyConfigurationChanges([]kv.WatchEvent{{Entry: configurationEntry(t, "17", 2, 310)}})
	assert.EqualValues(t, 17, n.version())
}

// Two restores in a row, the second to a copy from before the first.
func TestConfigurationSurvivesTwoRestores(t *testing.T) {
	n, _ := newIdleNode(t)
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "16", 1, 401)}, 0)
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "12", 2, 300)}, 0)
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "9", 3, 200)}, 0)
	assert.EqualValues(t, 16, n.version())
	n.applyConfigurationChanges([]kv.WatchEvent{{Entry: configurationEntry(t, "20", 3, 201)}})
	assert.EqualValues(t, 20, n.version())
}

// Within an era the later write counts, even if its version is lower.
func TestLaterWriteOfAnEraComesIntoForce(t *testing.T) {
	n, _ := newIdleNode(t)
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "16", 1, 401)}, 0)
	n.applyConfigurationChanges([]kv.WatchEvent{{Entry: configurationEntry(t, "15", 1, 402)}})
	assert.EqualValues(t, 15, n.version())
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "16", 1, 401)}, 0)
	assert.EqualValues(t, 15, n.version(), "a list that is older than the change")
}

// Guards against a watch that pauses after each list, to copy a version that no other
// node has any more.
func TestAnnouncedVersionCountsForOneAttemptToCopyIt(t *testing.T) {
	n, _ := newIdleNode(t)
	n.observeVersion(16)
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "15", 1, 402)}, 0)
	assert.EqualValues(t, 15, n.version())
	began := time.Now()
	n.replaceConfiguration([]kv.Entry{configurationEntry(t, "15", 1, 402)}, 0)
	assert.Less(t, time.Since(began), watchRetryDelay)
	n.observeVersion(16)
	assert.EqualValues(t, 16, n.announcedVersion.Load(), "a node that has it announces it again")
}

// waitingStore is a service that lists an older configuration, without changes.
type waitingStore struct {
	idleStore
	list  []kv.Entry
	lists atomic.Int32
}

func (s *waitingStore) List(context.Context, string) ([]kv.Entry, kv.Revision, error) {
	s.lists.Add(1)
	return s.list, s.list[0].ModRevision, nil
}

func (*waitingStore) Changes(ctx context.Context, _ string, after kv.Revision, maxWait time.Duration) ([]kv.WatchEvent, kv.Revision, error) {
	select {
	case <-time.After(maxWait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, context.Cause(ctx)
	}
}

// A node to which others announce a version that none of them hands out lists the
// configuration at most once per watchRetryDelay.
func TestVersionThatCannotBeCopiedCausesFewLists(t *testing.T) {
	n, _ := newIdleNode(t)
	store := &waitingStore{list: []kv.Entry{configurationEntry(t, "12", 2, 300)}}
	n.configurationWatch.store = store
	const duration = 2 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	go func() {
		for wait.Sleep(ctx, 20*time.Millisecond) {
			n.observeVersion(16)
		}
	}()
	n.configurationWatch.run(ctx)
	t.Log(store.lists.Load(), "lists")
	assert.LessOrEqual(t, int(store.lists.Load()), int(duration/watchRetryDelay)+2)
	assert.GreaterOrEqual(t, store.lists.Load(), int32(3), "it goes on trying")
}
