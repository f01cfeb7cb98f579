// Package soak holds the command that plays random faults against real host processes.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"

	"github.com/integrii/flaggy"

	"github.com/bronzeyard/bronzeyard/platform/platformtest/soak"
)

// Exit codes of the command.
const (
	exitKept   = 0
	exitBroken = 1
	exitFailed = 2
)

// Command is the parsed command line of soak.
type Command struct {
	subcommand *flaggy.Subcommand
	out        io.Writer
	first      uint64
	seeds      int
	parallel   int
	binary     string
	keep       string
	hosts      int
}

// Attach adds the command to the parser.
func Attach(parser *flaggy.Parser, out io.Writer) *Command {
	c := &Command{subcommand: flaggy.NewSubcommand("soak"), out: out, seeds: 1, parallel: 2, hosts: 4}
	c.subcommand.Description = "play random faults against host processes on this machine; about 45 s a seed"
	c.subcommand.UInt64(&c.first, "", "seed", "first seed (default: drawn)")
	c.subcommand.Int(&c.seeds, "", "seeds", "number of seeds")
	c.subcommand.Int(&c.parallel, "", "parallel", "seeds that are played at the same time")
	c.subcommand.Int(&c.hosts, "", "hosts", "host processes of a seed")
	c.subcommand.String(&c.binary, "", "binary", "program of a host (default: built from this workspace)")
	c.subcommand.String(&c.keep, "", "keep", "directory for the logs of seeds that break a promise (default: none are kept)")
	parser.AttachSubcommand(c.subcommand, 1)
	return c
}

// Run runs the command if the command line names it. The exit code is 0, 1 for broken promises, or 2 if a run failed.
func (c *Command) Run(ctx context.Context) (code int, found bool) {
	if !c.subcommand.Used {
		return exitKept, false
	}
	code, err := c.play(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(c.out, "bronzeyardctl: soak:", err)
		return exitFailed, true
	}
	return code, true
}

func (c *Command) play(ctx context.Context) (int, error) {
	directory, err := os.MkdirTemp("", "bronzeyard-soak-")
	if err != nil {
		return exitFailed, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if c.binary == "" {
		if c.binary, err = soak.Build(directory); err != nil {
			return exitFailed, err
		}
	}
	if c.first == 0 {
		c.first = rand.Uint64N(1 << 32)
	}
	var (
		mu     sync.Mutex
		failed error
		broken int
		all    sync.WaitGroup
		tried  = make(map[soak.Kind]int)
		judged int
	)
	places := make(chan struct{}, max(1, c.parallel))
	for seed := c.first; seed < c.first+uint64(c.seeds); seed++ {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			report, err := c.one(ctx, directory, seed)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = fmt.Errorf("seed %d: %w", seed, err)
				return
			}
			if len(report.Violations) > 0 {
				broken++
			}
			for i := range report.Incidents {
				tried[report.Incidents[i].Kind]++
			}
			judged += report.Probes
			for _, n := range report.Responses {
				judged += n
			}
			c.print(report)
		})
	}
	all.Wait()
	_, _ = fmt.Fprintf(c.out, "incidents by kind: %v\n%d requests\n", tried, judged)
	_, _ = fmt.Fprintf(c.out, "%d seeds from %d on: %d with a broken promise\n", c.seeds, c.first, broken)
	if broken > 0 {
		return exitBroken, failed
	}
	return exitKept, failed
}

func (c *Command) one(ctx context.Context, directory string, seed uint64) (*soak.Report, error) {
	own := filepath.Join(directory, fmt.Sprint(seed))
	if err := os.Mkdir(own, 0o700); err != nil {
		return nil, err
	}
	report, err := soak.Run(ctx, soak.Options{Seed: seed, Binary: c.binary, Directory: own, Hosts: c.hosts})
	if err == nil && c.keep != "" && len(report.Violations) > 0 {
		err = os.CopyFS(filepath.Join(c.keep, fmt.Sprint(seed)), os.DirFS(own))
	}
	return report, err
}

func (c *Command) print(report *soak.Report) {
	_, _ = fmt.Fprintf(c.out, "seed %d: answers by status %v, %d probes, %d of them bound by a change\n",
		report.Seed, report.Responses, report.Probes, report.ProbesPastDeadline)
	if len(report.Violations) == 0 {
		return
	}
	for _, i := range report.Incidents {
		_, _ = fmt.Fprintf(c.out, "  %7.3f s to %7.3f s  %s: %s\n",
			i.From.Sub(report.StartedAt).Seconds(), i.To.Sub(report.StartedAt).Seconds(), i.Kind, i.Details)
	}
	for _, violation := range report.Violations {
		_, _ = fmt.Fprintln(c.out, "  BROKEN", violation)
	}
}
