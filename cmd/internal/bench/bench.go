// Package bench is the command "bronzeyardctl bench": experiments with their targets and baselines.
package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bronzeyard/bronzeyard/bench/capacitybench"
	"github.com/bronzeyard/bronzeyard/bench/processbench"
	"github.com/bronzeyard/bronzeyard/emulator/deployment"
)

// Command is the parsed command line of bench.
type Command struct {
	bench       *flaggy.Subcommand
	experiments map[string]*flaggy.Subcommand
	runs        map[string]func(context.Context, *deployment.Deployment) (broken int, report any, err error)

	deployment string
	hosts      int
	seed       uint64
	binary     string
	phase      time.Duration
	output     string
	out, log   io.Writer
}

// Attach adds the command to the parser.
func Attach(parser *flaggy.Parser, out, log io.Writer) *Command {
	c := &Command{
		bench: flaggy.NewSubcommand("bench"), experiments: make(map[string]*flaggy.Subcommand),
		deployment: "merrimack", hosts: 14, seed: 1, phase: 15 * time.Second, out: out, log: log,
	}
	c.runs = map[string]func(context.Context, *deployment.Deployment) (int, any, error){
		"processes": c.processes, "capacity": c.capacity,
	}
	c.bench.Description = "run an experiment and print its figures"
	c.add("processes", "the real programs on loopback under faults")
	c.experiments["processes"].String(&c.binary, "", "binary", "path of the program bronzeyard (default: beside this program)")
	c.experiments["processes"].Duration(&c.phase, "", "phase", "length of the steady phases")
	c.add("capacity", "what control costs a host at several sizes of the fleet")
	parser.AttachSubcommand(c.bench, 1)
	return c
}

func (c *Command) add(name, description string) {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	subcommand.String(&c.deployment, "", "deployment", "merrimack or daan")
	subcommand.Int(&c.hosts, "", "hosts", "number of hosts, 1 to 16")
	subcommand.UInt64(&c.seed, "", "seed", "seed of the load")
	subcommand.String(&c.output, "", "output", "file for the report as JSON")
	c.experiments[name] = subcommand
	c.bench.AttachSubcommand(subcommand, 1)
}

// Run runs the command if the command line names it. The exit code is 0, or 1 if the run failed or a promise was broken.
func (c *Command) Run(ctx context.Context) (code int, found bool) {
	if !c.bench.Used {
		return 0, false
	}
	if err := c.run(ctx); err != nil {
		_, _ = fmt.Fprintln(c.log, "bronzeyardctl:", err)
		return 1, true
	}
	return 0, true
}

func (c *Command) run(ctx context.Context) error {
	d, err := deployment.ByName(c.deployment)
	if err != nil {
		return err
	}
	for name, subcommand := range c.experiments {
		if !subcommand.Used {
			continue
		}
		broken, report, err := c.runs[name](ctx, d)
		if err := errors.Join(err, c.write(report)); err != nil {
			return err
		}
		if broken > 0 {
			return fmt.Errorf("%d promises were broken", broken)
		}
		return nil
	}
	return errors.New("name an experiment, for example: bench processes")
}

func (c *Command) write(report any) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	data = append(data, '\n')
	if c.output != "" {
		return os.WriteFile(c.output, data, 0o600)
	}
	_, err = c.out.Write(data)
	return err
}

func (c *Command) processes(ctx context.Context, d *deployment.Deployment) (int, any, error) {
	binary := c.binary
	if binary == "" {
		executable, err := os.Executable()
		if err != nil {
			return 0, nil, err
		}
		binary = filepath.Join(filepath.Dir(executable), "bronzeyard")
	}
	if _, err := os.Stat(binary); err != nil {
		return 0, nil, fmt.Errorf("the program bronzeyard is not found; build it and name it with --binary: %w", err)
	}
	report, err := processbench.Run(ctx, processbench.Options{
		Binary: binary, Deployment: d, Hosts: c.hosts, Seed: c.seed, PhaseLength: c.phase,
		Progress: func(phase string) { _, _ = fmt.Fprintln(c.log, "phase:", phase) },
	})
	return report.Whole.Broken(), report, err
}

func (c *Command) capacity(ctx context.Context, d *deployment.Deployment) (int, any, error) {
	report, err := capacitybench.Run(ctx, capacitybench.Options{Deployment: d})
	return 0, report, err
}
