package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/kv"
)

func change(key string, revision kv.Revision) kv.WatchEvent {
	return kv.WatchEvent{Entry: kv.Entry{Key: key, ModRevision: revision}}
}

// revisions returns those of the changes after a revision; nil when the feed
// does not know.
func (f *changeLog) revisions(after kv.Revision) []uint64 {
	out, _ := f.changesAfter(after)
	if !out.Available {
		return nil
	}
	list := []uint64{}
	for _, e := range out.Events {
		list = append(list, e.Revision)
	}
	return list
}

func TestFeedKnowsWhatItReachesBackTo(t *testing.T) {
	f := newChangeLog()
	assert.Nil(t, f.revisions(5), "nothing was read yet")
	f.reset(10)
	assert.Nil(t, f.revisions(9))
	assert.Empty(t, f.revisions(10))
	assert.Nil(t, f.revisions(11), "the other node knows more")
	f.add([]kv.WatchEvent{change("a", 12), change("b", 13)}, 14)
	assert.Equal(t, []uint64{12, 13}, f.revisions(10))
	assert.Equal(t, []uint64{13}, f.revisions(12))
	assert.Empty(t, f.revisions(14))
	f.markUnavailable()
	assert.Nil(t, f.revisions(12), "a node that has lost the service says nothing")
	f.reset(20)
	assert.Nil(t, f.revisions(14), "what was missed is not known")
}

// TestFeedNeverSkips: a node that follows the feed from any revision gets
// every later change once, however many are kept.
func TestFeedNeverSkips(t *testing.T) {
	f := newChangeLog()
	f.reset(0)
	const last = 4 * minRetainedChanges
	follower, got := kv.Revision(0), kv.Revision(0)
	for r := kv.Revision(1); r <= last; r++ {
		f.add([]kv.WatchEvent{change(fmt.Sprint(r), r)}, r)
		if r%1000 != 0 {
			continue
		}
		out, _ := f.changesAfter(follower)
		assert.True(t, out.Available)
		for _, e := range out.Events {
			assert.Equal(t, got+1, kv.Revision(e.Revision))
			got = kv.Revision(e.Revision)
		}
		follower = kv.Revision(out.Revision)
	}
	assert.Nil(t, f.revisions(last-2*minRetainedChanges-1))
	assert.Len(t, f.revisions(last-minRetainedChanges), minRetainedChanges)
}

// TestFeedTellsTheLastChangeOfAKey: what was changed again need not be sent.
func TestFeedTellsTheLastChangeOfAKey(t *testing.T) {
	f := newChangeLog()
	f.reset(0)
	f.add([]kv.WatchEvent{change("a", 1), change("b", 2), change("a", 3), {Entry: kv.Entry{Key: "b", ModRevision: 4}, Deleted: true}, change("c", 5)}, 5)
	assert.Equal(t, []uint64{3, 4, 5}, f.revisions(0))
	assert.Equal(t, []uint64{4, 5}, f.revisions(3))
}

func TestFeedWakesThoseThatWait(t *testing.T) {
	f := newChangeLog()
	f.reset(1)
	done := make(chan []uint64, 1)
	go func() {
		var list []uint64
		for _, e := range f.waitForChanges(context.Background(), 1, time.Hour).Events {
			list = append(list, e.Revision)
		}
		done <- list
	}()
	f.add(nil, 5) // nothing to tell yet
	f.add([]kv.WatchEvent{change("a", 6)}, 6)
	assert.Equal(t, []uint64{6}, <-done)
	go func() { done <- f.revisions(6); f.markUnavailable() }()
	<-done
	assert.False(t, f.waitForChanges(context.Background(), 6, time.Hour).Available, "a feed that stops lets nobody wait")
	f.reset(9)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.True(t, f.waitForChanges(ctx, 9, time.Hour).Available)
}
