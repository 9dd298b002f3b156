package entry

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/intake"
	"almondturn/pkg/inventory"
	"almondturn/pkg/notices"
	"almondturn/pkg/upstream"
	"almondturn/pkg/zoneowner"
)

// plainProtocol is a TargetProtocol that takes each response for a signed one.
type plainProtocol struct{}

func (plainProtocol) RequestHeader(http.Header, TargetRequestInfo) http.Header { return nil }

func (plainProtocol) ParseNotice(int, http.Header) notices.Notice { return notices.Notice{} }

func (plainProtocol) ParseResponse(http.Header) ResponseInfo {
	return ResponseInfo{Signed: true}
}

// nextTarget is a target that holds its responses back.
type nextTarget struct {
	target *inventory.Target
	// received and canceled are sent to when a request has been received or its
	// connection was closed, release ends the wait for one response.
	received, canceled, release chan struct{}
}

// newNextTarget starts a target.
func newNextTarget(t *testing.T) *nextTarget {
	n := &nextTarget{received: make(chan struct{}, 1), canceled: make(chan struct{}, 1), release: make(chan struct{}, 1)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.received <- struct{}{}
		select {
		case <-n.release:
			w.Header().Set("Content-Type", "text/event-stream")
		case <-r.Context().Done():
			n.canceled <- struct{}{}
		}
	}))
	t.Cleanup(s.Close)
	n.target = &inventory.Target{ID: "next", Addr: s.Listener.Addr().String()}
	return n
}

// equipNode sets what a node needs to send requests to targets.
func equipNode(n *Node) {
	n.pool, n.targetProtocol, n.settings = upstream.NewPool(upstream.NewDialer(time.Second).DialContext), plainProtocol{}, &Settings{}
	n.bounds.Store(&Bounds{RetryWindow: time.Second, RetrySlack: 10})
	n.guard, n.links, n.notices = newCrashGuard(n), newLinks(n, nil), notices.NewLedger(time.Now)
	n.owner = zoneowner.New(zoneowner.Config{})
	n.intake = intake.New(intake.Limits{}, n.headLimits, n.clientLimited)
	n.links.nodeCounts["z"] = 1 // it knows how many nodes share the retries
}

// tryNext makes c try the target in the background, and returns the exchange and the
// result of try when the target has received the request.
func (n *nextTarget) tryNext(t *testing.T, c *continuation) (*exchange, <-chan error) {
	node := c.node
	equipNode(node)
	s := c.begin()
	require.NotNil(t, s)
	s.next = node.newExchange(c.requestCtx, &s.job, assignment{target: n.target})
	tried := make(chan error, 1)
	go func() {
		err := s.try()
		if err != nil {
			c.endSearch(time.Hour)
		}
		tried <- err
	}()
	<-n.received
	return s.next, tried
}

// A stream that goes on while the next target has its request is not cut, and the request
// there is ended.
func TestNextAttemptIsAbandonedWhenTheStreamGoesOn(t *testing.T) {
	next := newNextTarget(t)
	c, own, attempt := newSilentAttempt(t)
	_, tried := next.tryNext(t, c)
	require.True(t, c.writeBegins())
	c.writeEnded(own, 1, true)
	require.ErrorIs(t, <-tried, errNotNeeded)
	<-next.canceled
	require.NoError(t, attempt.Err())
	assert.Nil(t, c.stop(own, sendResult{}))
	assert.Equal(t, []any{1, 2, 0}, []any{own.possibleRuns, own.sends, len(own.excluded)}, "it may have run there")
}

// A stream that breaks while the next target has its request is continued there. It was
// cut, because the request there counted as the last run that the route allows.
func TestNextAttemptContinuesAStreamThatBreaksMeanwhile(t *testing.T) {
	next := newNextTarget(t)
	c, own, _ := newSilentAttempt(t)
	x, tried := next.tryNext(t, c)
	require.Equal(t, x, c.stop(own, sendResult{kind: outcomeUnknown}))
	require.ErrorIs(t, <-tried, errNotNeeded)
	next.release <- struct{}{}
	resp, err := x.response()
	require.NoError(t, err)
	defer resp.Close()
	assert.Equal(t, http.StatusOK, resp.Status)
	assert.Zero(t, own.possibleRuns)
}

// The attempt ends when the next target has begun to respond, and no response is lost.
func TestAttemptEndsWhenTheNextTargetResponds(t *testing.T) {
	next := newNextTarget(t)
	next.release <- struct{}{}
	c, own, attempt := newSilentAttempt(t)
	x, tried := next.tryNext(t, c)
	require.NoError(t, <-tried)
	require.ErrorIs(t, context.Cause(attempt), errStalled)
	require.Equal(t, x, c.stop(own, sendResult{kind: outcomeUnknown, err: errStalled}))
	resp, err := x.response()
	require.NoError(t, err)
	resp.Close()
}

// A request was sent to the next target when too little time remained to give the current
// attempt up for it.
func TestNoTargetIsTriedWithTooLittleTime(t *testing.T) {
	c, own, _ := newSilentAttempt(t)
	equipNode(c.node)
	c.node.targetSet.Store(inventory.NewTargetSet([]*inventory.Target{{ID: "next", Slots: 1}}))
	own.deadline = time.Now().Add(minTimeToContinue + maxOverlap/2)
	_, err := c.node.secure(t.Context(), own, "silent")
	require.ErrorIs(t, err, errTimeOver)
	own.deadline = time.Now().Add(time.Minute)
	a, err := c.node.secure(t.Context(), own, "silent")
	require.NoError(t, err)
	assert.Equal(t, "next", a.target.ID)
}

// An event that arrived in the instant in which the attempt was given up was written to the
// client, although the next target had been asked for it: that one's events did not follow
// the last one, and the stream was cut.
func TestEventOfAnAttemptThatWasGivenUpIsNotWritten(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, event) // arrives with the head
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(silent.Close)
	c, own, _ := newSilentAttempt(t)
	equipNode(c.node)
	c.current.assignment.target.Addr = silent.Listener.Addr().String()
	c.current.request = c.node.newExchange(t.Context(), own, c.current.assignment).request
	resp, err := c.current.roundTrip()
	require.NoError(t, err)
	defer resp.Close()
	search := c.begin()
	require.NotNil(t, search)
	next := &exchange{assignment: assignment{runID: 7}}
	require.True(t, c.handOver(search.ctx, next))

	w := httptest.NewRecorder()
	cr := &clientResponse{w: w, rc: http.NewResponseController(w), started: true, streaming: true}
	r := c.node.forwardStream(t.Context(), own, resp, cr, sendResult{}, c)
	assert.Equal(t, outcomeUnknown, r.kind)
	assert.Empty(t, w.Body.String())
	assert.Empty(t, own.resumeAfter)
	assert.Equal(t, next, c.stop(own, r))
}

// Guards against two requests with one identifier at one target at the same time.
func TestSilentTargetGetsTheNextRequestOnlyAfterTheAttempt(t *testing.T) {
	c, own, attempt := newSilentAttempt(t)
	equipNode(c.node)
	search := c.begin()
	x := c.node.newExchange(t.Context(), &search.job, c.current.assignment)
	search.next = x
	require.NoError(t, search.try())
	assert.Nil(t, x.ended, "not sent yet")
	require.ErrorIs(t, context.Cause(attempt), errStalled)
	assert.Equal(t, x, c.stop(own, sendResult{kind: outcomeUnknown}))
}

// startNextStream starts a target that responds to requests with the head of a stream and
// text, and sends nothing more.
func startNextStream(t *testing.T, text string) *inventory.Target {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	return &inventory.Target{ID: "next", Addr: s.Listener.Addr().String()}
}

// newSearchBeside returns the search for the next attempt of a stream whose last event is 2,
// at a next target.
func newSearchBeside(t *testing.T, next *inventory.Target, d diagnosis) (s *search, attempt context.Context) {
	c, own, attempt := newSilentAttempt(t)
	equipNode(c.node)
	own.resumeAfter = "2"
	c.job.engine = true
	c.writeBegins()
	c.writeEnded(own, 2, false)
	s = c.begin()
	require.NotNil(t, s)
	s.diagnosis = d
	s.next = c.node.newExchange(c.requestCtx, &s.job, assignment{target: next})
	return s, attempt
}

// A silent stream was given up for a target that had responded with a head, or had only had
// the request for a while, and then did not continue it.
func TestAttemptIsNotGivenUpBeforeTheNextEvent(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"head only":           {"", errOverlap},
		"comment":             {": alive\n\n", errOverlap},
		"part of an event":    {"id: 3\ndata: a", errOverlap},
		"begins anew":         {"id: 1\ndata: a\n\n", errEventOrder},
		"leaves an event out": {"id: 4\ndata: a\n\n", errEventOrder},
		"no identifier":       {"data: a\n\n", errEventOrder},
		"the next event":      {": alive\n\nid: 3\ndata: a\n\n", nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, attempt := newSearchBeside(t, startNextStream(t, c.text), targetWorking)
			err := s.try()
			if c.want != nil {
				require.ErrorIs(t, err, c.want)
				require.NoError(t, attempt.Err(), "the attempt goes on")
				assert.Equal(t, 1, s.c.job.possibleRuns, "it may have run there")
				return
			}
			require.NoError(t, err)
			require.ErrorIs(t, context.Cause(attempt), errStalled)
			resp, err := s.next.response()
			require.NoError(t, err)
			defer resp.Close()
			got := make([]byte, len(c.text))
			_, err = io.ReadFull(resp, got)
			require.NoError(t, err)
			assert.Equal(t, c.text, string(got), "what was read ahead is read again")
		})
	}
}

// Guards against two targets at work on one request where nothing can arrive from the first or
// its target hangs, and against the end of an attempt of which something may.
func TestAttemptEndsBeforeTheNextEventIfNothingCanArrive(t *testing.T) {
	for _, c := range []struct {
		diagnosis diagnosis
		response  silenceResponse
		ends      bool
	}{
		{targetUnknown, race, false},
		{targetWorking, race, false},
		{connectionLost, race, false},
		{runMissing, race, false},
		{connectionLost, leave, true},
		{runMissing, leave, true},
		{targetGone, leave, true},
		{targetHung, race, false},
		{targetHung, leave, true},
	} {
		s, attempt := newSearchBeside(t, startNextStream(t, ""), c.diagnosis)
		s.response = c.response
		err := s.try()
		if c.ends {
			require.NoError(t, err, c.diagnosis.String())
			require.ErrorIs(t, context.Cause(attempt), errStalled)
			s.next.giveUp(nil)
			continue
		}
		require.ErrorIs(t, err, errOverlap, c.diagnosis.String())
		require.NoError(t, attempt.Err())
	}
}

// unreachableTargets cannot be reached until the given number of probes were made; from then
// on, the target reports that it is at work on the run r1.
type unreachableTargets struct {
	probes  atomic.Int32
	failing int32
}

// Probe implements prober.
func (p *unreachableTargets) Probe(context.Context, *inventory.Target) (inventory.Report, error) {
	if p.probes.Add(1) <= p.failing {
		return inventory.Report{}, &upstream.SendError{Err: context.DeadlineExceeded}
	}
	return inventory.Report{Running: 1, Runs: map[string]int{"r1": 0}}, nil
}

// newSearchOfUnreachable is newSearchBeside for a target that cannot be reached for a number
// of probes.
func newSearchOfUnreachable(t *testing.T, probes int32) (s *search, attempt context.Context) {
	s, attempt = newSearchBeside(t, startNextStream(t, ""), targetUnreachable)
	s.job.ID = "r1"
	s.c.node.probes.targets, s.c.node.probes.ctx = &unreachableTargets{failing: probes}, t.Context()
	return s, attempt
}

// A target that cannot be reached may answer first: the attempt there goes on until the next
// target has continued the stream, for as long as that takes.
func TestAttemptAtAnUnreachableTargetGoesOn(t *testing.T) {
	s, attempt := newSearchOfUnreachable(t, math.MaxInt32)
	time.AfterFunc(4*maxOverlap, s.c.cancelSearch) // as an event does
	require.ErrorIs(t, s.try(), errNotNeeded)
	require.NoError(t, attempt.Err())
}

// Two targets were at work on one request without limit, because the probe of the first had
// failed once.
func TestTargetThatIsReachedAgainIsNotRacedForLonger(t *testing.T) {
	s, attempt := newSearchOfUnreachable(t, 1)
	require.ErrorIs(t, s.try(), errOverlap)
	require.NoError(t, attempt.Err())
	assert.Equal(t, targetWorking, s.diagnosis)
}

// With attempts left, a next target that is silent, too, is let go for another one.
func TestSilentNextTargetIsLetGoForAnotherOne(t *testing.T) {
	s, attempt := newSearchOfUnreachable(t, math.MaxInt32)
	s.job.Route.MaxAttempts = 9
	require.ErrorIs(t, s.try(), errOverlap)
	require.NoError(t, attempt.Err(), "it cannot be reached, and may still answer")
}

// A sound target that had just gone on was taken for one whose connection is lost, because
// its report overtook the event.
func TestLostConnectionIsConfirmed(t *testing.T) {
	s, _ := newSearchBeside(t, startNextStream(t, ""), targetUnknown)
	held := &heldProber{release: make(chan struct{})}
	close(held.release)
	s.c.node.probes.targets, s.c.node.probes.ctx = held, t.Context()
	s.job.ID, s.job.resumeAfter, s.eventCount = "r1", "", -1 // one event less than the report has
	time.AfterFunc(lossConfirmTime/3, s.c.cancelSearch)      // as an event does
	s.decide()
	require.Equal(t, connectionLost, s.diagnosis)
	assert.Error(t, s.ctx.Err(), "the event has ended the search before the decision")
}

// A silent target was asked again over a new connection, although nothing showed that only
// the one of the stream had failed.
func TestSilentTargetIsAskedAgainOnlyIfItsConnectionFailed(t *testing.T) {
	for d, again := range map[diagnosis]bool{targetUnknown: false, targetWorking: false, targetGone: false, targetUnreachable: false, targetHung: false, connectionLost: true, runMissing: true} {
		s, _ := newSearchBeside(t, startNextStream(t, ""), d)
		s.job.engine, s.response = false, leave // no owner is asked
		s.c.node.targetSet.Store(inventory.NewTargetSet([]*inventory.Target{{ID: "silent", Slots: 1}}))
		a, err := s.secure()
		if !again {
			require.ErrorIs(t, err, errSameTarget, d.String())
			continue
		}
		require.NoError(t, err, d.String())
		assert.Equal(t, "silent", a.target.ID)
	}
}
