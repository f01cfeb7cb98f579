package logs

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"

	"github.com/bronzeyard/bronzeyard/gateway/decisionlog"
)

// Exit codes of the commands.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Environment holds the standard streams that the commands use.
type Environment struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
}

// Commands holds the commands trace and report, which are attached to a parser.
type Commands struct {
	env           Environment
	trace, report *flaggy.Subcommand
	id            string
	patterns      []string
	rawLines      bool
	output        string
}

// Attach adds the commands to the parser. Call Run after parsing.
func Attach(parser *flaggy.Parser, env Environment) *Commands {
	c := &Commands{env: env, output: "report.html"}
	c.trace = flaggy.NewSubcommand("trace")
	c.trace.Description = "explain a request from the logs of hosts"
	c.trace.AddPositionalValue(&c.id, "ID", 1, true, "id of the request")
	c.trace.Bool(&c.rawLines, "", "lines", "print the log lines as they are")
	c.report = flaggy.NewSubcommand("report")
	c.report.Description = "make a page with plots from the logs of hosts"
	c.report.String(&c.output, "o", "output", "file to write (default report.html)")
	for _, command := range []*flaggy.Subcommand{c.trace, c.report} {
		command.StringSlice(&c.patterns, "", "logs", "log files or patterns, repeatable (default: standard input)")
		parser.AttachSubcommand(command, 1)
	}
	return c
}

// Run runs the command if the command line names trace or report. The exit code is 0, 1 for a failure, or 2 for bad usage.
func (c *Commands) Run() (code int, found bool) {
	var run func(*decisionlog.Log) error
	switch {
	case c.trace.Used:
		run = c.runTrace
	case c.report.Used:
		run = c.runReport
	default:
		return exitOK, false
	}
	log, err := c.readLogs()
	if err == nil {
		err = run(log)
	}
	if err == nil {
		return exitOK, true
	}
	_, _ = fmt.Fprintln(c.env.Stderr, "bronzeyardctl:", err)
	if errors.Is(err, errUsage) {
		return exitUsage, true
	}
	return exitFailed, true
}

var errUsage = errors.New("bad usage")

func (c *Commands) readLogs() (*decisionlog.Log, error) {
	log := &decisionlog.Log{}
	if len(c.patterns) == 0 {
		if err := log.Read(c.env.Stdin); err != nil {
			return nil, fmt.Errorf("standard input: %w", err)
		}
	}
	for _, pattern := range c.patterns {
		names, err := filepath.Glob(pattern)
		if err != nil {
			return nil, fmt.Errorf("%w: --logs %q: %w", errUsage, pattern, err)
		}
		if len(names) == 0 {
			return nil, fmt.Errorf("%w: --logs %q matches no file", errUsage, pattern)
		}
		for _, name := range names {
			if err := readFile(log, name); err != nil {
				return nil, err
			}
		}
	}
	if len(log.Lines) == 0 {
		return nil, fmt.Errorf("no line of a host's log in the input (%d other lines)", log.Ignored)
	}
	return log, nil
}

func readFile(log *decisionlog.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // the file is only read
	if err := log.Read(file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
