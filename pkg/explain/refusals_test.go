package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const refusalLog = `noise {not json
 0.1 n1 {"name":"place_refused","model":"hot","reason":"elsewhere","waited_ms":0,"usable":3}
 0.1 n1 {"name":"place_refused","model":"hot","reason":"overloaded","waited_ms":1750,"expected_ms":0,"usable":0}
{"name":"place_refused","model":"hot","reason":"overloaded","waited_ms":0,"expected_ms":2000,"usable":3}
{"name":"place_refused","model":"rare","reason":"overloaded","waited_ms":0,"expected_ms":26400,"usable":0,"copies":0}
{"name":"place_refused","model":"disk","reason":"overloaded","waited_ms":0,"expected_ms":900,"usable":0,"copies":2}
{"name":"place_refused","model":"disk","reason":"overloaded","waited_ms":0,"expected_ms":900,"copies":2,"orders_after_ms":40}
{"name":"place_refused","model":"fatal","reason":"overloaded","waited_ms":0,"expected_ms":29400,"copies":2,"load_crashes":2}
{"name":"request_refused","model":"hot","status":429}
`

func TestRefusalsAreSummedByCauseAndModel(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, sumRefusals(&refusalArguments{Models: 3}, strings.NewReader(refusalLog), &out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 5, "a heading, the sum and three models")
	// refused, other zone, held, no orders yet, load crashes, replicas full, store load late, local load late, other
	assert.Equal(t, []string{"all", "6", "1", "1", "1", "1", "1", "1", "1", "0"}, strings.Fields(lines[1]))
	assert.Equal(t, []string{"disk", "2", "0", "0", "1", "0", "0", "0", "1", "0"}, strings.Fields(lines[2]))
	assert.Equal(t, []string{"hot", "2", "1", "1", "0", "0", "1", "0", "0", "0"}, strings.Fields(lines[3]))
	assert.Equal(t, []string{"fatal", "1", "0", "0", "0", "1", "0", "0", "0", "0"}, strings.Fields(lines[4]))
}

func TestRefusalsRejectsInvalidArguments(t *testing.T) {
	var out, errs bytes.Buffer
	assert.Equal(t, 1, RefusalsMain(t.Context(), []string{"--models", "-1"}, &out, &errs))
	assert.Equal(t, 1, RefusalsMain(t.Context(), []string{"/no/such/file"}, &out, &errs))
	assert.Contains(t, errs.String(), "/no/such/file")
	assert.Zero(t, RefusalsMain(t.Context(), []string{"--help"}, &out, &errs))
}
