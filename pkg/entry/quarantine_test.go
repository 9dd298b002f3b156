package entry

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/quarantine"
	"almondturn/wire"
)

// Guards against evidence that changes between nodes.
func TestEvidenceSurvivesItsEncoding(t *testing.T) {
	records := []quarantine.Record{{
		Part:     quarantine.Part{Service: "llm", ID: "a1"},
		Crashes:  []quarantine.CrashAge{{Crash: quarantine.Crash{Target: "t1", Incarnation: 7}, Requests: []string{"r1", "r2"}, Age: 3 * time.Second}},
		Survived: true, SurvivedAge: time.Minute, TrialLeft: time.Second,
	}}
	assert.Equal(t, records, evidenceRecords(evidenceMessage(records)))
}

// Guards against an age that overflows, so that a crash would lie in the future.
func TestAgesOfEvidenceAreBounded(t *testing.T) {
	for _, age := range []int64{math.MinInt64, -1, math.MaxInt64} {
		r := evidenceRecords(&wire.PartEvidence{Parts: []wire.PartRecord{{Crashes: []wire.CrashRecord{{AgeMillis: age}}}}})
		assert.GreaterOrEqual(t, r[0].Crashes[0].Age, time.Duration(0))
		assert.LessOrEqual(t, r[0].Crashes[0].Age, maxEvidenceAge)
	}
}
