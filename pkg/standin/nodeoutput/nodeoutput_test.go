package nodeoutput

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Samples of what a Go process writes to its standard error.
const (
	raceReport = `==================
WARNING: DATA RACE
Write at 0x00c000114088 by goroutine 9:
  main.main.func1()
      /tmp/x/main.go:10 +0x2c
==================
Found 1 data race(s)
`
	panicReport = `panic: assignment to entry in nil map

goroutine 1 [running]:
`
	servedPanic = `2026/12/05 23:30:11 http: panic serving 127.0.0.1:51234: index out of range [3] with length 2
goroutine 34 [running]:
`
	mapReport = `fatal error: concurrent map writes

goroutine 18 [running]:
`
	harmless = `{"level":"error","name":"request_broken","reason":"panic: of a target"}
2026/12/05 23:30:11 http: TLS handshake error from 127.0.0.1:51234: EOF
listen tcp 127.0.0.1:80: bind: permission denied
`
)

// A run of node processes with a data race in the output of one passed.
func TestRacesAndCrashesAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"race":           {raceReport, []string{"WARNING: DATA RACE"}},
		"two races":      {raceReport + raceReport, []string{"WARNING: DATA RACE", "WARNING: DATA RACE"}},
		"panic":          {panicReport, []string{"panic: assignment to entry in nil map"}},
		"panic served":   {servedPanic, []string{"2026/12/05 23:30:11 http: panic serving 127.0.0.1:51234: index out of range [3] with length 2"}},
		"runtime":        {mapReport, []string{"fatal error: concurrent map writes"}},
		"after an error": {harmless + mapReport, []string{"fatal error: concurrent map writes"}},
		"harmless":       {harmless, nil},
		"nothing":        {"", nil},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.want, find([]byte(c.text)))
		})
	}
}

// A report that arrives in pieces, between those of another process, was not found.
func TestFaultsNameTheNode(t *testing.T) {
	var forwarded bytes.Buffer
	c := New(&forwarded)
	a, b := c.Writer("a"), c.Writer("b")
	_, _ = io.WriteString(a, "==================\nWARNING: DA")
	_, _ = io.WriteString(b, "a line of the other node\n")
	_, _ = io.WriteString(a, "TA RACE\n")
	assert.Equal(t, []string{"process of node a: WARNING: DATA RACE"}, c.Faults())
	assert.Equal(t, "==================\nWARNING: DAa line of the other node\nTA RACE\n", forwarded.String())
}

func TestLinesContainTheText(t *testing.T) {
	c := New(io.Discard)
	a, b := c.Writer("a"), c.Writer("b")
	_, _ = io.WriteString(b, "r1 there\nr2\n")
	_, _ = io.WriteString(a, "r2\nr1 here\n")
	assert.Equal(t, []string{"r1 here\n", "r1 there\n"}, c.Lines("r1"))
}
