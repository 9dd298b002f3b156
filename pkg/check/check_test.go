package check

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/standin/engine"
)

var (
	start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	tea   = fleet.ReplicaKey{Service: "listing", Model: "tea"}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func rec(seconds float64, t fleet.TargetID, kind engine.RecordKind) engine.Record {
	return engine.Record{At: at(seconds), Target: t, Kind: kind, Key: tea, UsedBytes: 1, MemoryBytes: 4}
}

func request(seconds float64, t fleet.TargetID, kind engine.RecordKind, id string) engine.Record {
	r := rec(seconds, t, kind)
	r.RequestID = id
	if kind == engine.RecordEnd {
		r.Outcome, r.Events = OutcomeComplete, 3
	}
	return r
}

func answered(id string) Call {
	return Call{
		ID: id, Sent: at(10), First: at(11), Ended: at(12), Timeout: 5 * time.Second, Status: 200, Run: fault.RunYes,
		Complete: true, Events: 3, EventIDs: []int64{1, 2, 3}, AnswerIDs: []string{id}, Service: "listing",
	}
}

// clean is a run that keeps every promise.
func clean() Run {
	return Run{
		Targets: []engine.Record{
			rec(1, "t1", engine.RecordLoad), rec(2, "t1", engine.RecordLoaded),
			request(10.5, "t1", engine.RecordStart, "a"), request(11.9, "t1", engine.RecordEnd, "a"),
			rec(20, "t1", engine.RecordUnload), rec(21, "t2", engine.RecordLoad),
			rec(30, "t2", engine.RecordRestart), rec(31, "t1", engine.RecordLoad),
			rec(40, "t2", engine.RecordLeaving),
		},
		Calls:     []Call{answered("a")},
		Limits:    []LimitChange{{At: at(0), Key: tea, Max: 1}},
		Revisions: []RevisionSeen{{At: at(5), Node: "n1", Team: "x", Revision: 7}, {At: at(40), Node: "n1", Team: "x", Revision: 9}},
		Accepted:  []Accepted{{At: at(25), Team: "x", Revision: 9}},
		End:       at(60),
	}
}

// TestPlantedViolations plants one violation of each kind into a clean run.
func TestPlantedViolations(t *testing.T) {
	require.Empty(t, Judge(clean(), DefaultBounds()))
	cases := map[string]struct {
		rule  Rule
		plant func(r *Run)
	}{
		"second replica": {RuleLimit, func(r *Run) { r.Targets = append(r.Targets, rec(5, "t3", engine.RecordLoad)) }},
		"surplus stays after a lowered limit": {RuleLimit, func(r *Run) {
			r.Limits = append(r.Limits, LimitChange{At: at(35), Key: tea, Max: 0})
			r.End = at(120)
		}},
		"load long after a lowered limit": {RuleLimit, func(r *Run) {
			r.Limits = append(r.Limits, LimitChange{At: at(8), Key: tea, Max: 0})
			r.Targets = append(r.Targets, rec(24, "t1", engine.RecordLoad))
		}},
		"memory": {RuleMemory, func(r *Run) { r.Targets[1].UsedBytes = 5 }},
		"run twice": {RuleAtMostOnce, func(r *Run) {
			r.Targets = append(r.Targets, request(11, "t1", engine.RecordStart, "a"))
		}},
		"one key run under two requests": {RuleAtMostOnce, func(r *Run) {
			r.Targets = append(r.Targets, request(13, "t1", engine.RecordStart, "b"), request(14, "t1", engine.RecordEnd, "b"))
			r.Calls = append(r.Calls, answered("b"))
			r.Calls[0].IdempotencyKey, r.Calls[1].IdempotencyKey = "k", "k"
		}},
		"untruthful not run": {RuleNotRun, func(r *Run) {
			r.Calls[0].Status, r.Calls[0].Run, r.Calls[0].Code = 429, fault.RunNo, "overloaded"
		}},
		"answer of nobody":         {RuleRan, func(r *Run) { r.Calls = append(r.Calls, answered("never")) }},
		"crossed answer":           {RuleOwn, func(r *Run) { r.Calls[0].AnswerIDs = []string{"b"} }},
		"missing event":            {RuleWhole, func(r *Run) { r.Calls[0].Events, r.Calls[0].EventIDs = 2, []int64{1, 2} }},
		"answer cut by the target": {RuleWhole, func(r *Run) { r.Calls[0].Expected = 4 }},
		"repeated event":           {RuleWhole, func(r *Run) { r.Calls[0].EventIDs = []int64{1, 2, 2} }},
		"silent end":               {RuleWhole, func(r *Run) { r.Calls[0].Complete = false }},
		"past deadline":            {RuleDeadline, func(r *Run) { r.Calls[0].First = at(16.5) }},
		"dropped":                  {RuleAnswered, func(r *Run) { r.Calls = append(r.Calls, Call{ID: "z", Sent: at(1), Ended: at(2)}) }},
		"new work on a leaving target": {RuleLeaving, func(r *Run) {
			r.Targets = append(r.Targets, rec(42.5, "t2", engine.RecordStart))
		}},
		"revision goes back": {RuleRevert, func(r *Run) {
			r.Revisions = append(r.Revisions, RevisionSeen{At: at(6), Node: "n1", Team: "x", Revision: 6, Incarnation: "later"})
		}},
		"revision late": {RulePropagation, func(r *Run) {
			r.Revisions = append(r.Revisions, RevisionSeen{At: at(39), Node: "n2", Team: "x", Revision: 7})
		}},
	}
	for name, c := range cases {
		run := clean()
		c.plant(&run)
		found := Judge(run, DefaultBounds())
		require.NotEmpty(t, found, name)
		for _, v := range found {
			assert.Equal(t, c.rule, v.Rule, "%s: %s", name, v)
		}
	}
}

// TestBaseModelTakesAdaptersAlong unloads a base model: its adapters are gone.
func TestBaseModelTakesAdaptersAlong(t *testing.T) {
	adapter := tea
	adapter.Adapter = "hobart"
	load := rec(1.5, "t1", engine.RecordLoad)
	load.Key = adapter
	again := rec(22, "t2", engine.RecordLoad)
	again.Key = adapter
	run := clean()
	run.Targets = append(run.Targets, load, again)
	run.Limits = append(run.Limits, LimitChange{At: at(0), Key: adapter, Max: 1})
	require.Empty(t, Judge(run, DefaultBounds()))
}

func TestPlannedStopCutsNothingOff(t *testing.T) {
	through := func(Call) fleet.NodeID { return "n1" }
	stops := []Stop{{At: at(11), Node: "n1"}}
	broken := answered("a")
	broken.Complete, broken.Code = false, fault.StreamBroken.String()
	require.Empty(t, JudgeStops([]Call{answered("a")}, stops, through))
	require.Len(t, JudgeStops([]Call{broken}, stops, through), 1)
	require.Empty(t, JudgeStops([]Call{broken}, []Stop{{At: at(13), Node: "n1"}}, through))
}

func TestLinesKeepRecords(t *testing.T) {
	var b bytes.Buffer
	calls := []Call{answered("a"), {ID: "b"}}
	require.NoError(t, WriteLines(&b, calls))
	got, err := ReadLines[Call](&b)
	require.NoError(t, err)
	assert.Equal(t, calls, got)
	_, err = ReadLines[Call](bytes.NewBufferString("{}\n{"))
	assert.ErrorContains(t, err, "line 2")
}

func FuzzReadLines(f *testing.F) {
	f.Add([]byte(`{"id":"a","sent":"2026-12-04T06:00:00Z","status":200,"run":"yes"}`))
	f.Add([]byte("{}\n{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		calls, err := ReadLines[Call](bytes.NewReader(data))
		if err == nil {
			Judge(Run{Calls: calls}, DefaultBounds())
		}
	})
}
