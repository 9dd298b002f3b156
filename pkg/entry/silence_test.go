package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
	"almondturn/pkg/upstream"
)

// Guards against streams that are given up, and last attempts that are spent, because of
// silence alone.
func TestSilenceAloneDoesNotSpendTheLastAttempt(t *testing.T) {
	const lastChance = 3 * time.Second
	for _, c := range []struct {
		diagnosis    diagnosis
		attemptsLeft int
		silence      time.Duration
		want         silenceResponse
	}{
		{targetUnknown, 1, lastChance - 1, stay},
		{targetWorking, 1, lastChance - 1, stay},
		{targetUnknown, 1, lastChance, race},
		{targetWorking, 1, lastChance, race},
		{targetUnknown, 2, 0, race},
		{targetWorking, 2, 0, race},
		{targetWorking, 2, lastChance, race},
		{connectionLost, 1, lastChance - 1, stay},
		{runMissing, 1, lastChance - 1, stay},
		{connectionLost, 2, lastChance - 1, race},
		{runMissing, 2, lastChance - 1, race},
		{connectionLost, 1, lastChance, leave},
		{runMissing, 1, lastChance, leave},
		{targetGone, 1, 0, leave},
		{targetHung, 1, lastChance - 1, stay},
		{targetHung, 2, lastChance - 1, race},
		{targetHung, 1, lastChance, leave},
		{targetHung, 0, lastChance, stay},
		{targetUnreachable, 1, 0, leave},
		{targetUnreachable, 2, lastChance, leave},
		{targetGone, 0, lastChance, stay},
		{targetWorking, 0, lastChance, stay},
	} {
		assert.Equal(t, c.want, respondToSilence(c.diagnosis, c.attemptsLeft, c.silence, lastChance), "%s, %d attempts left, silent for %s", c.diagnosis, c.attemptsLeft, c.silence)
	}
}

// Guards against a decision so late that the client has left.
func TestLastChanceIsBeforeTheClientLeaves(t *testing.T) {
	j := &job{Request: &Request{Route: &route.Route{Kind: route.Stream, FirstEventTimeout: 4 * time.Second}}}
	assert.Equal(t, 3*time.Second, j.lastChance())
	j.Route.FirstEventTimeout = 0
	assert.Equal(t, 2*minNextEventWait, j.lastChance())
}

// Guards against a sound target that is taken for one that has failed, and the reverse.
func TestDiagnosisOfASilentTarget(t *testing.T) {
	target := &inventory.Target{ID: "t", Incarnation: 7}
	runs := func(made int) map[string]int { return map[string]int{"other": 9, "r1": made} }
	notSent := func(err error) error { return fmt.Errorf("report: %w", &upstream.SendError{Err: err}) }
	for name, c := range map[string]struct {
		report inventory.Report
		err    error
		want   diagnosis
	}{
		"run with the events that arrived": {inventory.Report{Incarnation: 7, Running: 2, Runs: runs(12)}, nil, targetWorking},
		"run with fewer events":            {inventory.Report{Incarnation: 7, Running: 2, Runs: runs(3)}, nil, targetWorking},
		"run with more events":             {inventory.Report{Incarnation: 7, Running: 2, Runs: runs(13)}, nil, connectionLost},
		"no such run":                      {inventory.Report{Incarnation: 7, Running: 1, Runs: map[string]int{"other": 1}}, nil, runMissing},
		"no run at all":                    {inventory.Report{Incarnation: 7, Runs: map[string]int{}}, nil, runMissing},
		"no such run, but one waits":       {inventory.Report{Incarnation: 7, Running: 1, Waiting: 1, Runs: map[string]int{"other": 1}}, nil, targetUnknown},
		"no such run in a partial list":    {inventory.Report{Incarnation: 7, Running: 2, Runs: map[string]int{"other": 1}}, nil, targetUnknown},
		"no list of runs":                  {inventory.Report{Incarnation: 7, Running: 2}, nil, targetUnknown},
		"nothing about runs":               {inventory.Report{Incarnation: 7}, nil, targetUnknown},
		"another incarnation":              {inventory.Report{Incarnation: 8, Runs: runs(12)}, nil, targetGone},
		"another target":                   {inventory.Report{}, fmt.Errorf("report: %w", inventory.ErrOtherTarget), targetGone},
		"refused":                          {inventory.Report{}, notSent(&net.OpError{Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}), targetUnknown},
		"no connection in time":            {inventory.Report{}, notSent(context.DeadlineExceeded), targetUnreachable},
		"dial timeout":                     {inventory.Report{}, notSent(&net.OpError{Err: os.ErrDeadlineExceeded}), targetUnreachable},
		"no path":                          {inventory.Report{}, notSent(&net.OpError{Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)}), targetUnreachable},
		"no report in time":                {inventory.Report{}, &upstream.SendError{Sent: true, Err: context.DeadlineExceeded}, targetHung},
		"reset once connected":             {inventory.Report{}, &upstream.SendError{Sent: true, Err: syscall.ECONNRESET}, targetUnknown},
		"unreadable":                       {inventory.Report{}, errors.New("decode report"), targetUnknown},
	} {
		assert.Equal(t, c.want, diagnose(c.report, c.err, attemptState{"r1", target, "12", 4}), name)
	}
}

// Targets may count the events of a run that continues a stream from either beginning.
func TestEventsOfAContinuedRunAreCountedFromEitherBeginning(t *testing.T) {
	assert.Equal(t, 12, attemptState{lastEventID: "12", eventCount: 4}.eventsArrived())
	assert.Equal(t, 4, attemptState{lastEventID: "x", eventCount: 4}.eventsArrived())
	assert.Equal(t, 4, attemptState{eventCount: 4}.eventsArrived())
}

// heldProber counts its probes and holds them back.
type heldProber struct {
	probes  atomic.Int32
	release chan struct{}
}

// Probe implements prober.
func (p *heldProber) Probe(ctx context.Context, _ *inventory.Target) (inventory.Report, error) {
	p.probes.Add(1)
	select {
	case <-p.release:
		return inventory.Report{Runs: map[string]int{"r1": 0}}, nil
	case <-ctx.Done():
		return inventory.Report{}, &upstream.SendError{Sent: true, Err: ctx.Err()}
	}
}

// Guards against a probe for each stream of a target that has fallen silent.
func TestStreamsOfATargetShareItsProbe(t *testing.T) {
	held := &heldProber{release: make(chan struct{})}
	probes := &targetProbes{targets: held, ctx: t.Context()}
	target := &inventory.Target{ID: "t"}
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() { probes.diagnose(t.Context(), attemptState{requestID: "r1", target: target}) })
	}
	require.Eventually(t, func() bool { return held.probes.Load() == 1 }, time.Minute, time.Millisecond)
	close(held.release)
	wg.Wait()
	assert.Equal(t, targetWorking, probes.diagnose(t.Context(), attemptState{requestID: "r1", target: target}), "a recent result is used again")
	assert.EqualValues(t, 1, held.probes.Load())
	probes.recent[noticeKey(target)].ended = time.Now().Add(-probeReuse)
	probes.diagnose(t.Context(), attemptState{requestID: "r1", target: target})
	assert.EqualValues(t, 2, held.probes.Load(), "an old one is not")
	probes.diagnose(t.Context(), attemptState{requestID: "r1", target: &inventory.Target{ID: "t", Incarnation: 1}})
	assert.EqualValues(t, 3, held.probes.Load(), "nor that of another incarnation")
}

// A target that accepts a connection and never answers must not hold up the search.
func TestProbeEndsWithoutAnAnswer(t *testing.T) {
	probes := &targetProbes{targets: &heldProber{}, ctx: t.Context()}
	assert.Equal(t, targetHung, probes.diagnose(t.Context(), attemptState{target: &inventory.Target{ID: "t"}}))
}

// workingTargets reports one run, r1, of which no event was made.
type workingTargets struct{}

// Probe implements prober.
func (workingTargets) Probe(context.Context, *inventory.Target) (inventory.Report, error) {
	return inventory.Report{Running: 1, Runs: map[string]int{"r1": 0}}, nil
}

// Guards against a last chance that is counted from the start of an attempt, after which the
// client has left: it has waited since its request, or the last event.
func TestLastChanceIsCountedFromTheClientsWait(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		want   silenceResponse
	}{{40 * time.Second, stay}, {46 * time.Second, race}} {
		silent, own, _ := newSilentAttempt(t)
		silent.node.probes.targets, silent.node.probes.ctx = workingTargets{}, t.Context()
		silent.job.ID, silent.job.arrived = "r1", time.Now().Add(-c.waited)
		s := silent.begin()
		require.NotNil(t, s)
		s.decide()
		assert.Equal(t, c.want, s.response, "the client leaves after a minute, and has waited for %s", c.waited)
		silent.endSearch(time.Hour)
		assert.Nil(t, silent.stop(own, sendResult{}))
	}
}

// Guards against a stream that is given up because one probe was late.
func TestTargetHangsIfProbesInSuccessionAreNotAnswered(t *testing.T) {
	c, own, _ := newSilentAttempt(t)
	for i, step := range []struct{ probe, want diagnosis }{
		{targetHung, targetUnknown},
		{targetHung, targetHung},
		{targetHung, targetHung},
		{targetWorking, targetWorking},
		{targetHung, targetUnknown},
		{targetUnknown, targetUnknown},
		{targetHung, targetUnknown},
		{targetHung, targetHung},
	} {
		assert.Equal(t, step.want, c.confirmHang(step.probe), "probe %d", i)
	}
	c.writeBegins()
	c.writeEnded(own, 1, true)
	assert.Equal(t, targetUnknown, c.confirmHang(targetHung), "the stream has gone on meanwhile")
}

// hungTargets do not answer probes.
type hungTargets struct{}

// Probe implements prober.
func (hungTargets) Probe(context.Context, *inventory.Target) (inventory.Report, error) {
	return inventory.Report{}, &upstream.SendError{Sent: true, Err: context.DeadlineExceeded}
}

// Guards against a stream of a target that hangs that is given up when the client has left,
// because the last decision before was made just before the client's last chance.
func TestTargetThatHangsIsLeftAtTheLastChance(t *testing.T) {
	for _, c := range []struct {
		untilLastChance time.Duration
		answered        bool // the last probe
		want            silenceResponse
	}{
		{probeTimeout / 2, false, leave},
		{probeTimeout / 2, true, stay},
		{10 * probeTimeout, false, stay},
		{0, false, leave},
		{0, true, race},
	} {
		silent, own, _ := newSilentAttempt(t)
		silent.node.probes.targets, silent.node.probes.ctx = hungTargets{}, t.Context()
		if c.answered {
			silent.node.probes.targets = workingTargets{}
		}
		silent.unanswered = minUnansweredProbes - 1
		silent.job.ID, silent.job.arrived = "r1", time.Now().Add(c.untilLastChance-silent.job.lastChance())
		s := silent.begin()
		require.NotNil(t, s)
		s.decide()
		assert.Equal(t, c.want, s.response, "%s before the last chance, answered: %t", c.untilLastChance, c.answered)
		if s.response == leave {
			assert.GreaterOrEqual(t, s.silence(), s.job.lastChance(), "not before it")
		}
		silent.endSearch(time.Hour)
		assert.Nil(t, silent.stop(own, sendResult{}))
	}
}
