package teams

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/examples"
)

// TestExamplesParseAndSurviveFormatting checks that all example settings are valid and
// that FormatTeam loses nothing of them.
func TestExamplesParseAndSurviveFormatting(t *testing.T) {
	for _, dir := range []string{"dev", "derwent", "rodopi"} {
		files, err := examples.Load(dir)
		require.NoError(t, err)
		require.Len(t, files, 2, dir)
		for _, f := range files {
			spec, err := ParseTeam(f.Name, f.Data)
			require.NoError(t, err)
			formatted, err := FormatTeam(spec)
			require.NoError(t, err)
			reparsed, err := ParseTeam(f.Name, formatted)
			require.NoError(t, err)
			assert.Equal(t, spec, reparsed, "the formatted file has the same content")
		}
	}
}

// validYAML is a valid subtree with one model and one adapter. The tests of errors
// refer to its lines by number.
const validYAML = `team: listings
callers:
  - name: dev
    key_sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
    service: listing
services:
  - name: listing
    kind: engine
    engine: {requests: 8, memory_bytes: 4096, cache_tokens: 1000, adapters: 4, loads_per_second: 1, store_seconds: 6, disk_seconds: 0.8, memory_seconds: 0.4}
    models:
      - name: small
        version: "1"
        memory_bytes: 1024
        max_replicas: 2
        adapters:
          - name: hobart
            memory_bytes: 64
            max_replicas: 1
`

// TestParseErrorNamesLinePathAndFault replaces one part of a valid file per row. The
// message must contain the given text: the line, the path, what is wrong and what would
// be valid, or some of these. An empty text means that the file is still valid.
func TestParseErrorNamesLinePathAndFault(t *testing.T) {
	_, err := ParseTeam("x.yaml", []byte(validYAML))
	require.NoError(t, err)
	for _, tc := range []struct{ old, replacement, want string }{
		{"max_replicas: 2", "max_replica: 2", `x.yaml:14: services[0].models[0].max_replica: unknown field "max_replica"; want`},
		{"memory_bytes: 1024", "memory_bytes: two", "x.yaml:13: services[0].models[0].memory_bytes:"},
		{"memory_bytes: 1024", "memory_bytes: 0", "x.yaml:13: services[0].models[0].memory_bytes: value 0 is not valid; want more than 0"},
		{"memory_bytes: 1024", "memory_bytes: 99999999999999999", "x.yaml:13: services[0].models[0].memory_bytes: memory of 99999999999999999 bytes is not plausible"},
		{"kind: engine", "kind: gpu", `x.yaml:8: services[0].kind: value "gpu" is not valid; want one of engine, plain`},
		{"cache_tokens: 1000", "cache_tokens: 0", "x.yaml:9: services[0].engine.cache_tokens: value 0 is not valid; want at least 1"},
		{"    engine: {", "    unused: {", `unknown field "unused"`},
		{"kind: engine", "kind: plain", `services[0].models: plain service "listing" lists 1 models`},
		{"service: listing", "service: other", `x.yaml:5: callers[0].service: service "other" does not exist in team "listings"`},
		{strings.Repeat("a", 64), "abc", "x.yaml:4: callers[0].key_sha256: value \"abc\" is not valid; want a SHA-256 digest"},
		{strings.Repeat("a", 64), strings.Repeat("A", 64), "lower-case"},
		{"name: hobart", "name: ho+bart", `x.yaml:16: services[0].models[0].adapters[0].name: name "ho+bart" is not valid; want 1 to 128`},
		{"            max_replicas: 1\n", "            max_replicas: 1\n          - {name: hobart, memory_bytes: 1, max_replicas: 1}\n", `services[0].models[0].adapters[1].name: adapter "hobart" is already declared at services[0].models[0].adapters[0].name`},
		{"        max_replicas: 2\n", "", ""},
		{"team: listings", "team: Not/Valid", "x.yaml:1: team: value"},
		{"team: listings", "team: [", "x.yaml:"},
	} {
		edited := strings.Replace(validYAML, tc.old, tc.replacement, 1)
		require.NotEqual(t, validYAML, edited)
		_, err := ParseTeam("x.yaml", []byte(edited))
		if tc.want == "" {
			assert.NoError(t, err)
			continue
		}
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid, tc.replacement)
		assert.Contains(t, err.Error(), tc.want)
	}
}

// TestParseJSONAcceptsValidAndRejectsInvalid checks that JSON gives the same subtree as
// YAML, and rejects unknown fields, wrong types, invalid values and trailing data.
func TestParseJSONAcceptsValidAndRejectsInvalid(t *testing.T) {
	spec, err := ParseTeam("x.yaml", []byte(validYAML))
	require.NoError(t, err)
	text, err := json.Marshal(spec)
	require.NoError(t, err)
	parsed, err := ParseTeamJSON(text)
	require.NoError(t, err)
	assert.Equal(t, Diff(spec, nil), Diff(parsed, nil)) // Diff treats nil and empty lists alike
	for invalid, want := range map[string]string{
		strings.Replace(string(text), `"max_replicas":2`, `"max_replica":2`, 1):    `unknown field "max_replica"`,
		strings.Replace(string(text), `"max_replicas":2`, `"max_replicas":"2"`, 1): "want a value of type integer",
		strings.Replace(string(text), `"max_replicas":2`, `"max_replicas":-2`, 1):  "services[0].models[0].max_replicas: value -2 is not valid; want at least 0",
		string(text) + "{}": "goes on after",
	} {
		_, err := ParseTeamJSON([]byte(invalid))
		require.ErrorContains(t, err, want)
	}
}
