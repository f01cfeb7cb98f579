// Package dev implements the command "bronzeyardctl dev", which runs a whole deployment in one process on loopback.
package dev

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/local"
)

// Options of the command.
type Options struct {
	// Deployment is merrimack or daan. Default merrimack.
	Deployment string
	// Hosts is the number of hosts, 1 to 16. Default 3.
	Hosts int
	// Verbose writes state changes of the hosts to Log. Default false.
	Verbose bool
	// Out receives the printed instructions. Log receives the log lines of the hosts and the error of the command.
	Out, Log io.Writer
}

const readyTimeout = 30 * time.Second

// Run starts the deployment, prints how to use it and serves until ctx ends.
func Run(ctx context.Context, options Options) error {
	d, err := deployment.ByName(options.Deployment)
	if err != nil {
		return err
	}
	logger := zerolog.Nop()
	if options.Verbose {
		logger = zerolog.New(zerolog.SyncWriter(options.Log)).With().Timestamp().Logger()
	}
	fleet, err := local.Start(ctx, local.Options{Deployment: d, Hosts: options.Hosts, Logger: logger})
	if err != nil {
		return err
	}
	if err := waitReady(ctx, fleet); err != nil {
		return fmt.Errorf("%w; %w", err, fleet.Close())
	}
	if err := printGuide(options.Out, fleet); err != nil {
		return fmt.Errorf("%w; %w", err, fleet.Close())
	}
	<-ctx.Done()
	return fleet.Close()
}

func waitReady(ctx context.Context, fleet *local.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return fleet.WaitReady(ctx)
}

func printGuide(out io.Writer, fleet *local.Fleet) error {
	d := fleet.Options.Deployment
	node := fleet.Nodes()[0]
	lookupService, operationService := d.Services[0].Name, d.Services[1].Name
	key := local.Key(d.Customers[0].Name)
	_, err := fmt.Fprintf(out, `deployment %s runs on loopback: %d hosts, services %s, %s, %s, %d customers

look something up:
  curl -i -H 'Authorization: Bearer %s' http://%s/%s/today

run an operation at most once (repeat the line: it is not run again):
  curl -i -X POST -H 'Authorization: Bearer %s' -H 'Idempotency-Key: %s' -d '{}' http://%s/%s/new

ask which addresses to use:
  curl -s -H 'Authorization: Bearer %s' http://%s/.well-known/bronzeyard/addresses

be an operator (token %s):
  export BRONZEYARD_ADMIN=http://%s BRONZEYARD_TOKEN=%s
  go run ./cmd/bronzeyardctl status

end with Ctrl-C
`, d.Name, len(fleet.Nodes()), d.Services[0].Name, d.Services[1].Name, d.Services[2].Name, len(d.Customers),
		key, node.Config.Caller.Listen, lookupService,
		key, local.NewOperationID(), node.Config.Caller.Listen, operationService,
		key, node.Config.Caller.Listen,
		local.OperatorToken, node.Config.Admin.Listen, local.OperatorToken)
	return err
}
