// Command almondturn runs a node, or a small local cluster for trying it out. It
// also checks settings files.
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

// serveCmd holds the arguments of the command serve.
type serveCmd struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"settings of the node, in YAML"`
}

// devCmd holds the arguments of the command dev.
type devCmd struct {
	Port int `arg:"--port" default:"8080" help:"callers' port of the first zone; the other zones use the following ports"`
}

// entryCmd is the command entry, which has no arguments. It runs an entry node with the
// platform's own interface and settings file, while serve runs one with the interfaces
// for callers and operators of this project.
type entryCmd struct{}

// checkCmd holds the arguments of the command check-config.
type checkCmd struct {
	Platform bool     `arg:"--platform" help:"the files are settings for the command entry, in the platform's format"`
	Files    []string `arg:"positional,required" placeholder:"FILE"`
}

// versionCmd is the command version, which has no arguments.
type versionCmd struct{}

// arguments holds the command line. The command that was given is not nil.
type arguments struct {
	Serve   *serveCmd   `arg:"subcommand:serve" help:"run a node with the interfaces for callers and operators"`
	Entry   *entryCmd   `arg:"subcommand:entry" help:"run an entry node with the platform's own interface; the environment variable ALMONDTURN_SETTINGS names its settings file"`
	Dev     *devCmd     `arg:"subcommand:dev" help:"run one node per zone and stand-ins for the platform and the targets in this process"`
	Check   *checkCmd   `arg:"subcommand:check-config" help:"check settings files and exit"`
	Version *versionCmd `arg:"subcommand:version" help:"print the version"`
}

// Description returns the text that go-arg prints above the flags on --help.
func (arguments) Description() string {
	return "almondturn serves rarely used language models on a fixed set of VMs."
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

// run runs the command that a holds, and prints the help if there is none.
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

// checkFiles prints the path of each valid file, and returns the errors of all
// others.
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

// checkFile returns an error if a settings file is invalid.
func checkFile(path string, platformFormat bool) error {
	if platformFormat {
		_, err := platform.ReadSettings(path)
		return err
	}
	_, err := config.Load(path)
	return err
}
