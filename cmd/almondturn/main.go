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

type checkCmd struct {
	Platform bool     `arg:"--platform" help:"the files are settings of entry, in the platform's format"`
	Files    []string `arg:"positional,required" placeholder:"FILE"`
}

type versionCmd struct{}

type arguments struct {
	Serve   *serveCmd   `arg:"subcommand:serve" help:"run a node"`
	Entry   *entryCmd   `arg:"subcommand:entry" help:"run an entry node on the users' platform; its settings file is named by the environment"`
	Dev     *devCmd     `arg:"subcommand:dev" help:"run stand-ins and one node per zone in this process"`
	Check   *checkCmd   `arg:"subcommand:check-config" help:"check settings files and exit"`
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
	case a.Check != nil:
		return checkFiles(a.Check)
	case a.Version != nil:
		fmt.Println(version.String())
		return nil
	default:
		p.WriteHelp(os.Stdout)
		return nil
	}
}

// checkFiles reports every file, and fails when one of them is wrong.
func checkFiles(c *checkCmd) error {
	var errs []error
	for _, f := range c.Files {
		if err := checkFile(f, c.Platform); err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Println(f, "is valid")
	}
	return errors.Join(errs...)
}

func checkFile(path string, ofPlatform bool) error {
	if ofPlatform {
		_, err := platform.ReadSettings(path)
		return err
	}
	_, err := config.Load(path)
	return err
}
