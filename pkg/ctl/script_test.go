package ctl

import (
	"bytes"
	"context"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"almondturn/examples"
)

// TestScripts runs the scripts in testdata, each against its own node. They use these
// commands in addition to those of testscript:
//   - ctl EXIT ARGS... runs almondturnctl with the root token and expects that exit
//     code. The output of get is also written to got.yaml.
//   - kv down|up makes the key-value service unavailable or available again.
//   - kv lose N drops the responses of the next N writes to the key-value service.
//   - sub FILE OLD NEW replaces the first OLD in a file.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			f := newFixture(env.T().(testing.TB))
			env.Values["fixture"] = f
			return os.WriteFile(env.WorkDir+"/listings.yaml", []byte(devText(env.T().(testing.TB), "listings")), 0o600)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ctl": scriptCtl,
			"kv":  scriptKV,
			"sub": scriptSub,
		},
	})
}

// scriptCtl implements the command ctl.
func scriptCtl(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value("fixture").(*fixture)
	wantCode, err := strconv.Atoi(args[0])
	ts.Check(err)
	args = args[1:]
	for i := 1; i < len(args); i++ {
		if args[i-1] == "-f" {
			args[i] = ts.MkAbs(args[i])
		}
	}
	argv := append([]string{"--server", f.url, "--token", examples.DevRootToken, "--author", "script"}, args...)
	var out, errOut bytes.Buffer
	code := Run(context.Background(), argv, Env{Stdout: &out, Stderr: &errOut})
	_, _ = ts.Stdout().Write(out.Bytes())
	_, _ = ts.Stderr().Write(errOut.Bytes())
	ts.Logf("%s%s", out.String(), errOut.String())
	if code != wantCode {
		ts.Fatalf("exit code %d, want %d", code, wantCode)
	}
	if out.Len() > 0 && args[0] == "get" {
		ts.Check(os.WriteFile(ts.MkAbs("got.yaml"), out.Bytes(), 0o600))
	}
}

// scriptKV implements the command kv.
func scriptKV(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value("fixture").(*fixture)
	switch args[0] {
	case "down":
		f.store.SetUnavailable(true)
	case "up":
		f.store.SetUnavailable(false)
	case "lose":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		f.store.DropWriteResponses(n)
	default:
		ts.Fatalf("kv %s is not known", args[0])
	}
}

// scriptSub implements the command sub.
func scriptSub(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("%s does not contain %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(path, []byte(strings.Replace(text, args[1], args[2], 1)), 0o600))
}
