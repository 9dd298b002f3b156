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

// getOutputFile is the file to which the output of a script's last get is written.
const getOutputFile = "got.yaml"

// runCtl runs almondturnctl with the root token against one node. Files after -f
// are relative to the directory of the script.
func runCtl(ts *testscript.TestScript, nodeID string, args []string) (code int, out string) {
	node := scriptStateOf(ts).deployment.Node(fleet.NodeID(nodeID))
	if node == nil {
		ts.Fatalf("node %q is not running", nodeID)
	}
	argv := []string{"--server", "http://" + node.OperatorsAddr(), "--token", examples.DevRootToken}
	for i, a := range args {
		if i > 0 && args[i-1] == "-f" {
			a = ts.MkAbs(a)
		}
		argv = append(argv, a)
	}
	ctx, cancel := commandContext()
	defer cancel()
	var stdout, stderr bytes.Buffer
	code = ctl.Run(ctx, argv, ctl.Env{Stdout: &stdout, Stderr: &stderr})
	if args[0] == "get" && code == ctl.ExitOK {
		ts.Check(os.WriteFile(ts.MkAbs(getOutputFile), stdout.Bytes(), 0o600))
	}
	return code, stdout.String() + stderr.String()
}

// cmdCtl: ctl NODE EXIT ARGS... runs almondturnctl and requires the exit code. The
// output can be matched with testscript's command stdout.
func cmdCtl(ts *testscript.TestScript, _ bool, args []string) {
	requireUsage(ts, len(args) >= 3, "ctl NODE EXIT ARGS...")
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	code, out := runCtl(ts, args[0], args[2:])
	_, _ = ts.Stdout().Write([]byte(out))
	ts.Logf("%s", out)
	if code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}

// cmdCtlUntil: ctl-until NODE REGEXP ARGS... repeats almondturnctl until its output
// matches.
func cmdCtlUntil(ts *testscript.TestScript, _ bool, args []string) {
	requireUsage(ts, len(args) >= 3, "ctl-until NODE REGEXP ARGS...")
	pattern, err := regexp.Compile("(?s)" + args[1])
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ts.Check(localcluster.WaitUntil(ctx, func() error {
		_, out := runCtl(ts, args[0], args[2:])
		if !pattern.MatchString(out) {
			return fmt.Errorf("output does not match %s:\n%s", pattern, out)
		}
		return nil
	}))
}

// cmdSub: sub FILE OLD NEW replaces the first OLD in a file, which must contain it.
func cmdSub(ts *testscript.TestScript, _ bool, args []string) {
	requireUsage(ts, len(args) == 3, "sub FILE OLD NEW")
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("%s does not contain %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], args[2], 1)), 0o600))
}
