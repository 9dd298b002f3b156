package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// at returns the time some milliseconds after start.
func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// parts returns the parts of a prompt for one service.
func parts(ids ...string) []Part {
	out := make([]Part, len(ids))
	for i, id := range ids {
		out[i] = Part{Service: "llm", ID: id}
	}
	return out
}

// crash returns the crash of the first incarnation of a target.
func crash(target string) Crash { return Crash{target, 1} }

// newLedger returns a Ledger that lengthens all holds by the same share of maxSpread.
func newLedger(spread float64) *Ledger { return New(func(Part) float64 { return spread }) }

// Guards against one kind of request crashing target after target.
func TestPartThatAlwaysCrashesIsSentAFewTimes(t *testing.T) {
	l := newLedger(0)
	l.RunSurvived(at(0), parts("system"))
	crashes := []int{}
	for now := 1000; now < 160_000; now += 100 { // ten requests a second
		if d := l.Admit(at(now), parts("system", "doc", "deadly")); d.Allowed {
			crashes = append(crashes, now)
			l.RunCrashed(at(now+60), crash(fmt.Sprint("t", len(crashes))), "r", parts("system", "doc", "deadly"))
		}
		if d := l.Admit(at(now+50), parts("system", "other")); d.Allowed {
			l.RunSurvived(at(now+51), parts("system", "other"))
		}
	}
	require.Len(t, crashes, 4, "%v", crashes)
}

// Guards against a sound part being refused because it stood beside a deadly one.
func TestPartBesideADeadlyOneIsCleared(t *testing.T) {
	l := newLedger(0)
	l.RunCrashed(at(0), crash("t1"), "r", parts("doc", "deadly"))
	l.RunCrashed(at(2000), crash("t2"), "r", parts("doc", "deadly"))
	require.False(t, l.Check(at(2100), parts("doc", "deadly")).Allowed)
	d := l.Admit(at(2100), parts("doc"))
	require.True(t, d.Allowed, "the deadly part explains all crashes")
	require.Equal(t, parts("doc"), d.Trials)
	require.False(t, l.Admit(at(2110), parts("doc")).Allowed, "one trial at a time")
	require.Equal(t, parts("doc"), l.RunSurvived(at(2200), parts("doc")))
	d = l.Admit(at(2300), parts("doc"))
	require.True(t, d.Allowed)
	require.Empty(t, d.Trials)
	require.False(t, l.Check(at(2300), parts("doc", "deadly")).Allowed)
}

// Guards against a deadly part being sent again because another request was at the
// same targets.
func TestPartOfAnotherRequestExplainsNothing(t *testing.T) {
	l := newLedger(0)
	for i, target := range []string{"t1", "t2"} {
		l.RunCrashed(at(2000*i), crash(target), "guilty", parts("deadly"))
		l.RunCrashed(at(2000*i), crash(target), "bystander", parts("doc"))
	}
	crashes, rounds := l.Evidence(parts("deadly")[0])
	require.Equal(t, []int{2, 2}, []int{crashes, rounds})
	require.False(t, l.Check(at(2100), parts("deadly")).Allowed)
}

// Guards against a sound part being held because a sound run with it was at a crashed
// target beside the guilty one.
func TestPartIsExplainedByAnyOfItsRuns(t *testing.T) {
	a, b := newLedger(0), newLedger(0)
	a.RunCrashed(at(0), crash("t1"), "bystander", parts("sys", "doc"))
	a.RunCrashed(at(0), crash("t1"), "guilty", parts("sys", "deadly"))
	a.RunCrashed(at(2000), crash("t2"), "guilty2", parts("sys", "deadly"))
	b.Merge(at(2010), a.AllRecords(at(2010)))
	for _, l := range []*Ledger{a, b} {
		require.True(t, l.Check(at(2100), parts("sys")).Allowed)
		require.False(t, l.Check(at(2100), parts("sys", "deadly")).Allowed)
	}
}

// Guards against a popular part being condemned by targets that crash for other reasons.
func TestCrashesForOtherReasonsDoNotCondemnAPopularPart(t *testing.T) {
	l := newLedger(0)
	l.RunSurvived(at(0), parts("system"))
	for i := range 2 {
		l.RunCrashed(at(1000+i), crash(fmt.Sprint("t", i)), "r", parts("system"))
	}
	require.Empty(t, l.Check(at(1010), parts("system")).Trials, "two crashes are no evidence against a part that survives")
	for i := range 20 {
		l.RunCrashed(at(1020+i), crash(fmt.Sprint("u", i)), "r", parts("system"))
	}
	require.True(t, l.Admit(at(1100), parts("system")).Allowed, "the first trial needs no delay")
	l.RunSurvived(at(1150), parts("system"))
	require.Zero(t, l.Suspects())
}

// Guards against a popular part that has become deadly being cleared by earlier answers.
func TestPopularPartThatBecomesDeadlyIsHeld(t *testing.T) {
	l := newLedger(0)
	l.RunSurvived(at(0), parts("system"))
	sent := 0
	for now := 1000; now < 60_000; now += 50 {
		if l.Admit(at(now), parts("system")).Allowed {
			sent++
			l.RunCrashed(at(now+40), crash(fmt.Sprint("t", sent)), "r", parts("system"))
		}
	}
	// provenCrashes, the first trial at once, and one after its hold.
	require.Equal(t, provenCrashes+2, sent)
	require.GreaterOrEqual(t, l.Check(at(60_000), parts("system")).Rounds, 3)
}

// Guards against two deadly parts hiding each other.
func TestTwoDeadlyPartsAreBothHeld(t *testing.T) {
	l := newLedger(0)
	for i, p := range []string{"a", "b"} {
		l.RunCrashed(at(i*10), crash(p+"1"), "r", parts(p))
		l.RunCrashed(at(2000+i*10), crash(p+"2"), "r", parts(p))
	}
	for _, p := range []string{"a", "b"} {
		d := l.Check(at(2500), parts(p))
		require.False(t, d.Allowed)
		require.Equal(t, 2, d.Crashes)
		require.Greater(t, d.RetryAfter, 25*time.Second)
	}
}

// Guards against a crash that several nodes have seen being counted several times.
func TestMergeCountsACrashOnce(t *testing.T) {
	a, b := newLedger(0), newLedger(0)
	a.RunCrashed(at(0), crash("t1"), "r", parts("x"))
	b.RunCrashed(at(5), crash("t1"), "r", parts("x"))
	changed, _ := a.Merge(at(10), b.AllRecords(at(10)))
	require.Empty(t, changed)
	require.Equal(t, 1, a.Check(at(20), parts("x")).Crashes)
}

// Guards against a node that has restarted sending what others hold back.
func TestMergeTeachesANewNode(t *testing.T) {
	a, b := newLedger(0), newLedger(0)
	a.RunCrashed(at(0), crash("t1"), "r", parts("x"))
	a.RunCrashed(at(2000), crash("t2"), "r", parts("x"))
	changed, corrections := b.Merge(at(2500), a.AllRecords(at(2500)))
	require.Equal(t, parts("x"), changed)
	require.Empty(t, corrections)
	d := b.Check(at(2500), parts("x"))
	require.False(t, d.Allowed)
	require.Equal(t, 2, d.Rounds)
	require.Equal(t, holdTime(PromptPart, 2)-500*time.Millisecond, d.RetryAfter)
}

// Guards against two nodes trying a suspect at the same time.
func TestMergeAnnouncesATrial(t *testing.T) {
	a, b := newLedger(0), newLedger(0)
	a.RunCrashed(at(0), crash("t1"), "r", parts("x"))
	b.Merge(at(1), a.AllRecords(at(1)))
	require.Equal(t, parts("x"), a.Admit(at(1500), parts("x")).Trials)
	require.True(t, b.Check(at(1500), parts("x")).Allowed)
	changed, _ := b.Merge(at(1501), a.Records(at(1501), parts("x")))
	require.Equal(t, parts("x"), changed)
	require.False(t, b.Check(at(1502), parts("x")).Allowed)
}

// Guards against all nodes trying a suspect at the end of its hold.
func TestNodesEndAHoldOneAfterTheOther(t *testing.T) {
	a, b := newLedger(0), newLedger(0.5)
	for _, l := range []*Ledger{a, b} {
		l.RunCrashed(at(0), crash("t1"), "r", parts("x"))
	}
	require.Equal(t, parts("x"), a.Admit(at(1100), parts("x")).Trials)
	require.False(t, b.Check(at(1100), parts("x")).Allowed)
	b.Merge(at(1130), a.Records(at(1130), parts("x")))
	require.False(t, b.Check(at(1500), parts("x")).Allowed, "the trial of the other node is awaited")
}

// Guards against a part staying suspect on a node that has not seen it survive.
func TestMergeSpreadsASurvival(t *testing.T) {
	a, b := newLedger(0), newLedger(0)
	b.RunSurvived(at(0), parts("x"))
	a.RunCrashed(at(100), crash("t1"), "r", parts("x"))
	_, corrections := b.Merge(at(110), a.AllRecords(at(110)))
	require.Equal(t, parts("x"), corrections, "a does not know that the part has survived before")
	a.Merge(at(120), b.Records(at(120), corrections))
	require.Empty(t, a.Check(at(130), parts("x")).Trials)
	b.RunSurvived(at(200), parts("x"))
	a.Merge(at(800), b.Records(at(800), parts("x")))
	require.Zero(t, a.Suspects())
}

// Guards against a caller who invents parts filling the memory or clearing suspects.
func TestSuspectsAreBounded(t *testing.T) {
	l := newLedger(0)
	l.RunCrashed(at(0), crash("t1"), "r", parts("deadly"))
	l.RunCrashed(at(2000), crash("t2"), "r", parts("deadly"))
	for i := range 3 * maxSuspects {
		l.RunCrashed(at(3000+i), crash(fmt.Sprint("u", i)), "r", parts(fmt.Sprint("invented", i)))
	}
	for i := range 3 * provenPerGeneration {
		l.RunSurvived(at(10_000+i), parts(fmt.Sprint("sound", i)))
	}
	require.LessOrEqual(t, l.Suspects(), maxSuspects)
	require.LessOrEqual(t, len(l.proven.current)+len(l.proven.previous), 2*provenPerGeneration)
	require.False(t, l.Check(at(5000), parts("deadly")).Allowed)
}

// Guards against evidence that never ends: a part that is not asked for is forgotten.
func TestSuspectIsForgotten(t *testing.T) {
	l := newLedger(0)
	l.RunCrashed(at(0), crash("t1"), "r", parts("x"))
	l.RunCrashed(start.Add(time.Hour), crash("t2"), "r", parts("y"))
	require.Equal(t, 1, l.Suspects())
}

// Guards against a part being held as after a failed trial because a crash from before
// the trial became known.
func TestEarlierCrashDoesNotEndATrial(t *testing.T) {
	l := newLedger(0)
	l.RunCrashed(at(100), crash("t1"), "r", parts("x"))
	require.Equal(t, parts("x"), l.Admit(at(1500), parts("x")).Trials)
	other := newLedger(0)
	other.RunCrashed(at(90), crash("t2"), "s", parts("x"))
	l.Merge(at(1600), other.AllRecords(at(1600)))
	d := l.Check(at(1610), parts("x"))
	require.False(t, d.Allowed)
	require.Equal(t, 1, d.Rounds, "the trial has not failed")
	require.Equal(t, TrialTime-110*time.Millisecond, d.RetryAfter)
}

// Guards against a suspect being tried too soon on a node that hears of an earlier crash
// after a later one.
func TestMergeCountsRoundsInAnyOrder(t *testing.T) {
	a, b := newLedger(0), newLedger(0)
	a.RunCrashed(at(0), crash("t1"), "r", parts("x"))
	b.RunCrashed(at(2000), crash("t2"), "s", parts("x"))
	b.Merge(at(2010), a.AllRecords(at(2010)))
	a.Merge(at(2010), b.AllRecords(at(2010)))
	require.Equal(t, 2, a.Check(at(2500), parts("x")).Rounds)
	require.Equal(t, 2, b.Check(at(2500), parts("x")).Rounds)
}

// Guards against a trial that has ended without a result being awaited because another
// node, which doesn't know of its end, repeats the announcement.
func TestEchoDoesNotRenewATrial(t *testing.T) {
	a, b := newLedger(0), newLedger(0)
	a.RunCrashed(at(0), crash("t1"), "r", parts("x"))
	require.Equal(t, parts("x"), a.Admit(at(1500), parts("x")).Trials)
	b.Merge(at(1510), a.AllRecords(at(1500)))
	a.TrialEnded(at(1520), at(1500), parts("x"), false)
	a.Merge(at(1530), b.AllRecords(at(1520)))
	require.Equal(t, parts("x"), a.Admit(at(1540), parts("x")).Trials)
	require.False(t, b.Check(at(1540), parts("x")).Allowed)
}

// Guards against callers with long identifiers making evidence too large to be sent.
func TestIdentifiersInRecordsAreShort(t *testing.T) {
	a, b := newLedger(0), newLedger(0)
	long := strings.Repeat("r", 60_000)
	a.RunCrashed(at(0), crash("t1"), long, parts("x"))
	require.LessOrEqual(t, len(a.AllRecords(at(1))[0].Crashes[0].Requests[0]), maxRequestBytes)
	b.Merge(at(2), []Record{{Part: parts("x")[0], Crashes: []CrashAge{{crash("t1"), []string{long}, 0}}}})
	require.LessOrEqual(t, len(b.AllRecords(at(2))[0].Crashes[0].Requests[0]), maxRequestBytes)
}
