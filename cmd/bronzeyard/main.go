// Command bronzeyard runs one host of the fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/bronzeyard/bronzeyard/cmd/internal/serve"
	"github.com/bronzeyard/bronzeyard/host/config"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

func main() { os.Exit(run()) }

func run() int {
	var path string
	parser := flaggy.NewParser("bronzeyard")
	parser.Description = "run one host of a bronzeyard fleet"
	parser.AdditionalHelpAppend = "Exit codes: 0 ok, 1 failed, 2 bad usage or settings."
	serveCommand := flaggy.NewSubcommand("serve")
	serveCommand.Description = "serve until SIGTERM, then leave the fleet without cutting a request"
	checkCommand := flaggy.NewSubcommand("check")
	checkCommand.Description = "check static settings and name each fault by its path"
	for _, command := range []*flaggy.Subcommand{serveCommand, checkCommand} {
		command.String(&path, "s", "settings", "file with the static settings of the host (JSON)")
		parser.AttachSubcommand(command, 1)
	}
	if err := parser.Parse(); err != nil {
		parser.ShowHelpAndExit(err.Error())
	}
	if path == "" {
		fmt.Fprintln(os.Stderr, "bronzeyard: name a command and its settings, for example: bronzeyard serve --settings host.json")
		return exitInvalid
	}
	if _, err := config.Load(path); err != nil {
		fmt.Fprintf(os.Stderr, "bronzeyard: the settings are not valid:\n%v\n", err)
		return exitInvalid
	}
	if checkCommand.Used {
		fmt.Println("the settings are valid")
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve.Run(ctx, path, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bronzeyard:", err)
		return exitFailed
	}
	return exitOK
}
