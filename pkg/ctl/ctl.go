// Package ctl implements the command line for operators, almondturnctl. It reads and
// changes the settings of teams, shows the status of the deployment and drains
// targets.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"almondturn/pkg/fault"
)

// Exit codes of almondturnctl.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitUsage means that the command line or a file is invalid. No request was sent.
	ExitUsage = 1
	// ExitRefused means that a node refused the request. Nothing was changed.
	ExitRefused = 2
	// ExitConflict means that another change was accepted since the revision on which
	// this one is based. Nothing was changed.
	ExitConflict = 3
	// ExitUnreachable means that no node responded, or that the nodes can't reach the
	// key-value service, or that the outcome is unknown. A change may be sent again
	// with the write identifier that is printed.
	ExitUnreachable = 4
	// ExitNotInForce means that a change was accepted, but is not in force everywhere
	// yet.
	ExitNotInForce = 5
)

// Env holds the output streams and the additional subcommands.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	// Subcommands are the subcommands that parse their own arguments, by name. A
	// subcommand that is listed in the help but not here fails with ExitUsage.
	Subcommands map[string]Subcommand
}

// Subcommand runs a subcommand with its arguments and returns the exit code.
type Subcommand func(ctx context.Context, argv []string, stdout, stderr io.Writer) int

// arguments holds the flags and the subcommand, which is the pointer that isn't nil.
type arguments struct {
	Apply     *applyCmd     `arg:"subcommand:apply" help:"replace a team's settings by those in a file"`
	Get       *getCmd       `arg:"subcommand:get" help:"print a team's settings"`
	Diff      *diffCmd      `arg:"subcommand:diff" help:"compare a file with the accepted settings"`
	History   *historyCmd   `arg:"subcommand:history" help:"list the revisions of a team's settings, newest first"`
	Status    *statusCmd    `arg:"subcommand:status" help:"show nodes, zones and revisions in force"`
	Targets   *targetsCmd   `arg:"subcommand:targets" help:"list the targets"`
	Drain     *drainCmd     `arg:"subcommand:drain" help:"stop sending new requests to a target"`
	Undrain   *undrainCmd   `arg:"subcommand:undrain" help:"send requests to a drained target again"`
	RoutePlan *routePlanCmd `arg:"subcommand:route-plan" help:"show where a request would go now, and why, without sending it; --server is the URL of a node's metrics"`
	Bench     *externalCmd  `arg:"subcommand:bench" help:"send load to a deployment; see bench --help"`
	Emulate   *externalCmd  `arg:"subcommand:emulate" help:"simulate the placement of models on targets; see emulate --help"`
	Explain   *externalCmd  `arg:"subcommand:explain" help:"print what the logs say about one request; see explain --help"`
	Refusals  *externalCmd  `arg:"subcommand:refusals" help:"sum the refusals in logs by cause and model; see refusals --help"`

	Server    []string      `arg:"--server,separate,env:ALMONDTURN_SERVER" help:"URL of a node's operators' listener; give it several times to name nodes to try in turn"`
	Token     string        `arg:"--token,env:ALMONDTURN_TOKEN" help:"operator token"`
	TokenFile string        `arg:"--token-file" help:"file that holds the operator token"`
	CA        string        `arg:"--ca,env:ALMONDTURN_CA" help:"PEM file of the authorities that sign the nodes' certificates, instead of the system's"`
	Output    string        `arg:"--output" default:"text" help:"text or json"`
	Author    string        `arg:"--author,env:USER" help:"author to show in the history"`
	Timeout   time.Duration `arg:"--timeout" default:"15s" help:"longest time to wait for the response of one node, without the time that apply --wait waits"`
}

// Epilogue returns the last part of --help, which lists the exit codes.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 wrong usage, 2 refused, 3 conflict with another change,\n4 unreachable or outcome unknown, 5 accepted but not yet in force everywhere."
}

// applyCmd holds the arguments of the subcommand apply.
type applyCmd struct {
	File        string        `arg:"-f,--file,required" help:"YAML file with one team's settings"`
	Revision    string        `arg:"--revision" help:"revision that the file is based on: a number, or latest; default: the revision in the file's first line, as printed by get, or else 0 for a new team"`
	Wait        bool          `arg:"--wait" help:"return only when all reachable nodes have the settings in force"`
	WaitTimeout time.Duration `arg:"--wait-timeout" default:"13s" help:"longest time that --wait waits"`
	WriteID     string        `arg:"--write-id" help:"identifier of a change whose outcome is unknown, to send it again"`
}

// getCmd holds the arguments of the subcommand get.
type getCmd struct {
	Team     string `arg:"positional,required"`
	Revision uint64 `arg:"--revision" help:"revision to print; see history"`
}

// diffCmd holds the arguments of the subcommand diff.
type diffCmd struct {
	File string `arg:"-f,--file,required" help:"YAML file with one team's settings"`
}

// historyCmd holds the arguments of the subcommand history.
type historyCmd struct {
	Team string `arg:"positional,required"`
}

// statusCmd is the subcommand status, which has no arguments.
type statusCmd struct{}

// targetsCmd is the subcommand targets, which has no arguments.
type targetsCmd struct{}

// drainCmd holds the arguments of the subcommand drain.
type drainCmd struct {
	Target string `arg:"positional,required"`
}

// undrainCmd holds the arguments of the subcommand undrain.
type undrainCmd struct {
	Target string `arg:"positional,required"`
}

// routePlanCmd holds the arguments of the subcommand route-plan.
type routePlanCmd struct {
	Host         string `arg:"--host" help:"host of the request"`
	Path         string `arg:"--path" help:"path of the request"`
	Method       string `arg:"--method" default:"POST" help:"method of the request"`
	Route        string `arg:"--route" help:"name of the route, in place of --host and --path"`
	Request      string `arg:"--request" help:"identifier of the request, which decides among several services"`
	Model        string `arg:"--model" help:"model, or model/adapter"`
	InputTokens  int    `arg:"--input-tokens"`
	OutputTokens int    `arg:"--output-tokens" help:"maximum number of tokens of the response"`
	Customer     string `arg:"--customer" help:"name of the customer; API keys are neither needed nor accepted"`
}

// externalCmd is a subcommand that Env.Subcommands runs. It is listed in arguments for
// --help only.
type externalCmd struct {
	Args []string `arg:"positional"`
}

// defaultServer is the URL of a node on this machine whose listener for operators has
// the port of the settings in examples/nodes.
const defaultServer = "http://127.0.0.1:8081"

// Run runs the command line argv, which doesn't include the program's name, and returns
// the exit code. It prints errors to env.Stderr.
func Run(ctx context.Context, argv []string, env Env) int {
	if len(argv) > 0 {
		if tool := env.Subcommands[argv[0]]; tool != nil {
			return tool(ctx, argv[1:], env.Stdout, env.Stderr)
		}
	}
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "almondturnctl", Out: env.Stderr}, &a)
	if err != nil {
		return failUsage(env, err)
	}
	err = parser.Parse(argv)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(env.Stdout, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		return failUsage(env, err)
	case parser.Subcommand() == nil:
		parser.WriteHelp(env.Stderr)
		return ExitUsage
	case a.Output != outputText && a.Output != outputJSON:
		return failUsage(env, fmt.Errorf("--output %q; want text or json", a.Output))
	}
	token, err := a.token()
	if err != nil {
		return failUsage(env, err)
	}
	if len(a.Server) == 0 {
		a.Server = []string{defaultServer}
	}
	c, err := newClient(&a, token)
	if err != nil {
		return failUsage(env, err)
	}
	r := &runner{env: env, args: &a, client: c}
	return r.reportError(r.run(ctx))
}

// token returns the operator token, from the file of --token-file if that is given.
func (a *arguments) token() (string, error) {
	if a.TokenFile == "" {
		return a.Token, nil
	}
	text, err := os.ReadFile(a.TokenFile)
	if err != nil {
		return "", fmt.Errorf("--token-file: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// failUsage prints an error of the command line and returns ExitUsage.
func failUsage(env Env, err error) int {
	fmt.Fprintln(env.Stderr, "almondturnctl:", err)
	return ExitUsage
}

// usageError wraps the error of an invalid file or flag.
type usageError struct{ err error }

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *usageError) Unwrap() error { return e.err }

// errNotInForce is returned if a change was accepted and is not in force on some node
// yet, or some zone isn't reachable.
var errNotInForce = errors.New("accepted, but not yet in force everywhere")

// reportError prints err, if it isn't nil, and returns its exit code.
func (r *runner) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(r.env.Stderr, "almondturnctl:", err)
	var usageErr *usageError
	var respErr *responseError
	switch {
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.As(err, &usageErr):
		return ExitUsage
	case errors.As(err, &respErr):
		return respErr.exitCode()
	}
	return ExitUnreachable
}

// exitCode returns the exit code for the error code of the response.
func (e *responseError) exitCode() int {
	switch e.body.Code {
	case fault.RevisionConflict.String():
		return ExitConflict
	case fault.PlatformUnavailable.String(), fault.OutcomeUnknown.String(), fault.ShuttingDown.String(), fault.Internal.String():
		return ExitUnreachable
	}
	return ExitRefused
}
