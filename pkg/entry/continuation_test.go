package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

// newSilentAttempt returns the continuation of an attempt that has been silent for
// longer than eventWait, its job, and the context of the attempt.
func newSilentAttempt(t *testing.T) (*continuation, *job, context.Context) {
	log := zerolog.Nop()
	n := &Node{log: &log}
	x := &exchange{node: n, assignment: assignment{target: &inventory.Target{ID: "silent"}}}
	x.ctx, x.giveUp = context.WithCancelCause(t.Context())
	now := time.Now()
	j := &job{
		Request: &Request{Method: http.MethodPost, URI: "/", Host: "h", Route: &route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2, FirstEventTimeout: time.Minute}},
		arrived: now, deadline: now.Add(time.Minute), sends: 1,
	}
	c := n.watchSilence(t.Context(), x, j, true)
	require.NotNil(t, c)
	c.timer.Stop()
	c.progressAt = now.Add(-c.job.eventWait(true))
	return c, j, x.ctx
}

// A client that reads slowly is not taken for a silent target.
func TestNoTargetIsSoughtWhileTheClientReads(t *testing.T) {
	c, own, _ := newSilentAttempt(t)
	c.writeBegins()
	assert.Nil(t, c.begin())
	c.writeEnded(own, 0, false)
	s := c.begin()
	require.NotNil(t, s, "comments are no progress")
	assert.Equal(t, []string{"silent"}, s.job.excluded)
	c.writeBegins()
	c.writeEnded(own, 1, true)
	require.Error(t, s.ctx.Err(), "an event ends the search")
	c.endSearch(time.Hour)
	assert.Nil(t, c.begin(), "the stream is not silent any more")
	assert.Nil(t, c.stop(own, sendResult{}))
}

// An attempt that has gone on, or has ended, is not given up for what a search found.
func TestAttemptIsGivenUpOnlyWhileItIsSilent(t *testing.T) {
	for name, c := range map[string]struct {
		event   func(*continuation, *job)
		givenUp bool
	}{
		"silent":         {func(*continuation, *job) {}, true},
		"event received": {func(c *continuation, j *job) { c.writeEnded(j, 1, true) }, false},
		"being written":  {func(c *continuation, _ *job) { c.writeBegins() }, false},
		// It was cut, because no other target can go on after an event without identifier.
		"event without identifier": {func(c *continuation, j *job) { j.endsWithoutID = true; c.writeEnded(j, 1, false) }, false},
		"no time left":             {func(c *continuation, _ *job) { c.job.deadline = time.Now().Add(minRunTime) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			silent, own, attempt := newSilentAttempt(t)
			search := silent.begin()
			require.NotNil(t, search)
			c.event(silent, own)
			assert.Equal(t, c.givenUp, silent.handOver(search.ctx, &exchange{assignment: assignment{runID: 7}}))
			if !c.givenUp {
				silent.endSearch(time.Hour)
				require.NoError(t, attempt.Err())
				assert.Nil(t, silent.stop(own, sendResult{}))
				return
			}
			assert.ErrorIs(t, context.Cause(attempt), errStalled)
			assert.Equal(t, uint64(7), silent.stop(own, sendResult{}).assignment.runID)
		})
	}
}

func TestRefundedRetryMayBeSpentAgain(t *testing.T) {
	l := retryLimits{slack: 10, window: 10 * time.Second, nodes: 1}
	b := new(retryBudget)
	spent := b.spendAll(now, l)
	b.refund(now.Add(3*time.Second), l, spent[0])
	assert.Len(t, b.spendAll(now.Add(3*time.Second), l), 1)
	b.refund(now.Add(time.Hour), l, spent[1])
	assert.InDelta(t, 7, b.remaining(now.Add(time.Hour), l), 0.01, "a retry that has left the window is not refunded")
}

// A stream whose last event had no identifier when it was checked was never checked again,
// so that it was not continued elsewhere when it fell silent later.
func TestStreamIsCheckedAgainAfterAnEventWithoutIdentifier(t *testing.T) {
	c, own, _ := newSilentAttempt(t)
	own.endsWithoutID = true
	c.writeBegins()
	c.writeEnded(own, 1, false)
	require.Nil(t, c.begin(), "no target can go on after it")
	assert.True(t, c.timer.Stop(), "a check is due")
	own.endsWithoutID = false
	c.writeBegins()
	c.writeEnded(own, 2, true)
	c.progressAt = time.Now().Add(-c.job.eventWait(true))
	assert.NotNil(t, c.begin())
	c.endSearch(time.Hour)
	assert.Nil(t, c.stop(own, sendResult{}))
}
