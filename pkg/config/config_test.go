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

const valid = `
node: {id: n1, zone: a}
mesh: {secret: 0123456789abcdef}
listen:
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8081
  inner: 127.0.0.1:8082
platform: {url: "http://127.0.0.1:2380"}
deployment:
  name: test
  zones: [a, b]
shutdown: {notice: 3s}
`

func TestReadAppliesDefaults(t *testing.T) {
	c, err := Read(strings.NewReader(valid))
	require.NoError(t, err)
	assert.Equal(t, 3*time.Second, c.Shutdown.Notice)
	assert.Equal(t, Default().Shutdown.HandOver, c.Shutdown.HandOver)
	assert.Equal(t, "127.0.0.1:8082", c.Listen.Advertise)
}

func TestReadRefuses(t *testing.T) {
	for name, tc := range map[string]struct {
		old, new string
		want     []string
	}{
		"unknown field":  {"name: test", "name: test\n  label: x", []string{"line 11", "label"}},
		"wrong type":     {"notice: 3s", "notice: [x]", []string{"line 12"}},
		"bad duration":   {"notice: 3s", "notice: 3 parsecs", []string{"parsecs"}},
		"bad address":    {"callers: 127.0.0.1:8080", "callers: here", []string{"line 5", "listen.callers", "host:port"}},
		"missing id":     {"id: n1, ", "", []string{"line 2", "node.id", "must be given"}},
		"short secret":   {"0123456789abcdef", "short", []string{"secret", "at least 16"}},
		"zone not there": {"zone: a", "zone: z", []string{"node.zone", "deployment.zones"}},
		"empty":          {valid, "", []string{"node.id", "must be given"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(strings.Replace(valid, tc.old, tc.new, 1)))
			require.Error(t, err)
			for _, w := range tc.want {
				assert.ErrorContains(t, err, w)
			}
		})
	}
}

func TestLoadNamesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(path, []byte("node: {idd: x}\n"), 0o600))
	_, err := Load(path)
	require.ErrorContains(t, err, path)
	require.ErrorContains(t, err, "line 1")
}

func FuzzRead(f *testing.F) {
	f.Add(valid)
	f.Add("node: [")
	f.Add("a: &a [*a]")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = Read(strings.NewReader(text))
	})
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/nodes/*.yaml")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, f := range files {
		_, err := Load(f)
		assert.NoError(t, err)
	}
}
