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
	"almondturn/pkg/admin"
	"almondturn/pkg/catalog"
	"almondturn/pkg/membership"
	"almondturn/pkg/peer"
	"almondturn/pkg/peer/peertest"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/kv"
)

type fixture struct {
	t     testing.TB
	store *kv.Store
	live  []fleet.Node
	// members are those of the rosters.
	members []fleet.Node
	// older tells that the key-value service came back older.
	older, acknowledged bool
	url                 string
	// handler is the node's.
	handler http.Handler
	// loseAnswers lets the node handle that many requests and answer none.
	loseAnswers atomic.Int32
	out, errOut bytes.Buffer
	backup      kv.Snapshot
}

// oneTarget is a table with the target t1.
type oneTarget struct{}

func (oneTarget) Targets() []admin.Target {
	return []admin.Target{{Target: fleet.Target{ID: "t1", Zone: "z1", Kind: fleet.TargetEngine}}}
}

func (oneTarget) Drain(fleet.TargetID, bool) {}

func newFixture(t testing.TB) *fixture {
	self := fleet.Node{ID: "n1", Zone: "z1"}
	f := &fixture{t: t, store: kv.New(platform.SystemClock{}), live: []fleet.Node{self}}
	view := func() *peer.View { return &peer.View{Self: self, Live: f.live, PlatformUp: true} }
	settings := catalog.DefaultOptions()
	settings.StartupWait = 0
	service := catalog.New(settings, self, f.store, peertest.Alone{}, peer.NewRouter(), view, platform.SystemClock{}, zerolog.Nop(), &catalog.Store{})
	service.StepPlatform(context.Background())
	opts := admin.DefaultOptions()
	opts.RootTokenSHA256 = catalog.HashKey(examples.DevRootToken)
	server := admin.New(opts, self, service, peertest.Alone{}, view, oneTarget{}, f, zerolog.Nop())
	f.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.loseAnswers.Add(-1) >= 0 {
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

// Members implements admin.Members.
func (f *fixture) Members() []fleet.Node { return f.members }

// Acknowledge implements admin.Members.
func (f *fixture) Acknowledge(context.Context) error {
	if !f.older {
		return membership.ErrNotOlder
	}
	f.acknowledged = true
	return nil
}

func (f *fixture) run(argv ...string) int {
	f.out.Reset()
	f.errOut.Reset()
	base := []string{"--server", f.url, "--token", examples.DevRootToken, "--author", "ann"}
	return Run(context.Background(), append(base, argv...), Env{Stdout: &f.out, Stderr: &f.errOut})
}

func (f *fixture) write(name, text string) string {
	path := filepath.Join(f.t.TempDir(), name)
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

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

func (f *fixture) devFile() string { return f.write("listings.yaml", devText(f.t, "listings")) }

// replaceIn edits a file as an operator would.
func (f *fixture) replaceIn(path, old, planted string) {
	text, err := os.ReadFile(path)
	require.NoError(f.t, err)
	require.Contains(f.t, string(text), old)
	require.NoError(f.t, os.WriteFile(path, []byte(strings.Replace(string(text), old, planted, 1)), 0o600))
}

func TestEditCycle(t *testing.T) {
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
	require.Equal(t, ExitOK, f.run("apply", "-f", edited), "the file follows its revision")

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
	require.Equal(t, ExitRefused, f.run("acknowledge"), "there is nothing to acknowledge here")
}

func TestExitCodes(t *testing.T) {
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
	f.live = append(f.live, fleet.Node{ID: "n2", Zone: "z2"})
	assert.Equal(t, ExitNotInForce, f.run("apply", "-f", file, "--wait", "--wait-timeout", "1ms"))
	assert.Contains(t, f.out.String(), "not yet on node n2 in zone z2: no answer")
	f.live, f.members = f.live[:1], f.live
	assert.Equal(t, ExitNotInForce, f.run("apply", "-f", file, "--wait", "--revision", "1"), "a zone that is cut off")
	assert.Contains(t, f.out.String(), "not yet on node n2 in zone z2: not reachable")
	f.older = true
	assert.Equal(t, ExitOK, f.run("acknowledge"))
	assert.True(t, f.acknowledged)
	assert.Equal(t, ExitConflict, f.run("apply", "-f", file))
	assert.Contains(t, f.errOut.String(), "exists already, at revision 1")
	f.store.SetFaults(kv.Faults{Down: true})
	f.replaceIn(file, "max_replicas: 2", "max_replicas: 1")
	assert.Equal(t, ExitUnreachable, f.run("apply", "-f", file, "--revision", "1"))
	assert.Equal(t, ExitUnreachable, Run(context.Background(), []string{"status", "--server", "http://127.0.0.1:1"}, Env{Stdout: io.Discard, Stderr: io.Discard}))
}

// A node accepts the change and dies before it answers: the next node settles
// it by the write identifier, without a second revision.
func TestLostAnswerIsSettledByNextServer(t *testing.T) {
	f := newFixture(t)
	f.loseAnswers.Store(1)
	require.Equal(t, ExitOK, f.run("apply", "-f", f.devFile(), "--server", f.url), f.errOut.String())
	assert.Contains(t, f.out.String(), "revision 1")
	file := f.devFile()
	f.replaceIn(file, "max_replicas: 2", "max_replicas: 1")
	f.loseAnswers.Store(2)
	require.Equal(t, ExitUnreachable, f.run("apply", "-f", file, "--revision", "1", "--write-id", "w2", "--server", f.url))
	assert.Contains(t, f.errOut.String(), "--write-id w2")
	require.Equal(t, ExitOK, f.run("apply", "-f", file, "--revision", "1", "--write-id", "w2"))
	assert.Contains(t, f.out.String(), "revision 2")
}

func TestNextServerIsTried(t *testing.T) {
	f := newFixture(t)
	code := Run(context.Background(), []string{"--server", "http://127.0.0.1:1", "--server", f.url, "--token", examples.DevRootToken, "status"}, Env{Stdout: &f.out, Stderr: &f.errOut})
	require.Equal(t, ExitOK, code, f.errOut.String())
	t.Setenv("ALMONDTURN_SERVER", "http://127.0.0.1:1,"+f.url)
	t.Setenv("ALMONDTURN_TOKEN", examples.DevRootToken)
	code = Run(context.Background(), []string{"status"}, Env{Stdout: &f.out, Stderr: &f.errOut})
	require.Equal(t, ExitOK, code, f.errOut.String())
}

func TestCertificateAuthority(t *testing.T) {
	f := newFixture(t)
	secure := httptest.NewTLSServer(f.handler)
	t.Cleanup(secure.Close)
	ca := f.write("ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: secure.Certificate().Raw})))
	f.url = secure.URL
	assert.Equal(t, ExitUnreachable, f.run("status"), "an unknown authority is not trusted")
	assert.Equal(t, ExitOK, f.run("status", "--ca", ca), f.errOut.String())
	assert.Equal(t, ExitUsage, f.run("status", "--ca", f.devFile()))
}

func TestToolGetsItsArguments(t *testing.T) {
	var got []string
	code := Run(context.Background(), []string{"bench", "--rate", "3"}, Env{Tools: map[string]Tool{"bench": func(_ context.Context, args []string, _, _ io.Writer) int {
		got = args
		return 7
	}}})
	assert.Equal(t, 7, code)
	assert.Equal(t, []string{"--rate", "3"}, got)
}
