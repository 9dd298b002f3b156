// Package ctl is the operators' command line: it reads and changes settings,
// shows the state of the deployment and drains targets.
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

// Exit codes.
const (
	// ExitOK: done.
	ExitOK = 0
	// ExitUsage: the command line or a file is wrong; nothing was sent.
	ExitUsage = 1
	// ExitRefused: a node refused the request; nothing was changed.
	ExitRefused = 2
	// ExitConflict: another change was accepted meanwhile; nothing was changed.
	ExitConflict = 3
	// ExitUnreachable: no node answered, or the key-value service does not; a
	// change may be repeated with the write identifier that is shown.
	ExitUnreachable = 4
	// ExitNotInForce: accepted, but not yet in force everywhere.
	ExitNotInForce = 5
)

// Env is what the command line uses of its process.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	// Tools run the subcommands that have arguments of their own, by name.
	Tools map[string]Tool
}

// Tool runs a subcommand with its arguments and returns the exit code.
type Tool func(ctx context.Context, args []string, stdout, stderr io.Writer) int

// args are the flags and subcommands.
type args struct {
	Apply   *applyCmd   `arg:"subcommand:apply" help:"make a team's settings those of a file"`
	Get     *getCmd     `arg:"subcommand:get" help:"print a team's settings"`
	Diff    *diffCmd    `arg:"subcommand:diff" help:"compare a file with the accepted settings"`
	History *historyCmd `arg:"subcommand:history" help:"list the former revisions of a team's settings"`
	Status  *statusCmd  `arg:"subcommand:status" help:"show nodes, zones and revisions in force"`
	Targets *targetsCmd `arg:"subcommand:targets" help:"list the targets"`
	Drain   *drainCmd   `arg:"subcommand:drain" help:"give a target no new work"`
	Undrain *undrainCmd `arg:"subcommand:undrain" help:"give a drained target work again"`
	Bench   *toolCmd    `arg:"subcommand:bench" help:"send load to a deployment; see bench --help"`
	Emulate *toolCmd    `arg:"subcommand:emulate" help:"play placement against simulated targets; see emulate --help"`
	Explain *toolCmd    `arg:"subcommand:explain" help:"print what the logs say about one request; see explain --help"`

	Server    []string      `arg:"--server,separate,env:ALMONDTURN_SERVER" help:"URL of a node's operators' listener; repeat it to try the next one"`
	Token     string        `arg:"--token,env:ALMONDTURN_TOKEN" help:"operator token"`
	TokenFile string        `arg:"--token-file" help:"file that holds the operator token"`
	CA        string        `arg:"--ca,env:ALMONDTURN_CA" help:"PEM file of the authorities that sign the nodes' certificates, in place of the system's"`
	Output    string        `arg:"--output" default:"text" help:"text or json"`
	Author    string        `arg:"--author,env:USER" help:"name shown in the history"`
	Timeout   time.Duration `arg:"--timeout" default:"15s" help:"wait for an answer of one node"`
}

// Epilogue documents the exit codes.
func (args) Epilogue() string {
	return "Exit codes: 0 done, 1 wrong usage, 2 refused, 3 conflict with another change,\n4 unreachable or outcome unknown, 5 accepted but not yet in force everywhere."
}

type applyCmd struct {
	File     string        `arg:"-f,--file,required" help:"YAML file with one team's settings"`
	Revision string        `arg:"--revision" help:"revision that the file is based on: a number, or latest; default: the file's first line as get prints it, else 0 for a new team"`
	Wait     bool          `arg:"--wait" help:"return once all reachable nodes have the settings in force"`
	WaitTime time.Duration `arg:"--wait-timeout" default:"13s" help:"longest wait"`
	WriteID  string        `arg:"--write-id" help:"identifier of a change whose outcome was unknown, to repeat it"`
}

type getCmd struct {
	Team     string `arg:"positional,required"`
	Revision uint64 `arg:"--revision" help:"a former revision; see history"`
}

type diffCmd struct {
	File string `arg:"-f,--file,required" help:"YAML file with one team's settings"`
}

type historyCmd struct {
	Team string `arg:"positional,required"`
}

type statusCmd struct{}

type targetsCmd struct{}

type drainCmd struct {
	Target string `arg:"positional,required"`
}

type undrainCmd struct {
	Target string `arg:"positional,required"`
}

// toolCmd is a subcommand of Env.Tools, listed for --help.
type toolCmd struct {
	Args []string `arg:"positional"`
}

// defaultServer is a node of `almondturn dev`.
const defaultServer = "http://127.0.0.1:8081"

// Run runs the command line, without the program's name, and returns the
// exit code.
func Run(ctx context.Context, argv []string, env Env) int {
	if len(argv) > 0 {
		if tool := env.Tools[argv[0]]; tool != nil {
			return tool(ctx, argv[1:], env.Stdout, env.Stderr)
		}
	}
	var a args
	parser, err := arg.NewParser(arg.Config{Program: "almondturnctl", Out: env.Stderr}, &a)
	if err != nil {
		return usage(env, err)
	}
	err = parser.Parse(argv)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(env.Stdout, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		return usage(env, err)
	case parser.Subcommand() == nil:
		parser.WriteHelp(env.Stderr)
		return ExitUsage
	case a.Output != outputText && a.Output != outputJSON:
		return usage(env, fmt.Errorf("--output %q; want text or json", a.Output))
	}
	token, err := a.token()
	if err != nil {
		return usage(env, err)
	}
	if len(a.Server) == 0 {
		a.Server = []string{defaultServer}
	}
	client, err := newClient(&a, token)
	if err != nil {
		return usage(env, err)
	}
	r := &runner{env: env, args: &a, client: client}
	return r.exit(r.run(ctx))
}

func (a *args) token() (string, error) {
	if a.TokenFile == "" {
		return a.Token, nil
	}
	text, err := os.ReadFile(a.TokenFile)
	if err != nil {
		return "", fmt.Errorf("--token-file: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

func usage(env Env, err error) int {
	fmt.Fprintln(env.Stderr, "almondturnctl:", err)
	return ExitUsage
}

// usageError tells that a file or a flag is wrong.
type usageError struct{ err error }

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

// errNotInForce tells that a change was accepted and lags on some nodes.
var errNotInForce = errors.New("accepted, but not yet in force everywhere")

// exit prints an error and returns its exit code.
func (r *runner) exit(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(r.env.Stderr, "almondturnctl:", err)
	var wrong *usageError
	var answered *answerError
	switch {
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.As(err, &wrong):
		return ExitUsage
	case errors.As(err, &answered):
		return answered.exit()
	}
	return ExitUnreachable
}

// exit maps the code of an error answer to an exit code.
func (e *answerError) exit() int {
	switch e.body.Code {
	case fault.RevisionConflict.String():
		return ExitConflict
	case fault.PlatformUnavailable.String(), fault.OutcomeUnknown.String(), fault.ShuttingDown.String(), fault.Internal.String():
		return ExitUnreachable
	}
	return ExitRefused
}
