// Command bronzeyardctl is the operators' program.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/bronzeyard/bronzeyard/cmd/internal/ctl"
)

func main() {
	parser := flaggy.NewParser("bronzeyardctl")
	parser.Description = "operate a bronzeyard fleet"
	commands := ctl.Attach(parser, ctl.Environment{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, ReadFile: os.ReadFile,
	})
	if err := parser.Parse(); err != nil {
		parser.ShowHelpAndExit(err.Error())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code, found := commands.Run(ctx)
	stop()
	if !found {
		parser.ShowHelpAndExit("no command")
	}
	os.Exit(int(code))
}
