package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// request returns the parts of a request without shared parts of a prompt.
func request(digest string) []Part { return []Part{{Service: "desk", ID: digest, Kind: WholeRequest}} }

// maxSendsAfterThirdCrash is the number of times that a request may be sent in a day after it
// has crashed its third target.
const maxSendsAfterThirdCrash = 3

// Guards against a request that crashes its targets being sent again and again as it returns,
// all day long.
func TestRequestThatAlwaysCrashesIsSentAFewTimesADay(t *testing.T) {
	const day, interval, runTime = 24 * time.Hour, 200 * time.Millisecond, 60 * time.Millisecond
	l := newLedger(0)
	sent := 0
	for now := start; now.Before(start.Add(day)); now = now.Add(interval) {
		if l.Admit(now, request("d")).Allowed {
			sent++
			l.RunCrashed(now.Add(runTime), crash(fmt.Sprint("t", sent)), "r", request("d"))
		}
	}
	require.GreaterOrEqual(t, sent, requestCrashes)
	require.LessOrEqual(t, sent, 3+maxSendsAfterThirdCrash)
}

// Guards against requests being refused that merely waited at a target as it crashed.
func TestRequestAtOneCrashIsSentAgain(t *testing.T) {
	l := newLedger(0)
	l.RunCrashed(at(0), crash("t1"), "r", request("sound"))
	d := l.Admit(at(1), request("sound"))
	require.True(t, d.Allowed)
	require.Empty(t, d.Trials)
	require.Zero(t, l.Suspects())
}

// Guards against a popular request being held for crashes between which it was answered.
func TestRequestThatIsAnsweredBetweenCrashesIsNotHeld(t *testing.T) {
	l := newLedger(0)
	for i := range 10 {
		l.RunCrashed(at(1000*i), crash(fmt.Sprint("t", i)), "r", request("popular"))
		require.True(t, l.Admit(at(1000*i+10), request("popular")).Allowed)
		require.Equal(t, request("popular"), l.RunSurvived(at(1000*i+20), request("popular")))
	}
}

// Guards against a verdict that an answer does not lift, or lifts at one node only.
func TestAnswerToATrialClearsARequestAtAllNodes(t *testing.T) {
	a, b := newLedger(0), newLedger(0)
	for i, target := range []string{"t1", "t2"} {
		a.RunCrashed(at(i), crash(target), "r", request("d"))
	}
	b.Merge(at(10), a.AllRecords(at(10)))
	require.False(t, b.Check(at(20), request("d")).Allowed)
	d := a.Admit(at(1500), request("d"))
	require.Equal(t, request("d"), d.Trials)
	require.Equal(t, request("d"), a.RunSurvived(at(1510), request("d")))
	survival := a.Records(at(1520), request("d"))
	changed, _ := b.Merge(at(1520), survival)
	require.Equal(t, request("d"), changed)
	require.True(t, b.Admit(at(1530), request("d")).Allowed)
	changed, _ = b.Merge(at(1540), a.Records(at(1540), request("d")))
	require.Empty(t, changed, "known already, and not to be passed on again")
}

// Guards against a part of prompts losing its good record to many requests that are sent
// once each.
func TestAnswersToRequestsDoNotPushOutParts(t *testing.T) {
	l := newLedger(0)
	l.RunSurvived(at(0), parts("system"))
	for i := range 10 * provenPerGeneration {
		l.RunSurvived(at(1), request(fmt.Sprint("d", i)))
	}
	require.True(t, l.proven.has(parts("system")[0]))
}

// Guards against the parts of its prompt being held along with a request that crashes its
// targets, once two crashes have shown that it is the same request.
func TestPartsOfADeadlyRequestAreTriedWithoutIt(t *testing.T) {
	for name, interval := range map[string]int{"together": 10, "one after the other": 2000} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(0)
			deadly := append([]Part{{Service: "llm", ID: "d", Kind: WholeRequest}}, parts("doc")...)
			other := append([]Part{{Service: "llm", ID: "other", Kind: WholeRequest}}, parts("doc")...)
			l.RunCrashed(at(0), crash("t1"), "r1", deadly)
			require.False(t, l.Check(at(1), other).Allowed, "the part may have crashed the target")
			l.RunCrashed(at(interval), crash("t2"), "r2", deadly)
			d := l.Admit(at(interval+1), other)
			require.True(t, d.Allowed)
			require.Equal(t, parts("doc"), d.Trials)
			require.False(t, l.Check(at(interval+1), deadly).Allowed)
		})
	}
}

// Guards against a deadly part being tried again and again because each request with it is
// one that has crashed a target.
func TestDeadlyPartIsNotExplainedByItsRequests(t *testing.T) {
	l := newLedger(0)
	with := func(digest string) []Part {
		return append([]Part{{Service: "llm", ID: digest, Kind: WholeRequest}}, parts("deadly")...)
	}
	sent := 0
	for now := 0; now < 60_000; now += 50 {
		digest := fmt.Sprint("d", now)
		if l.Admit(at(now), with(digest)).Allowed {
			sent++
			l.RunCrashed(at(now+40), crash(fmt.Sprint("t", sent)), digest, with(digest))
		}
	}
	require.LessOrEqual(t, sent, 3)
}

// Guards against a deadly request being sent again and again during an update, as a node of an
// older version relays the evidence against it as that against a part of prompts, which seemed to
// explain its crashes.
func TestRequestIsNotExplainedByItsOwnEvidenceFromAnOlderVersion(t *testing.T) {
	l := newLedger(0)
	sent := 0
	for now := 0; now < 60_000; now += 200 {
		if l.Admit(at(now), request("d")).Allowed {
			sent++
			l.RunCrashed(at(now+60), crash(fmt.Sprint("t", sent)), fmt.Sprint("r", sent), request("d"))
		}
		relayed := l.Records(at(now+80), request("d"))
		relayed[0].Part.Kind = PromptPart
		l.Merge(at(now+80), relayed)
	}
	require.LessOrEqual(t, sent, 3+1)
}

// Guards against several trials of a request at one time, as a slow one that ends without a
// result ends that of another request, too.
func TestTrialThatEndsLateDoesNotEndTheNextOne(t *testing.T) {
	l := newLedger(0)
	for i, target := range []string{"t1", "t2"} {
		l.RunCrashed(at(i), crash(target), "r", request("d"))
	}
	slow := l.Admit(at(1500), request("d"))
	require.Equal(t, request("d"), slow.Trials)
	next := l.Admit(at(3600), request("d"))
	require.Equal(t, request("d"), next.Trials)
	l.TrialEnded(at(3650), at(1500), slow.Trials, false)
	require.False(t, l.Check(at(3700), request("d")).Allowed)
}

// A trial crashed its target within a second of the first crashes. The other nodes, which heard
// of the trial and its crash at once, counted it to the first round, and tried again at once.
func TestRoundsReachTheOtherNodes(t *testing.T) {
	a, b, c := newLedger(0), newLedger(0), newLedger(0)
	for i, target := range []string{"t1", "t2"} {
		a.RunCrashed(at(i), crash(target), "r", request("d"))
	}
	require.Equal(t, request("d"), a.Admit(at(300), request("d")).Trials)
	a.RunCrashed(at(320), crash("t3"), "r", request("d"))
	changed, _ := b.Merge(at(340), a.Records(at(340), request("d")))
	require.Equal(t, request("d"), changed)
	require.False(t, b.Check(at(2000), request("d")).Allowed)
	c.Merge(at(360), b.Records(at(360), request("d")))
	_, rounds := c.Evidence(request("d")[0])
	require.Equal(t, 2, rounds)
	changed, _ = b.Merge(at(380), c.Records(at(380), request("d")))
	require.Empty(t, changed, "nothing goes to and fro")
}

// The number of rounds is that of crashes since the last survival: what another node counted
// before one does not come back.
func TestRoundsBeforeASurvivalDoNotComeBack(t *testing.T) {
	a, b := newLedger(0), newLedger(0)
	for i := range 4 {
		a.RunCrashed(at(3000*i), crash(fmt.Sprint("t", i)), "r", request("d"))
	}
	b.Merge(at(9010), a.AllRecords(at(9010)))
	old := a.AllRecords(at(9020))
	require.Equal(t, request("d"), b.RunSurvived(at(9500), request("d")))
	b.RunCrashed(at(9600), crash("t5"), "r", request("d"))
	b.Merge(at(9620), old)
	_, rounds := b.Evidence(request("d")[0])
	require.Equal(t, 1, rounds)
}

// Trials that their targets refused, because they were full or had asked for a pause, said
// nothing, and the next repetition was a trial at once: a request that had crashed three targets
// reached others again and again.
func TestRefusedTrialsOfACertainSuspectAreFew(t *testing.T) {
	for name, p := range map[string][]Part{"request": request("d"), "part of prompts": parts("d")} {
		t.Run(name, func(t *testing.T) {
			a, b := newLedger(0), newLedger(0)
			for i := range certainCrashes[p[0].Kind] {
				a.RunCrashed(at(i), crash(fmt.Sprint("t", i)), "r", p)
			}
			b.Merge(at(10), a.AllRecords(at(10)))
			sent := 0
			for now := 3_600_000; now < 3_900_000; now += 50 { // an hour later, after all holds
				for _, l := range []*Ledger{a, b} {
					d := l.Admit(at(now), p)
					if !d.Allowed {
						continue
					}
					sent++
					l.TrialEnded(at(now+5), at(now), d.Trials, true)
					a.Merge(at(now+10), l.Records(at(now+10), p))
					b.Merge(at(now+10), l.Records(at(now+10), p))
				}
			}
			require.LessOrEqual(t, sent, maxSendsAfterThirdCrash, "in five minutes")
			require.Positive(t, sent)
			crashes, _ := a.Evidence(p[0])
			require.Equal(t, certainCrashes[p[0].Kind], crashes, "they are no crashes")
		})
	}
}

// A sound request or part that few crashes have made a suspect was held for half a minute, since
// a full target had refused its trial.
func TestRefusedTrialOfAnUncertainSuspectIsRepeated(t *testing.T) {
	for name, p := range map[string][]Part{"request": request("d"), "part of prompts": parts("d")} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(0)
			for i := range certainCrashes[p[0].Kind] - 1 {
				l.RunCrashed(at(i), crash(fmt.Sprint("t", i)), "r", p)
			}
			for now := 2000; now < 3000; now += 50 {
				d := l.Admit(at(now), p)
				require.True(t, d.Allowed)
				require.Empty(t, l.TrialEnded(at(now+5), at(now), d.Trials, true))
			}
		})
	}
}

// A trial that did not reach its target holds nothing.
func TestTrialThatWasNotSentIsRepeated(t *testing.T) {
	l := newLedger(0)
	for i := range 4 {
		l.RunCrashed(at(i), crash(fmt.Sprint("t", i)), "r", request("d"))
	}
	for now := 2000; now < 3000; now += 50 {
		d := l.Admit(at(now), request("d"))
		require.True(t, d.Allowed)
		require.Empty(t, l.TrialEnded(at(now+5), at(now), d.Trials, false))
	}
}

// An answer lifts the hold after refused trials, and a node that heard of them before does not
// bring it back.
func TestAnswerLiftsTheHoldAfterRefusedTrials(t *testing.T) {
	a, b := newLedger(0), newLedger(0)
	for i := range 4 {
		a.RunCrashed(at(i), crash(fmt.Sprint("t", i)), "r", request("d"))
	}
	d := a.Admit(at(2000), request("d"))
	require.Equal(t, request("d"), a.TrialEnded(at(2005), at(2000), d.Trials, true))
	b.Merge(at(2010), a.AllRecords(at(2010)))
	require.False(t, b.Check(at(31_000), request("d")).Allowed, "30 s after the trial")
	b.RunSurvived(at(31_000), request("d"))
	b.Merge(at(31_010), a.AllRecords(at(31_010)))
	require.True(t, b.Check(at(31_020), request("d")).Allowed)
}

// A part of all prompts was held for half a minute: many targets had crashed together, and a full
// one had refused its trial.
func TestRefusedTrialHoldsNoPartThatHasSurvived(t *testing.T) {
	l := newLedger(0)
	l.RunSurvived(at(0), parts("system"))
	for i := range 2 * certainCrashes[PromptPart] {
		l.RunCrashed(at(1000+i), crash(fmt.Sprint("t", i)), fmt.Sprint("r", i), parts("system"))
	}
	for now := 1100; now < 2000; now += 50 {
		d := l.Admit(at(now), parts("system"))
		require.True(t, d.Allowed)
		require.Equal(t, parts("system"), d.Trials)
		require.Empty(t, l.TrialEnded(at(now+5), at(now), d.Trials, true))
	}
}
