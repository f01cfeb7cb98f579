// Command bronzeyardctl is the operators' program.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/bronzeyard/bronzeyard/cmd/internal/dev"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options := dev.Options{Deployment: "merrimack", Hosts: 3, Out: os.Stdout, Log: os.Stderr}
	command := flaggy.NewSubcommand("dev")
	command.Description = "run a whole deployment on loopback in this process"
	command.String(&options.Deployment, "", "deployment", "merrimack or daan")
	command.Int(&options.Hosts, "", "hosts", "number of hosts, 1 to 16")
	command.Bool(&options.Verbose, "", "verbose", "log the hosts' changes of state")
	flaggy.AttachSubcommand(command, 1)
	flaggy.Parse()
	if !command.Used {
		flaggy.ShowHelpAndExit("a command is required")
	}
	if err := dev.Run(ctx, options); err != nil {
		fmt.Fprintln(os.Stderr, "bronzeyardctl:", err)
		os.Exit(1) //nolint:gocritic // the process ends
	}
}
