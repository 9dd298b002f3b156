package explain

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const entryLog = `noise
  0.1 entry-a-1 {"level":"info","node":"entry-a-1","name":"request_refused","request":"r1","model":"m1","status":429,"total_ms":1000,"time":"2026-01-01T10:00:02.5Z"}
{"node":"entry-a-1","name":"request_served","request":"r2","model":"m1","time":"2026-01-01T10:00:02Z"}
{"node":"entry-a-1","name":"zone_owner_changed","zone":"a","time":"2026-01-01T09:00:00Z"}
`

const ownerLog = `{"node":"entry-a-2","name":"place_refused","request":"r1","model":"m1","reason":"overloaded","time":"2026-01-01T10:00:02.4Z"}
{"node":"entry-a-2","name":"order_sent","model":"m1","target":"t1","result":"accepted","time":"2026-01-01T10:00:01Z"}
{"node":"entry-a-2","name":"order_sent","model":"m9","target":"t2","result":"accepted","time":"2026-01-01T10:00:01Z"}
`

func TestMainPrintsRequestWithContextInOrderOfTime(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	require.NoError(t, os.WriteFile(a, []byte(entryLog), 0o600))
	require.NoError(t, os.WriteFile(b, []byte(ownerLog), 0o600))
	var out, errs bytes.Buffer
	require.Zero(t, Main(t.Context(), []string{"r1", a, b}, &out, &errs), errs.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 3, out.String())
	assert.Contains(t, lines[0], "order_sent")
	assert.Contains(t, lines[1], "reason=overloaded")
	assert.Contains(t, lines[2], "status=429")
}

// Nothing showed which target sent a request an answer without end.
func TestRequestIsShownWithTheTargetOfAnEndlessAnswer(t *testing.T) {
	const line = `{"node":"entry-a-1","name":"target_endless","request":"r1","target":"t7","service":"s","what":"event","time":"2026-01-01T10:00:02.1Z"}
`
	var out bytes.Buffer
	require.NoError(t, run(&arguments{Request: "r1"}, strings.NewReader(entryLog+line), &out))
	assert.Regexp(t, `target_endless .*target=t7 what=event`, out.String())
}

func TestOnlyFlagOmitsContextLines(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, run(&arguments{Request: "r1", Only: true}, strings.NewReader(entryLog+ownerLog), &out))
	assert.Equal(t, 2, strings.Count(out.String(), "\n"))
}

func TestUnknownRequestMissingFileOrNoArgumentsFail(t *testing.T) {
	var out, errs bytes.Buffer
	require.Error(t, run(&arguments{Request: "r9"}, strings.NewReader(entryLog), &out))
	assert.Equal(t, 1, Main(t.Context(), []string{"r1", "/no/such/file"}, &out, &errs))
	assert.Contains(t, errs.String(), "/no/such/file")
	assert.Equal(t, 1, Main(t.Context(), nil, &out, &errs))
}

// A request that was refused since all targets pause names none of them: nothing showed why.
func TestRefusedRequestIsShownWithNoticesOfTargets(t *testing.T) {
	const notices = `{"node":"entry-a-1","name":"target_pauses","target":"t7","pause_ms":30000,"time":"2026-01-01T09:59:40Z"}
{"node":"entry-a-1","name":"target_limits","target":"t8","per_second":0.5,"time":"2026-01-01T09:59:50Z"}
{"node":"entry-a-1","name":"target_leaves","target":"t9","time":"2026-01-01T09:50:00Z"}
`
	var out bytes.Buffer
	require.NoError(t, run(&arguments{Request: "r1"}, strings.NewReader(notices+entryLog), &out))
	assert.Contains(t, out.String(), "pause_ms=30000")
	assert.Contains(t, out.String(), "per_second=0.5")
	assert.NotContains(t, out.String(), "t9", "it was long before")
	out.Reset()
	require.NoError(t, run(&arguments{Request: "r2"}, strings.NewReader(notices+entryLog), &out))
	assert.NotContains(t, out.String(), "t7", "the request was served")
}
