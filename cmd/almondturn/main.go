// Command almondturn runs one node, or a whole small deployment for trials.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"almondturn/pkg/config"
	"almondturn/pkg/dev"
	"almondturn/pkg/node"
	"almondturn/pkg/version"
	"almondturn/platform"
)

type serveCmd struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"settings of the node, in YAML"`
}

type devCmd struct {
	Port int `arg:"--port" default:"8080" help:"first callers' port; the zones take consecutive ports"`
}

type entryCmd struct{}

type configCmd struct {
	Check *checkCmd `arg:"subcommand:check" help:"check settings files and exit"`
}

type checkCmd struct {
	Files []string `arg:"positional,required" placeholder:"FILE"`
}

type versionCmd struct{}

type arguments struct {
	Serve   *serveCmd   `arg:"subcommand:serve" help:"run a node"`
	Entry   *entryCmd   `arg:"subcommand:entry" help:"run an entry node on the users' platform; its settings file is named by the environment"`
	Dev     *devCmd     `arg:"subcommand:dev" help:"run stand-ins and one node per zone in this process"`
	Config  *configCmd  `arg:"subcommand:config" help:"work with settings files"`
	Version *versionCmd `arg:"subcommand:version" help:"print the version"`
}

// Description is printed by --help.
func (arguments) Description() string {
	return "almondturn serves rarely used language models from the VMs at hand."
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx, &a, p)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "almondturn:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, a *arguments, p *arg.Parser) error {
	switch {
	case a.Serve != nil:
		cfg, err := config.Load(a.Serve.Config)
		if err != nil {
			return err
		}
		return node.Run(ctx, cfg)
	case a.Entry != nil:
		return platform.Run(ctx)
	case a.Dev != nil:
		return dev.Run(ctx, dev.Options{Port: a.Dev.Port}, os.Stdout)
	case a.Config != nil && a.Config.Check != nil:
		return checkFiles(a.Config.Check.Files)
	case a.Version != nil:
		fmt.Println(version.String())
		return nil
	default:
		p.WriteHelp(os.Stdout)
		return nil
	}
}

// checkFiles reports every file, and fails when one of them is wrong.
func checkFiles(files []string) error {
	var errs []error
	for _, f := range files {
		if _, err := config.Load(f); err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Println(f, "is valid")
	}
	return errors.Join(errs...)
}
