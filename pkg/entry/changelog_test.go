package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/kv"
)

// change returns a change of a key without a value.
func change(key string, revision kv.Revision) kv.WatchEvent {
	return kv.WatchEvent{Entry: kv.Entry{Key: key, ModRevision: revision}}
}

// testMaxAge is the greatest age of the change logs of these tests.
const testMaxAge = time.Minute

// newTestChangeLog returns a changeLog with the greatest age testMaxAge.
func newTestChangeLog() *changeLog {
	return newChangeLog(func() time.Duration { return testMaxAge }, time.Now)
}

// revisions returns the revisions of the changes after a revision, nil if the
// change log cannot serve them.
func (c *changeLog) revisions(after kv.Revision) []uint64 {
	out, _, _ := c.changesAfter(after)
	if !out.Available {
		return nil
	}
	list := []uint64{}
	for _, e := range out.Events {
		list = append(list, e.Revision)
	}
	return list
}

func TestChangeLogServesOnlyCompleteRanges(t *testing.T) {
	c := newTestChangeLog()
	assert.Nil(t, c.revisions(5), "nothing was read yet")
	c.reset(10, time.Now())
	assert.Nil(t, c.revisions(9))
	assert.Empty(t, c.revisions(10))
	assert.Nil(t, c.revisions(11), "the other node is ahead")
	c.add([]kv.WatchEvent{change("a", 12), change("b", 13)}, 14, time.Now())
	assert.Equal(t, []uint64{12, 13}, c.revisions(10))
	assert.Equal(t, []uint64{13}, c.revisions(12))
	assert.Empty(t, c.revisions(14))
	c.markUnavailable()
	assert.Nil(t, c.revisions(12), "a node without the key-value service serves no changes")
	c.reset(20, time.Now())
	assert.Nil(t, c.revisions(14), "changes were missed while the service was unavailable")
}

// TestChangeLogServesEveryChangeOnce guards against skipped and repeated
// changes when old ones are discarded while a node follows the log.
func TestChangeLogServesEveryChangeOnce(t *testing.T) {
	c := newTestChangeLog()
	c.reset(0, time.Now())
	const last = 4 * minRetainedChanges
	follower, got := kv.Revision(0), kv.Revision(0)
	for r := kv.Revision(1); r <= last; r++ {
		c.add([]kv.WatchEvent{change(fmt.Sprint(r), r)}, r, time.Now())
		if r%1000 != 0 {
			continue
		}
		out, _, _ := c.changesAfter(follower)
		assert.True(t, out.Available)
		for _, e := range out.Events {
			assert.Equal(t, got+1, kv.Revision(e.Revision))
			got = kv.Revision(e.Revision)
		}
		follower = kv.Revision(out.Revision)
	}
	assert.Nil(t, c.revisions(last-2*minRetainedChanges-1))
	assert.Len(t, c.revisions(last-minRetainedChanges), minRetainedChanges)
}

// TestChangeLogServesLastChangePerKey checks that a change is not sent if a
// later one of the same key replaces it.
func TestChangeLogServesLastChangePerKey(t *testing.T) {
	c := newTestChangeLog()
	c.reset(0, time.Now())
	c.add([]kv.WatchEvent{change("a", 1), change("b", 2), change("a", 3), {Entry: kv.Entry{Key: "b", ModRevision: 4}, Deleted: true}, change("c", 5)}, 5, time.Now())
	assert.Equal(t, []uint64{3, 4, 5}, c.revisions(0))
	assert.Equal(t, []uint64{4, 5}, c.revisions(3))
}

func TestWaitForChangesReturnsOnChangeUnavailabilityOrCancellation(t *testing.T) {
	c := newTestChangeLog()
	c.reset(1, time.Now())
	done := make(chan []uint64, 1)
	go func() {
		var list []uint64
		for _, e := range c.waitForChanges(context.Background(), 1, time.Hour).Events {
			list = append(list, e.Revision)
		}
		done <- list
	}()
	c.add(nil, 5, time.Now()) // a new revision without a change wakes nobody
	c.add([]kv.WatchEvent{change("a", 6)}, 6, time.Now())
	assert.Equal(t, []uint64{6}, <-done)
	// The value sent to done only signals that the goroutine runs.
	// markUnavailable may come before waitForChanges or during its wait.
	go func() { done <- c.revisions(6); c.markUnavailable() }()
	<-done
	assert.False(t, c.waitForChanges(context.Background(), 6, time.Hour).Available, "an unavailable change log ends the wait")
	c.reset(9, time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.True(t, c.waitForChanges(ctx, 9, time.Hour).Available)
}

// An owner that the key-value service had left without responses answered "no changes" for
// as long as its call waited, and other nodes sent requests to targets that had left.
func TestChangeLogIsServedOnlyWhileItIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestChangeLog()
		c.reset(1, time.Now())
		time.Sleep(testMaxAge / 4)
		out, _, _ := c.changesAfter(1)
		assert.True(t, out.Available)
		assert.InDelta(t, (testMaxAge / 4).Milliseconds(), out.AgeMillis, 1, "the node that asks learns the age")
		c.add(nil, 1, time.Now().Add(-testMaxAge/8))
		start := time.Now()
		out = c.waitForChanges(t.Context(), 1, time.Hour)
		assert.False(t, out.Available)
		assert.Equal(t, testMaxAge-testMaxAge/8, time.Since(start), "a node that waits is told at once")
		assert.Positive(t, out.AgeMillis, "the age is why")
		c.add(nil, 1, time.Now())
		assert.Empty(t, c.revisions(1))
		assert.NotNil(t, c.revisions(1), "confirmed again")
		c.markUnavailable()
		assert.Zero(t, c.waitForChanges(t.Context(), 1, time.Hour).AgeMillis)
	})
}

// A response that took the whole wait must not count for the time at which it was asked for
// only: the copy would be too old before the next response, on a day without changes.
func TestNextCallEndsBeforeTheCopyIsTooOld(t *testing.T) {
	for _, maxAge := range []time.Duration{minTargetsAge, 1500 * time.Millisecond, maxOwnersAge, time.Minute} {
		now := time.Unix(1000, 0)
		f := freshness{maxAge: func() time.Duration { return maxAge }, now: func() time.Time { return now }}
		for _, age := range []time.Duration{0, maxAge / 10, maxAge / 3, maxAge / 2, maxAge * 2 / 3} {
			f.confirm(now.Add(-age))
			maxWait, timeout := f.nextCall()
			assert.GreaterOrEqual(t, maxWait, minChangesWait)
			assert.LessOrEqual(t, maxWait, changesWait)
			assert.LessOrEqual(t, age+maxWait, max(maxAge, age+minChangesWait))
			assert.LessOrEqual(t, timeout, max(maxAge-age, maxAge/3+minChangesWait), "a call without a response ends in time")
			now = now.Add(time.Hour)
		}
	}
}
