// Command bronzeyardctl is the command-line tool of the operators of a bronzeyard fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/bronzeyard/bronzeyard/cmd/internal/bench"
	"github.com/bronzeyard/bronzeyard/cmd/internal/check"
	"github.com/bronzeyard/bronzeyard/cmd/internal/ctl"
	"github.com/bronzeyard/bronzeyard/cmd/internal/dev"
	"github.com/bronzeyard/bronzeyard/cmd/internal/logs"
	"github.com/bronzeyard/bronzeyard/cmd/internal/soak"
)

func main() { os.Exit(run()) }

func run() int {
	parser := flaggy.NewParser("bronzeyardctl")
	parser.Description = "operate a bronzeyard fleet"
	devCommand := dev.Attach(parser, os.Stdout, os.Stderr)
	benchCommand := bench.Attach(parser, os.Stdout, os.Stderr)
	soakCommand := soak.Attach(parser, os.Stdout)
	logCommands := logs.Attach(parser, logs.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr})
	checkCommand := check.Attach(parser, check.Environment{Stdout: os.Stdout, Stderr: os.Stderr, ReadFile: os.ReadFile})
	operatorCommands := ctl.Attach(parser, ctl.Environment{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, ReadFile: os.ReadFile,
	})
	if err := parser.Parse(); err != nil {
		parser.ShowHelpAndExit(err.Error())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if code, found := devCommand.Run(ctx); found {
		return code
	}
	if code, found := benchCommand.Run(ctx); found {
		return code
	}
	if code, found := soakCommand.Run(ctx); found {
		return code
	}
	if code, found := logCommands.Run(); found {
		return code
	}
	if code, found := checkCommand.Run(operatorCommands.JSON()); found {
		return code
	}
	code, found := operatorCommands.Run(ctx)
	if !found {
		parser.ShowHelpAndExit("no command")
	}
	return int(code)
}
