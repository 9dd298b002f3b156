package scenarios

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/ctl"
	"almondturn/pkg/localcluster"
)

// gotFile holds what the last "get" of a script printed.
const gotFile = "got.yaml"

// runCtl runs almondturnctl with the root token against one node.
func runCtl(ts *testscript.TestScript, id string, args []string) (code int, out string) {
	node := get(ts).d.Node(fleet.NodeID(id))
	if node == nil {
		ts.Fatalf("node %q does not run", id)
	}
	argv := []string{"--server", "http://" + node.OperatorsAddr(), "--token", examples.DevRootToken}
	for i, a := range args {
		if i > 0 && args[i-1] == "-f" {
			a = ts.MkAbs(a)
		}
		argv = append(argv, a)
	}
	ctx, cancel := bounded()
	defer cancel()
	var stdout, stderr bytes.Buffer
	code = ctl.Run(ctx, argv, ctl.Env{Stdout: &stdout, Stderr: &stderr})
	if args[0] == "get" && code == ctl.ExitOK {
		ts.Check(os.WriteFile(ts.MkAbs(gotFile), stdout.Bytes(), 0o600))
	}
	return code, stdout.String() + stderr.String()
}

// cmdCtl: ctl NODE EXIT ARGS... runs almondturnctl and wants the exit code.
// Its output is matched by stdout.
func cmdCtl(ts *testscript.TestScript, _ bool, args []string) {
	mustUse(ts, len(args) >= 3, "ctl NODE EXIT ARGS...")
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	code, out := runCtl(ts, args[0], args[2:])
	_, _ = ts.Stdout().Write([]byte(out))
	ts.Logf("%s", out)
	if code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}

// cmdCtlUntil: ctl-until NODE REGEXP ARGS... repeats until the output matches.
func cmdCtlUntil(ts *testscript.TestScript, _ bool, args []string) {
	mustUse(ts, len(args) >= 3, "ctl-until NODE REGEXP ARGS...")
	want, err := regexp.Compile("(?s)" + args[1])
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), limitForAll)
	defer cancel()
	ts.Check(localcluster.WaitUntil(ctx, func() error {
		_, out := runCtl(ts, args[0], args[2:])
		if !want.MatchString(out) {
			return fmt.Errorf("output does not match %s:\n%s", want, out)
		}
		return nil
	}))
}

// cmdSub: sub FILE OLD NEW edits a file.
func cmdSub(ts *testscript.TestScript, _ bool, args []string) {
	mustUse(ts, len(args) == 3, "sub FILE OLD NEW")
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("%s does not contain %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], args[2], 1)), 0o600))
}
