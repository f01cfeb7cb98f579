// Command bronzeyard runs one host of the fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bronzeyard/bronzeyard/cmd/internal/serve"
	"github.com/bronzeyard/bronzeyard/gateway/hedge"
	"github.com/bronzeyard/bronzeyard/host/config"
	"github.com/bronzeyard/bronzeyard/platform"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

func main() { os.Exit(run()) }

func run() int {
	// The platform may send SIGHUP right after the start, or while the host leaves the fleet. Without a handler the signal
	// would terminate the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var settingsPath string
	parser := flaggy.NewParser("bronzeyard")
	parser.Description = "run one host of a bronzeyard fleet"
	parser.AdditionalHelpAppend = "Exit codes: 0 ok, 1 failed, 2 bad usage or settings."
	serveCommand := flaggy.NewSubcommand("serve")
	serveCommand.Description = "serve until SIGTERM, then leave the fleet without cutting a request"
	checkCommand := flaggy.NewSubcommand("check")
	checkCommand.Description = "check settings files and name each fault by its path"
	for _, command := range []*flaggy.Subcommand{serveCommand, checkCommand} {
		command.String(&settingsPath, "s", "settings", "file with the static settings of the host (JSON)")
		parser.AttachSubcommand(command, 1)
	}
	var platformFile, deployment string
	checkCommand.String(&platformFile, "", "platform", "settings file of a process on the operations platform (TOML)")
	checkCommand.String(&deployment, "", "deployment", "deploy file of the operations platform (TOML)")
	var metricsPort int
	gatewayCommand := flaggy.NewSubcommand("gateway")
	gatewayCommand.Description = "serve on the operations platform, with the settings file that the platform names"
	gatewayCommand.Int(&metricsPort, "m", "metrics", "port that serves the metrics; 0 serves none")
	var hedgeLimit string
	gatewayCommand.String(&hedgeLimit, "", "hedge-limit",
		"hedged attempts at most, in percent of the requests of a service, for example 5%; 0% for none; without it, only the retry budget limits them")
	var hostsPerSlot float64
	gatewayCommand.Float64(&hostsPerSlot, "", "hosts-per-slot",
		"hosts per slot of an upstream from which dispatchers assign the slots of services with several priorities; 0 for the default of 12")
	var startWait time.Duration
	gatewayCommand.Duration(&startWait, "", "start-wait",
		"time after its start for which a host holds requests that it cannot serve yet, for example 1s; 0s rejects them at once")
	var weightAddresses bool
	gatewayCommand.Bool(&weightAddresses, "", "weight-addresses",
		"weight hosts in address responses by their capacity if those of a data centre are uneven")
	parser.AttachSubcommand(gatewayCommand, 1)
	if err := parser.Parse(); err != nil {
		parser.ShowHelpAndExit(err.Error())
	}
	if gatewayCommand.Used {
		limit, err := hedge.ParseLimit(hedgeLimit)
		if err != nil {
			fmt.Fprintln(os.Stderr, "bronzeyard: --hedge-limit:", err)
			return exitInvalid
		}
		if hostsPerSlot < 0 {
			fmt.Fprintln(os.Stderr, "bronzeyard: --hosts-per-slot must not be negative")
			return exitInvalid
		}
		if startWait < 0 {
			fmt.Fprintln(os.Stderr, "bronzeyard: --start-wait must not be negative")
			return exitInvalid
		}
		return runGateway(platform.Options{
			Output: os.Stdout, MetricsPort: metricsPort, HostsPerSlot: hostsPerSlot, HedgeLimit: limit, StartWait: startWait,
			WeightAddresses: weightAddresses, Reload: reload,
		})
	}
	signal.Reset(syscall.SIGHUP) // other commands have nothing to reload
	if checkCommand.Used {
		code := check(settingsPath, platformFile, deployment)
		if code == exitOK {
			fmt.Println("the settings are valid")
		}
		return code
	}
	if settingsPath == "" {
		fmt.Fprintln(os.Stderr, "bronzeyard: name a command and its settings, for example: bronzeyard serve --settings host.json")
		return exitInvalid
	}
	if code := check(settingsPath, "", ""); code != exitOK {
		return code
	}
	return runUntilSignal(func(ctx context.Context) error { return serve.Run(ctx, settingsPath, os.Stdout) })
}

// check validates the given files and prints what is invalid to standard error. Files with an empty path are skipped. It
// returns exitInvalid if a file is invalid or no file is given.
func check(settings, platformSettings, deployment string) int {
	checks := []struct {
		path string
		load func(string) error
	}{
		{settings, func(path string) error { _, err := config.Load(path); return err }},
		{platformSettings, platform.CheckSettings},
		{deployment, platform.CheckDeployment},
	}
	code, anyFile := exitOK, false
	for _, c := range checks {
		if c.path == "" {
			continue
		}
		anyFile = true
		if err := c.load(c.path); err != nil {
			fmt.Fprintf(os.Stderr, "bronzeyard: %s is not valid:\n%v\n", c.path, err)
			code = exitInvalid
		}
	}
	if !anyFile {
		fmt.Fprintln(os.Stderr, "bronzeyard: name a file to check: --settings, --platform or --deployment")
		return exitInvalid
	}
	return code
}

func runGateway(options platform.Options) int {
	return runUntilSignal(func(ctx context.Context) error { return platform.Run(ctx, options) })
}

// runUntilSignal runs a host until SIGINT or SIGTERM cancels its context, and returns the exit code.
func runUntilSignal(run func(context.Context) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "bronzeyard:", err)
		return exitFailed
	}
	return exitOK
}
