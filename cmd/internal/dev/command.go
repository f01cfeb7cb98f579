package dev

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// Command is the parsed command line of dev.
type Command struct {
	subcommand *flaggy.Subcommand
	options    Options
	onPlatform bool
}

// Attach adds the command to the parser.
func Attach(parser *flaggy.Parser, out, log io.Writer) *Command {
	c := &Command{
		subcommand: flaggy.NewSubcommand("dev"),
		options:    Options{Deployment: "merrimack", Hosts: 3, Out: out, Log: log},
	}
	c.subcommand.Description = "run a whole deployment on loopback in this process"
	c.subcommand.String(&c.options.Deployment, "", "deployment", "merrimack or daan")
	c.subcommand.Int(&c.options.Hosts, "", "hosts", "number of hosts, 1 to 16")
	c.subcommand.Bool(&c.onPlatform, "", "platform", "run on a stand-in of the users' operations platform")
	c.subcommand.Bool(&c.options.Verbose, "", "verbose", "log the hosts' changes of state")
	parser.AttachSubcommand(c.subcommand, 1)
	return c
}

// Run runs the command if the command line names it. The exit code is 0 or 1.
func (c *Command) Run(ctx context.Context) (code int, found bool) {
	if !c.subcommand.Used {
		return 0, false
	}
	run := Run
	if c.onPlatform {
		run = RunPlatform
	}
	if err := run(ctx, c.options); err != nil {
		_, _ = fmt.Fprintln(c.options.Log, "bronzeyardctl:", err)
		return 1, true
	}
	return 0, true
}
