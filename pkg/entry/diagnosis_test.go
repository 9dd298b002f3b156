package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/inventory"
)

// Guards against a sound target that is taken for another incarnation because its entry or its
// report does not state any.
func TestIncarnationThatIsNotStatedIsNoEvidence(t *testing.T) {
	runs := map[string]int{"r1": 3}
	for name, c := range map[string]struct{ entry, report int64 }{"entry": {0, 7}, "report": {7, 0}} {
		s := attemptState{"r1", &inventory.Target{ID: "t", Incarnation: c.entry}, "3", 3}
		assert.Equal(t, targetWorking, diagnose(inventory.Report{Incarnation: c.report, Running: 1, Runs: runs}, nil, s), name)
	}
}
