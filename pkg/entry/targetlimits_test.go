package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/notices"
	"almondturn/wire"
)

// limitProtocol is a TargetProtocol whose responses name a limit of 2 if they have the
// header X-Limit, one that can't be read if that is "?", and the request's identifier in
// X-Id.
type limitProtocol struct{ plainProtocol }

func (limitProtocol) ParseResponse(h http.Header) ResponseInfo {
	return ResponseInfo{RequestID: h.Get("X-Id")}
}

func (limitProtocol) ParseNotice(_ int, h http.Header) notices.Notice {
	switch h.Get("X-Limit") {
	case "":
		return notices.Notice{}
	case "?":
		return notices.Notice{LimitUnreadable: true}
	}
	return notices.Notice{Limit: notices.RateLimit{Named: true, PerSecond: 2}}
}

// newLimitNode returns a node that has read a response of a target with a limit of 2.
func newLimitNode(t *testing.T) (*Node, *inventory.Target) {
	n, _ := newIdleNode(t)
	equipNode(n)
	n.targetProtocol = limitProtocol{}
	target := &inventory.Target{ID: "t1", Service: "s", Zone: "z", Incarnation: 1}
	n.targetSet.Store(inventory.NewTargetSet([]*inventory.Target{target}))
	n.observeHead(target, noticeFromRequest, http.StatusOK, http.Header{"X-Limit": {"2"}})
	require.True(t, n.notices.State(noticeKey(target)).Limit.Named)
	return n, target
}

// A response without the header ended a limit although it was older than it seemed, or was
// not to a request.
func TestOnlyAResponseToALaterRequestEndsALimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		observe func(n *Node, target *inventory.Target, named time.Time)
		ends    bool
	}{
		{"a later request", func(n *Node, target *inventory.Target, named time.Time) {
			n.observeRequestHead(target, "r1", named.Add(time.Millisecond), http.StatusOK, http.Header{"X-Id": {"r1"}})
		}, true},
		{"a request that was sent before", func(n *Node, target *inventory.Target, named time.Time) {
			n.observeRequestHead(target, "r1", named.Add(-time.Millisecond), http.StatusOK, http.Header{"X-Id": {"r1"}})
		}, false},
		{"a late copy of another request's", func(n *Node, target *inventory.Target, named time.Time) {
			n.observeRequestHead(target, "r1", named.Add(time.Millisecond), http.StatusOK, http.Header{"X-Id": {"r0"}})
		}, false},
		{"one without an identifier", func(n *Node, target *inventory.Target, named time.Time) {
			n.observeRequestHead(target, "r1", named.Add(time.Millisecond), http.StatusOK, http.Header{})
		}, false},
		{"a report", func(n *Node, target *inventory.Target, _ time.Time) {
			n.observeHead(target, NoticeFromReport, http.StatusOK, http.Header{})
		}, false},
		{"one that can't be read", func(n *Node, target *inventory.Target, named time.Time) {
			n.observeRequestHead(target, "r1", named.Add(time.Millisecond), http.StatusOK, http.Header{"X-Id": {"r1"}, "X-Limit": {"?"}})
		}, false},
		{"another incarnation's", func(n *Node, target *inventory.Target, named time.Time) {
			other := *target
			other.Incarnation = 2
			n.observeRequestHead(&other, "r1", named.Add(time.Millisecond), http.StatusOK, http.Header{"X-Id": {"r1"}})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, target := newLimitNode(t)
			c.observe(n, target, n.notices.State(noticeKey(target)).LimitAsOf)
			assert.Equal(t, !c.ends, n.notices.State(noticeKey(target)).Limit.Named)
		})
	}
}

// What another node had heard long ago replaced what this node has just heard.
func TestOlderNewsOfALimitIsIgnored(t *testing.T) {
	n, target := newLimitNode(t)
	news := func(named bool, age time.Duration) *wire.TargetLimits {
		return &wire.TargetLimits{Limits: []wire.TargetLimit{{Target: "t1", Incarnation: 1, Named: named, PerSecond: 9, AgeMillis: age.Milliseconds()}}}
	}
	n.receiveLimits("n2", news(false, time.Minute))
	n.receiveLimits("n2", news(true, time.Minute))
	assert.Equal(t, notices.RateLimit{Named: true, PerSecond: 2}, n.notices.State(noticeKey(target)).Limit)
	time.Sleep(5 * time.Millisecond)
	n.receiveLimits("n2", news(true, 0))
	assert.EqualValues(t, 9, n.notices.State(noticeKey(target)).Limit.PerSecond)
	require.Len(t, n.targetLimits().Limits, 1, "nodes that connect are told")
	time.Sleep(5 * time.Millisecond)
	n.receiveLimits("n2", news(false, 0))
	assert.Nil(t, n.targetLimits())
	assert.Empty(t, n.shares.buckets)
}

// A node without an owner chose a target with a limit as often as any other.
func TestChoiceWithoutAnOwnerKeepsToItsShareOfALimit(t *testing.T) {
	n, target := newLimitNode(t)
	target.Models = []inventory.LoadedModel{{Name: "m"}}
	now := time.Unix(1000, 0)
	n.notices = notices.NewLedger(func() time.Time { return now })
	n.notices.RecordLimit(noticeKey(target), notices.RateLimit{Named: true, PerSecond: 2}, now)
	j := newIdleJob()
	j.Model = "m"
	chosen := 0
	for range 600 { // a minute
		if a, ok := n.chooseByLastReport(j); ok {
			chosen++
			n.usages.release(now, a.target.ID, sendResult{kind: completed})
		}
		now = now.Add(100 * time.Millisecond)
	}
	assert.InDelta(t, 0.25*2*60, chosen, 2, "a quarter of the limit is for all nodes without an owner; this is the only one")
}

// Requests for a plain service whose only target has a limit were held until their deadline,
// or all sent at once.
func TestPlainRequestsAwaitTheirTurnOrAreRefused(t *testing.T) {
	n, target := newLimitNode(t)
	limit := notices.RateLimit{Named: true, PerSecond: 2}
	b := newIdleJob()
	b.Route.LatencyObjective = 100 * time.Millisecond
	sent := time.Now()
	_, refusal := n.choosePlainTarget(t.Context(), b)
	require.NotNil(t, refusal, "this node's share allows none for several seconds")
	assert.Less(t, time.Since(sent), time.Second)
	assert.Greater(t, refusal.RetryAfter, 300*time.Millisecond)
	wait, ok := n.reservePermit(t.Context(), target, limit, time.Hour)
	assert.True(t, ok)
	assert.Greater(t, wait, time.Second)
	again, ok := n.reservePermit(t.Context(), target, limit, time.Hour)
	assert.True(t, ok)
	assert.InDelta(t, 2, (again - wait).Seconds(), 0.1, "one each 2 s")
	wait, ok = n.reservePermit(t.Context(), target, notices.RateLimit{}, 0)
	assert.True(t, ok && wait == 0, "the limit has ended meanwhile")
}

// Limits of targets that were gone were kept for ever, at the owner too.
func TestLimitsOfTargetsThatAreGoneAreForgotten(t *testing.T) {
	n, target := newLimitNode(t)
	now := time.Unix(1000, 0)
	n.notices = notices.NewLedger(func() time.Time { return now })
	gone := notices.Key{Target: "t2", Incarnation: 1}
	for _, k := range []notices.Key{noticeKey(target), gone} {
		n.notices.RecordLimit(k, notices.RateLimit{Named: true, PerSecond: 2}, now)
	}
	now = now.Add(unheardLimitTime)
	n.forgetLimits()
	assert.Len(t, n.notices.Limits(), 2, "the list may lack a target for a while")
	now = now.Add(time.Second)
	n.forgetLimits()
	assert.Contains(t, n.notices.Limits(), noticeKey(target))
	assert.NotContains(t, n.notices.Limits(), gone)
}
