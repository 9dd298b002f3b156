package zoneowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/kv"
	"almondturn/pkg/kv/kvtest"
	"almondturn/pkg/route"
	"almondturn/wire"
)

// Guards against a next owner that relies on a peer lease of long ago, or on a deleted key of
// long ago: the last owner trusts a revoked lease until it would have expired. After a crash
// of the last owner the delay must not grow.
func TestHandoverDelayDependsOnWhenTheKeyWasDeleted(t *testing.T) {
	const tick = 100 * time.Millisecond
	for name, c := range map[string]struct {
		granted, deleted time.Duration // before the node acquired the zone
		otherRecord      bool          // the record was written since
		want             time.Duration // beyond the handover delay
	}{
		"crash just after the last peer lease":           {granted: PeerLeaseTTL, deleted: 0},
		"crash just before the next renewal":             {granted: PeerLeaseTTL + renewInterval, deleted: 0},
		"renewed long before the last peer lease":        {granted: PeerLeaseTTL, deleted: renewInterval},
		"cut off since, revoked now":                     {granted: 5 * time.Second, deleted: 0, want: defaultLeaseTTL},
		"cut off since, revoked before":                  {granted: 5 * time.Second, deleted: tick, want: defaultLeaseTTL - tick},
		"cut off since, revoked long before":             {granted: 5 * time.Second, deleted: defaultLeaseTTL},
		"revoked when the peer lease was granted":        {granted: PeerLeaseTTL, deleted: PeerLeaseTTL},
		"revoked after the peer lease was granted":       {granted: PeerLeaseTTL, deleted: PeerLeaseTTL - tick, want: tick},
		"without the service for long":                   {granted: PeerLeaseTTL, deleted: time.Minute},
		"registered again since the key was deleted":     {granted: PeerLeaseTTL, deleted: time.Minute, otherRecord: true, want: defaultLeaseTTL},
		"registered again, revoked when it would expire": {granted: PeerLeaseTTL, deleted: 0, otherRecord: true, want: defaultLeaseTTL},
	} {
		acquired := time.Unix(1_700_000_000, 0)
		o := newSingleOwner(new(kvtest.Store))
		o.peerLeaseOwnerAddr, o.peerLeaseGrantedAt = otherAddr, acquired.Add(-c.granted)
		free := vacancy{acquired.Add(-c.deleted), inEra(1, 7)}
		revision := inEra(1, 7)
		if c.otherRecord {
			revision = inEra(1, 8)
		}
		got := o.earliestOrder(lastOwnerRecord{Addr: otherAddr}, free.sinceRecord(revision), kv.FirstEra, acquired)
		assert.Equal(t, c.want, got.Sub(acquired.Add(testHandoverDelay+handoverMargin)), name)
	}
}

// Guards against a vacancy that counts from before the last owner's last registration.
func TestVacancyBeginsAgainWithTheKeyOrTheRecord(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d * time.Second) }
	var v vacancy
	v.observeRecord(at(0), 1)
	v.observeKey(at(1), false)
	v.observeKey(at(2), false)
	assert.Equal(t, at(1), v.since)
	v.observeRecord(at(3), 1)
	assert.Equal(t, at(1), v.since)
	v.observeRecord(at(4), 2)
	assert.Equal(t, at(4), v.since, "an owner has written the record")
	v.observeKey(at(5), true)
	assert.Zero(t, v.since)
	v.observeRecord(at(6), 3)
	assert.Zero(t, v.since)
	v.observeKey(at(7), false)
	assert.Equal(t, at(7), v.since)
}

// changingStore calls onGet after a read, before its result is returned.
type changingStore struct {
	*kvtest.Store
	onGet func()
}

func (s changingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	s.onGet()
	return e, err
}

// Guards against a read of the owner key whose result arrives after a later change of it: the
// zone looked free from then on, also when the owner's lease was revoked much later.
func TestOlderReadOfTheKeyIsIgnored(t *testing.T) {
	o := newSingleOwner(new(kvtest.Store))
	registered := OwnerRecord{Node: "n2", Addr: otherAddr, Incarnation: "i2"}
	o.cfg.Store = changingStore{new(kvtest.Store), func() { o.ObserveKey(registered, inEra(1, 9)) }}
	o.refreshKey(t.Context(), OwnerKey(singleOwnerZone))
	assert.Equal(t, ownerEntry{registered, inEra(1, 9)}, o.currentEntry)
	assert.Zero(t, o.vacancy.since)
	o.cfg.Store = changingStore{new(kvtest.Store), func() {}}
	o.refreshKey(t.Context(), OwnerKey(singleOwnerZone))
	assert.Empty(t, o.currentEntry)
	assert.NotZero(t, o.vacancy.since)
}

// Guards against a handover delay that grows because the node sees its own key before it has
// computed the delay.
func TestHandoverAfterACrashIsNotLongerIfTheNodeSeesItsOwnKeyEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(kvtest.Store)
		writeLastOwner(t, s, lastOwnerRecord{Addr: otherAddr, Token: 1})
		o := newSingleOwner(s)
		e, err := s.Get(t.Context(), LastOwnerKey(singleOwnerZone))
		require.NoError(t, err)
		o.ObserveLastOwner(e.Value, e.ModRevision)
		o.services = map[string]*route.Service{}
		require.True(t, o.GrantPeerLease(fleet.Node{Zone: singleOwnerZone, Addr: otherAddr}, &wire.PeerLeaseRequest{Zone: singleOwnerZone}).Granted)
		time.Sleep(PeerLeaseTTL)
		o.ObserveKey(OwnerRecord{}, 0)
		o.cfg.Store = watchedStore{s, o}
		require.NoError(t, o.acquire(t.Context(), ownerEntry{}))
		assert.Equal(t, testHandoverDelay+handoverMargin, time.Until(o.term.ordersFrom))
		o.Abort()
		synctest.Wait()
	})
}

// watchedStore reports each write of the owner key to a node before the write returns.
type watchedStore struct {
	*kvtest.Store
	o *Owner
}

func (s watchedStore) CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.LeaseID) (kv.Revision, error) {
	revision, err := s.Store.CompareAndSwap(ctx, key, value, expect, lease)
	if err == nil && key == OwnerKey(singleOwnerZone) {
		s.o.refreshKey(ctx, key)
	}
	return revision, err
}
