// Command bronzeyardctl is the operators' program.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/bronzeyard/bronzeyard/cmd/internal/bench"
	"github.com/bronzeyard/bronzeyard/cmd/internal/ctl"
	"github.com/bronzeyard/bronzeyard/cmd/internal/dev"
	"github.com/bronzeyard/bronzeyard/cmd/internal/logs"
	"github.com/bronzeyard/bronzeyard/cmd/internal/soak"
)

func main() { os.Exit(run()) }

func run() int {
	parser := flaggy.NewParser("bronzeyardctl")
	parser.Description = "operate a bronzeyard fleet"
	development := dev.Attach(parser, os.Stdout, os.Stderr)
	experiments := bench.Attach(parser, os.Stdout, os.Stderr)
	faults := soak.Attach(parser, os.Stdout)
	explanations := logs.Attach(parser, logs.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr})
	commands := ctl.Attach(parser, ctl.Environment{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, ReadFile: os.ReadFile,
	})
	if err := parser.Parse(); err != nil {
		parser.ShowHelpAndExit(err.Error())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if code, found := development.Run(ctx); found {
		return code
	}
	if code, found := experiments.Run(ctx); found {
		return code
	}
	if code, found := faults.Run(ctx); found {
		return code
	}
	if code, found := explanations.Run(); found {
		return code
	}
	code, found := commands.Run(ctx)
	if !found {
		parser.ShowHelpAndExit("no command")
	}
	return int(code)
}
