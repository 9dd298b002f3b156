// Command almondturnctl is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"almondturn/pkg/bench"
	"almondturn/pkg/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Env{Stdout: os.Stdout, Stderr: os.Stderr, Bench: bench.Main})
	stop()
	os.Exit(code)
}
