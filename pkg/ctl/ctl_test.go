package ctl

import (
	"bytes"
	"context"
	"encoding/pem"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/entry"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv/kvtest"
	"almondturn/pkg/operators"
	"almondturn/pkg/route"
	"almondturn/pkg/teams"
)

// fixture is a node n1 in zone z1 that serves the interface for operators, with a fake
// key-value service, and implements operators.Node. It keeps the output of the command
// that run ran last.
type fixture struct {
	t     testing.TB
	store *kvtest.Store
	// otherZones are the statuses of the zones besides z1.
	otherZones []entry.ZoneStatus
	decoder    *teams.Decoder
	url        string
	// handler serves the node's interface for operators.
	handler http.Handler
	// dropResponses is the number of requests, from the next one, that the node
	// handles without sending the response.
	dropResponses atomic.Int32
	out, errOut   bytes.Buffer
}

// Self implements operators.Node.
func (*fixture) Self() fleet.Node { return fleet.Node{ID: "n1", Zone: "z1"} }

// Table implements operators.Node. Accepted settings are in force immediately.
func (f *fixture) Table() *route.Table {
	t, err := f.decoder.Decode(f.store.Entries())
	require.NoError(f.t, err)
	return t
}

// Targets implements operators.Node.
func (*fixture) Targets() *inventory.TargetSet {
	return inventory.NewTargetSet([]*inventory.Target{{ID: "t1", Zone: "z1", Service: "listing"}})
}

// Status implements operators.Node. It returns the zone z1, then otherZones.
func (f *fixture) Status(context.Context) []entry.ZoneStatus {
	var version int64
	if t := f.Table(); t != nil {
		version = t.Version
	}
	ownZone := entry.ZoneStatus{Zone: "z1", Owner: "n1", Nodes: []entry.NodeStatus{{Node: f.Self(), Version: version, Ready: true}}}
	return append([]entry.ZoneStatus{ownZone}, f.otherZones...)
}

// newFixture starts a node that accepts the root token of package examples.
func newFixture(t testing.TB) *fixture {
	f := &fixture{t: t, store: new(kvtest.Store), decoder: teams.NewDecoder()}
	opts := operators.DefaultOptions()
	opts.RootTokenSHA256 = teams.DigestKey(examples.DevRootToken)
	log := zerolog.Nop()
	server := operators.New(opts, f, teams.NewRepository(f.store), &log)
	f.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.dropResponses.Add(-1) >= 0 {
			server.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		server.ServeHTTP(w, r)
	})
	node := httptest.NewServer(f.handler)
	t.Cleanup(node.Close)
	f.url = node.URL
	return f
}

// run runs almondturnctl with the root token against the node, and returns the exit
// code.
func (f *fixture) run(argv ...string) int {
	f.out.Reset()
	f.errOut.Reset()
	flags := []string{"--server", f.url, "--token", examples.DevRootToken, "--author", "ann"}
	return Run(context.Background(), append(flags, argv...), Env{Stdout: &f.out, Stderr: &f.errOut})
}

// write writes a file into a new temporary directory and returns its path.
func (f *fixture) write(name, text string) string {
	path := filepath.Join(f.t.TempDir(), name)
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// devText returns the example settings whose file name contains name.
func devText(t testing.TB, name string) string {
	files, err := examples.Dev()
	require.NoError(t, err)
	for _, file := range files {
		if strings.Contains(file.Name, name) {
			return string(file.Data)
		}
	}
	t.Fatalf("no file %q", name)
	return ""
}

// devFile writes the example settings of the team listings and returns the path.
func (f *fixture) devFile() string { return f.write("listings.yaml", devText(f.t, "listings")) }

// replaceIn replaces the first old in a file, which must contain it.
func (f *fixture) replaceIn(path, old, replacement string) {
	text, err := os.ReadFile(path)
	require.NoError(f.t, err)
	require.Contains(f.t, string(text), old)
	require.NoError(f.t, os.WriteFile(path, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600))
}

// TestAllCommandsSucceedAndStaleApplyConflicts runs apply, get, diff, history, status,
// targets, drain and undrain one after the other. An apply based on an older revision is
// a conflict.
func TestAllCommandsSucceedAndStaleApplyConflicts(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, ExitOK, f.run("apply", "-f", f.devFile(), "--wait"), f.errOut.String())
	assert.Contains(t, f.out.String(), "team listings: revision 1 accepted, in force on all reachable nodes")
	require.Equal(t, ExitOK, f.run("get", "listings"))
	require.True(t, strings.HasPrefix(f.out.String(), "# revision: 1\n"))
	edited := f.write("edited.yaml", f.out.String())
	other := f.write("other.yaml", f.out.String())

	f.replaceIn(edited, "max_replicas: 2", "max_replicas: 3")
	require.Equal(t, ExitOK, f.run("diff", "-f", edited))
	assert.Contains(t, f.out.String(), "+services[listing].models[tea-small@1].max_replicas: 3")
	require.Equal(t, ExitOK, f.run("apply", "-f", edited), f.errOut.String())
	f.replaceIn(edited, "max_replicas: 3", "max_replicas: 4")
	require.Equal(t, ExitOK, f.run("apply", "-f", edited), "apply updates the revision in the file")

	f.replaceIn(other, "max_replicas: 2", "max_replicas: 9")
	require.Equal(t, ExitConflict, f.run("apply", "-f", other))
	assert.Contains(t, f.errOut.String(), "changed on both sides: services[listing].models[tea-small@1].max_replicas")
	require.Equal(t, ExitOK, f.run("apply", "-f", other, "--revision", "latest"))
	require.Equal(t, ExitOK, f.run("history", "listings"))
	assert.Contains(t, f.out.String(), "root: ann")
	require.Equal(t, ExitOK, f.run("get", "listings", "--revision", "2", "--output", "json"))
	assert.Contains(t, f.out.String(), `"max_replicas":3`)
	require.Equal(t, ExitOK, f.run("status"))
	assert.Contains(t, f.out.String(), "listings=4")
	require.Equal(t, ExitOK, f.run("targets"))
	require.Equal(t, ExitOK, f.run("drain", "t1"))
	assert.True(t, f.Table().Drained["t1"])
	require.Equal(t, ExitOK, f.run("undrain", "t1"))
	assert.False(t, f.Table().Drained["t1"])
}

func TestEachKindOfFailureHasItsExitCode(t *testing.T) {
	f := newFixture(t)
	file := f.devFile()
	assert.Equal(t, ExitUsage, f.run())
	assert.Equal(t, ExitUsage, f.run("apply"))
	assert.Equal(t, ExitUsage, f.run("status", "--output", "xml"))
	assert.Equal(t, ExitUsage, f.run("apply", "-f", "/does/not/exist"))
	assert.Equal(t, ExitUsage, f.run("apply", "-f", f.write("bad.yaml", "team: x\nservice: []\n")))
	assert.Contains(t, f.errOut.String(), "bad.yaml:2")
	assert.Equal(t, ExitUsage, f.run("bench"))
	assert.Equal(t, ExitOK, f.run("--help"))
	assert.Contains(t, f.out.String(), "Exit codes")
	assert.Equal(t, ExitRefused, f.run("get", "nobody"))
	assert.Equal(t, ExitRefused, f.run("status", "--token", "wrong"))
	f.otherZones = []entry.ZoneStatus{{Zone: "z2", Owner: "n2", Nodes: []entry.NodeStatus{{Node: fleet.Node{ID: "n2", Zone: "z2"}}}}}
	assert.Equal(t, ExitNotInForce, f.run("apply", "-f", file, "--wait", "--wait-timeout", "1ms"))
	assert.Contains(t, f.out.String(), "not yet on node n2: change 0 is in force there")
	f.otherZones = []entry.ZoneStatus{{Zone: "z2"}}
	assert.Equal(t, ExitNotInForce, f.run("apply", "-f", file, "--wait", "--wait-timeout", "1ms", "--revision", "1"), "a zone that is not reachable")
	assert.Contains(t, f.out.String(), "zone z2: not reachable")
	assert.Equal(t, ExitConflict, f.run("apply", "-f", file))
	assert.Contains(t, f.errOut.String(), "exists already, at revision 2")
	f.store.SetUnavailable(true)
	f.replaceIn(file, "max_replicas: 2", "max_replicas: 1")
	assert.Equal(t, ExitUnreachable, f.run("apply", "-f", file, "--revision", "2"))
	assert.Equal(t, ExitUnreachable, Run(context.Background(), []string{"status", "--server", "http://127.0.0.1:1"}, Env{Stdout: io.Discard, Stderr: io.Discard}))
}

// TestRetryAfterLostResponseMakesNoSecondRevision has a node accept a change whose
// response is lost, as in a crash. The same node, given twice by --server, gets the
// change again, recognizes it by its write identifier, and makes no second revision.
// If both responses are lost, the outcome is unknown, and repeating the command with the
// printed write identifier makes no further revision either.
func TestRetryAfterLostResponseMakesNoSecondRevision(t *testing.T) {
	f := newFixture(t)
	f.dropResponses.Store(1)
	require.Equal(t, ExitOK, f.run("apply", "-f", f.devFile(), "--server", f.url), f.errOut.String())
	assert.Contains(t, f.out.String(), "revision 1")
	file := f.devFile()
	f.replaceIn(file, "max_replicas: 2", "max_replicas: 1")
	f.dropResponses.Store(2)
	require.Equal(t, ExitUnreachable, f.run("apply", "-f", file, "--revision", "1", "--write-id", "w2", "--server", f.url))
	assert.Contains(t, f.errOut.String(), "--write-id w2")
	require.Equal(t, ExitOK, f.run("apply", "-f", file, "--revision", "1", "--write-id", "w2"))
	assert.Contains(t, f.out.String(), "revision 2")
}

func TestUnreachableServerFallsBackToNext(t *testing.T) {
	f := newFixture(t)
	code := Run(context.Background(), []string{"--server", "http://127.0.0.1:1", "--server", f.url, "--token", examples.DevRootToken, "status"}, Env{Stdout: &f.out, Stderr: &f.errOut})
	require.Equal(t, ExitOK, code, f.errOut.String())
	t.Setenv("ALMONDTURN_SERVER", "http://127.0.0.1:1,"+f.url)
	t.Setenv("ALMONDTURN_TOKEN", examples.DevRootToken)
	code = Run(context.Background(), []string{"status"}, Env{Stdout: &f.out, Stderr: &f.errOut})
	require.Equal(t, ExitOK, code, f.errOut.String())
}

func TestServerCertificateIsVerifiedAgainstCA(t *testing.T) {
	f := newFixture(t)
	secure := httptest.NewTLSServer(f.handler)
	t.Cleanup(secure.Close)
	ca := f.write("ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: secure.Certificate().Raw})))
	f.url = secure.URL
	assert.Equal(t, ExitUnreachable, f.run("status"), "the certificate of an unknown authority is refused")
	assert.Equal(t, ExitOK, f.run("status", "--ca", ca), f.errOut.String())
	assert.Equal(t, ExitUsage, f.run("status", "--ca", f.devFile()))
}

func TestSubcommandReceivesArgumentsAndSetsExitCode(t *testing.T) {
	var got []string
	code := Run(context.Background(), []string{"bench", "--rate", "3"}, Env{Subcommands: map[string]Subcommand{"bench": func(_ context.Context, args []string, _, _ io.Writer) int {
		got = args
		return 7
	}}})
	assert.Equal(t, 7, code)
	assert.Equal(t, []string{"--rate", "3"}, got)
}
