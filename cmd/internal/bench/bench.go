// Package bench implements the command "bronzeyardctl bench", which runs an experiment and prints its figures beside their
// targets and baselines.
package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bronzeyard/bronzeyard/bench/bounds"
)

// Command is the parsed command line of bench.
type Command struct {
	bench       *flaggy.Subcommand
	experiments []experiment

	deployment string
	hosts      int
	seed       uint64
	duration   time.Duration
	binary     string
	callers    int
	memoryMB   int
	output     string
	out, log   io.Writer
}

// experiment is one subcommand. run returns the figures that have targets, and the whole report.
type experiment struct {
	name, description string
	run               func(context.Context) (figures []bounds.Figure, report any, err error)
	subcommand        *flaggy.Subcommand
}

// document is the JSON form of the results of an experiment.
type document struct {
	Experiment string       `json:"experiment"`
	Rows       []bounds.Row `json:"figures"`
	Report     any          `json:"report"`
}

// Attach adds the command to the parser.
func Attach(parser *flaggy.Parser, out, log io.Writer) *Command {
	c := &Command{bench: flaggy.NewSubcommand("bench"), deployment: "merrimack", seed: 1, out: out, log: log}
	c.experiments = []experiment{
		{name: "upstreams", description: "detection of grey upstreams, in simulated time", run: c.upstreams},
		{name: "fleet", description: "rate limits over all hosts, in real time", run: c.fleet},
		{name: "latency", description: "time that a host adds to a lookup", run: c.latency},
		{name: "capacity", description: "what control costs a host at several sizes of the fleet", run: c.capacity},
		{name: "memory", description: "memory of a real host beside bad bytes, large bodies and callers that do not read", run: c.memory},
		{name: "processes", description: "the real programs on loopback under faults", run: c.processes},
	}
	c.bench.Description = "run an experiment and print its figures beside their targets"
	for i := range c.experiments {
		c.attach(&c.experiments[i])
	}
	parser.AttachSubcommand(c.bench, 1)
	return c
}

func (c *Command) attach(e *experiment) {
	e.subcommand = flaggy.NewSubcommand(e.name)
	e.subcommand.Description = e.description
	e.subcommand.String(&c.deployment, "", "deployment", "merrimack or daan")
	e.subcommand.Int(&c.hosts, "", "hosts", "number of hosts (default: the experiment's)")
	e.subcommand.UInt64(&c.seed, "", "seed", "seed of the load")
	e.subcommand.Duration(&c.duration, "", "duration", "length of each phase (default: the experiment's)")
	e.subcommand.String(&c.output, "", "output", "file for the whole report as JSON")
	if e.name == "memory" {
		e.subcommand.Int(&c.callers, "", "callers", "number of callers (default 150)")
		e.subcommand.Int(&c.memoryMB, "", "memory", "memory of the machine in MiB (default 536)")
	}
	if e.name == "processes" || e.name == "memory" {
		e.subcommand.String(&c.binary, "", "binary", "path of the program bronzeyard (default: beside this program)")
	}
	c.bench.AttachSubcommand(e.subcommand, 1)
}

// Run runs the command if the command line names it. The exit code is 0, or 1 if the run failed or a counting bound is
// violated.
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
	targets, err := bounds.Load()
	if err != nil {
		return err
	}
	for _, e := range c.experiments {
		if !e.subcommand.Used {
			continue
		}
		figures, report, err := e.run(ctx)
		for i := range figures {
			figures[i].Experiment, figures[i].Deployment = e.name, c.deployment
		}
		rows := bounds.Compare(targets, figures)
		if err := errors.Join(err, bounds.Print(c.out, rows), c.write(&document{e.name, rows, report})); err != nil {
			return err
		}
		if violated := bounds.CountViolations(rows); violated > 0 {
			return fmt.Errorf("%d counting bounds are broken", violated)
		}
		return nil
	}
	return errors.New("name an experiment: bronzeyardctl bench upstreams|fleet|latency|capacity|memory|processes")
}

func (c *Command) write(d *document) error {
	if c.output == "" {
		return nil
	}
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.output, append(data, '\n'), 0o600)
}
