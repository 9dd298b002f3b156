// Command almondturnctl is the command line for operators. Package ctl implements
// it, except for the subcommands bench, emulate, explain and refusals.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"almondturn/pkg/bench"
	"almondturn/pkg/ctl"
	"almondturn/pkg/emulator"
	"almondturn/pkg/explain"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Env{Stdout: os.Stdout, Stderr: os.Stderr, Subcommands: map[string]ctl.Subcommand{
		"bench": bench.Main, "emulate": emulator.Main, "explain": explain.Main, "refusals": explain.RefusalsMain,
	}})
	stop()
	os.Exit(code)
}
