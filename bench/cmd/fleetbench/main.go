// Command fleetbench runs the measurement of the fleet's rate limits in real time and prints its report as JSON, and a
// summary to standard error.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bronzeyard/bronzeyard/bench/fleetbench"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleetbench:", err)
		os.Exit(1)
	}
}

func run() error {
	deployment := string(fleetbench.Merrimack)
	options := fleetbench.Options{Seed: 1, Duration: 30 * time.Second, Output: os.Stdout}
	flaggy.SetName("fleetbench")
	flaggy.SetDescription("Measures the fleet's rate limits in real time.")
	flaggy.String(&deployment, "d", "deployment", "merrimack or daan")
	flaggy.Int(&options.Hosts, "n", "hosts", "number of hosts (default: the deployment's)")
	flaggy.UInt64(&options.Seed, "s", "seed", "seed of the load")
	flaggy.Duration(&options.Duration, "t", "duration", "time of load per scenario")
	flaggy.String(&options.Only, "o", "only", "name of the one scenario to run")
	flaggy.Parse()
	options.Deployment = fleetbench.Deployment(deployment)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := fleetbench.Run(ctx, options)
	if err != nil {
		return err
	}
	return report.WriteText(os.Stderr)
}
