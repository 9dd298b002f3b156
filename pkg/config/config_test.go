package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// validYAML is a settings file without mistakes.
const validYAML = `
node: {id: n1, zone: a, secret: 0123456789abcdef}
listen:
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8081
  inner: 127.0.0.1:8082
store: {address: "127.0.0.1:2380"}
deployment:
  zones: [a, b]
shutdown: {time: 3s}
`

func TestReadKeepsDefaultsOfMissingFields(t *testing.T) {
	c, err := Read(strings.NewReader(validYAML))
	require.NoError(t, err)
	assert.Equal(t, 3*time.Second, c.Shutdown.Time)
	assert.Equal(t, Default().Retries, c.Retries)
}

// TestReadNamesLineAndFieldOfInvalidSettings replaces one part of validYAML per
// case, and expects the texts of want in the error.
func TestReadNamesLineAndFieldOfInvalidSettings(t *testing.T) {
	for name, tc := range map[string]struct {
		old, new string
		want     []string
	}{
		"unknown field": {"zones: [a, b]", "zones: [a, b]\n  label: x", []string{"line 10", "label"}},
		"wrong type":    {"time: 3s", "time: [x]", []string{"line 10"}},
		"bad duration":  {"time: 3s", "time: 3 parsecs", []string{"parsecs"}},
		"bad address":   {"callers: 127.0.0.1:8080", "callers: here", []string{"line 4", "listen.callers", "host:port"}},
		"missing id":    {"id: n1, ", "", []string{"line 2", "node.id", "must be given"}},
		"short secret":  {"0123456789abcdef", "short", []string{"secret", "at least 16"}},
		"unknown zone":  {"zone: a", "zone: z", []string{"node.zone", "deployment.zones"}},
		"empty":         {validYAML, "", []string{"node.id", "must be given"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(strings.Replace(validYAML, tc.old, tc.new, 1)))
			require.Error(t, err)
			for _, text := range tc.want {
				assert.ErrorContains(t, err, text)
			}
		})
	}
}

func TestLoadErrorNamesFileAndLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(path, []byte("node: {idd: x}\n"), 0o600))
	_, err := Load(path)
	require.ErrorContains(t, err, path)
	require.ErrorContains(t, err, "line 1")
}

// FuzzRead checks that no input makes Read panic.
func FuzzRead(f *testing.F) {
	f.Add(validYAML)
	f.Add("node: [")
	f.Add("a: &a [*a]")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = Read(strings.NewReader(text))
	})
}

func TestExampleNodeSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/nodes/*.yaml")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, f := range files {
		_, err := Load(f)
		assert.NoError(t, err)
	}
}
