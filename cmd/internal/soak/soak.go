// Package soak implements the command "bronzeyardctl soak", which injects random faults into real host processes and checks
// that the invariants of the fleet hold.
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
	exitOK        = 0
	exitViolation = 1
	exitFailed    = 2
)

// Command is the parsed command line of soak.
type Command struct {
	subcommand   *flaggy.Subcommand
	out          io.Writer
	firstSeed    uint64
	seedCount    int
	parallel     int
	binary       string
	logDirectory string
	hosts        int
}

// Attach adds the command to the parser.
func Attach(parser *flaggy.Parser, out io.Writer) *Command {
	c := &Command{subcommand: flaggy.NewSubcommand("soak"), out: out, seedCount: 1, parallel: 2, hosts: 4}
	c.subcommand.Description = "play random faults against host processes on this machine; about 45 s a seed"
	c.subcommand.UInt64(&c.firstSeed, "", "seed", "first seed (default: drawn)")
	c.subcommand.Int(&c.seedCount, "", "seeds", "number of seeds")
	c.subcommand.Int(&c.parallel, "", "parallel", "seeds that are played at the same time")
	c.subcommand.Int(&c.hosts, "", "hosts", "host processes of a seed")
	c.subcommand.String(&c.binary, "", "binary", "program of a host (default: built from this workspace)")
	c.subcommand.String(&c.logDirectory, "", "keep", "directory for the logs of seeds that break a promise (default: none are kept)")
	parser.AttachSubcommand(c.subcommand, 1)
	return c
}

// Run runs the command if the command line names it. The exit code is 0, 1 if an invariant was violated, or 2 if a run
// failed.
func (c *Command) Run(ctx context.Context) (code int, found bool) {
	if !c.subcommand.Used {
		return exitOK, false
	}
	code, err := c.runSeeds(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(c.out, "bronzeyardctl: soak:", err)
		return exitFailed, true
	}
	return code, true
}

func (c *Command) runSeeds(ctx context.Context) (int, error) {
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
	if c.firstSeed == 0 {
		c.firstSeed = rand.Uint64N(1 << 32)
	}
	var (
		mu        sync.Mutex
		runErr    error
		violated  int
		wg        sync.WaitGroup
		incidents = make(map[soak.Kind]int)
		requests  int
	)
	semaphore := make(chan struct{}, max(1, c.parallel))
	for seed := c.firstSeed; seed < c.firstSeed+uint64(c.seedCount); seed++ {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			report, err := c.runSeed(ctx, directory, seed)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				runErr = fmt.Errorf("seed %d: %w", seed, err)
				return
			}
			if len(report.Violations) > 0 {
				violated++
			}
			for i := range report.Incidents {
				incidents[report.Incidents[i].Kind]++
			}
			requests += report.Probes
			for _, n := range report.Responses {
				requests += n
			}
			c.printReport(report)
		})
	}
	wg.Wait()
	_, _ = fmt.Fprintf(c.out, "incidents by kind: %v\n%d requests\n", incidents, requests)
	_, _ = fmt.Fprintf(c.out, "%d seeds from %d on: %d with a broken promise\n", c.seedCount, c.firstSeed, violated)
	if violated > 0 {
		return exitViolation, runErr
	}
	return exitOK, runErr
}

func (c *Command) runSeed(ctx context.Context, directory string, seed uint64) (*soak.Report, error) {
	seedDirectory := filepath.Join(directory, fmt.Sprint(seed))
	if err := os.Mkdir(seedDirectory, 0o700); err != nil {
		return nil, err
	}
	report, err := soak.Run(ctx, soak.Options{Seed: seed, Binary: c.binary, Directory: seedDirectory, Hosts: c.hosts})
	if err == nil && c.logDirectory != "" && len(report.Violations) > 0 {
		err = os.CopyFS(filepath.Join(c.logDirectory, fmt.Sprint(seed)), os.DirFS(seedDirectory))
	}
	return report, err
}

func (c *Command) printReport(report *soak.Report) {
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
