package scenarios

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMeasureRestart prints how long a restarted node takes to serve:
//
//	ALMONDTURN_MEASURE=1 go test -v -run TestMeasureRestart ./scenarios
func TestMeasureRestart(t *testing.T) {
	if os.Getenv("ALMONDTURN_MEASURE") == "" {
		t.Skip("give ALMONDTURN_MEASURE=1")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
	defer cancel()
	d, err := deploy(ctx, shape{zones: 3, nodes: 3, engines: 2, plains: 1})
	require.NoError(t, err)
	require.NoError(t, d.applyExamples(ctx))
	for _, id := range d.IDs() {
		began := time.Now()
		require.NoError(t, d.StopNode(ctx, id))
		stopped := time.Now()
		require.NoError(t, d.StartNode(ctx, id))
		require.NoError(t, d.AwaitServing(ctx, len(d.teams)))
		t.Logf("%s: graceful shutdown %v, all nodes serve again %v after the start", id,
			stopped.Sub(began).Round(time.Millisecond), time.Since(stopped).Round(time.Millisecond))
	}
	require.NoError(t, d.Stop(ctx))
}
