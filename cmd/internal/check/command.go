package check

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/bronzeyard/bronzeyard/platform"
)

// Exit codes of the command. Bad usage and files that cannot be read count as errors.
const (
	exitOK       = 0
	exitWarnings = 1
	exitErrors   = 2
)

// Environment holds what the command uses of the process.
type Environment struct {
	Stdout, Stderr io.Writer
	ReadFile       func(string) ([]byte, error)
}

// Command is the command check-configuration, which is attached to a parser.
type Command struct {
	*flaggy.Subcommand
	env           Environment
	file, inForce string
}

// Attach adds the command to the parser. Call Run after parsing.
func Attach(parser *flaggy.Parser, env Environment) *Command {
	c := &Command{Subcommand: flaggy.NewSubcommand("check-configuration"), env: env}
	c.Description = "check an operator's configuration before it is sent; exit code 1 for warnings, 2 for errors"
	c.AddPositionalValue(&c.file, "FILE", 1, true, "configuration (JSON)")
	c.String(&c.inForce, "", "in-force", "configuration in force, to show the differences")
	parser.AttachSubcommand(c.Subcommand, 1)
	return c
}

// Run runs the command if the command line names it. With asJSON, which is a flag of all commands, it prints the findings as JSON.
func (c *Command) Run(asJSON bool) (code int, found bool) {
	if !c.Used {
		return exitOK, false
	}
	findings, err := c.check()
	if err == nil {
		err = c.print(findings, asJSON)
	}
	if err != nil {
		_, _ = fmt.Fprintln(c.env.Stderr, "bronzeyardctl:", err)
		return exitErrors, true
	}
	return exitCode(findings), true
}

func (c *Command) check() ([]platform.Finding, error) {
	data, err := c.env.ReadFile(c.file)
	if err != nil {
		return nil, err
	}
	var inForce []byte
	if c.inForce != "" {
		if inForce, err = c.env.ReadFile(c.inForce); err != nil {
			return nil, err
		}
		if inForce == nil {
			inForce = []byte{}
		}
	}
	return platform.CheckConfiguration(data, inForce), nil
}

func count(findings []platform.Finding, severity platform.Severity) (n int) {
	for _, f := range findings {
		if f.Severity == severity {
			n++
		}
	}
	return n
}

func exitCode(findings []platform.Finding) int {
	switch {
	case count(findings, platform.Error) > 0:
		return exitErrors
	case count(findings, platform.Warning) > 0:
		return exitWarnings
	default:
		return exitOK
	}
}

// report is the output with --json.
type report struct {
	Errors      int                `json:"errors"`
	Warnings    int                `json:"warnings"`
	Differences int                `json:"differences"`
	Findings    []platform.Finding `json:"findings"`
}

func (c *Command) print(findings []platform.Finding, asJSON bool) error {
	r := report{
		Errors: count(findings, platform.Error), Warnings: count(findings, platform.Warning),
		Differences: count(findings, platform.Difference), Findings: findings,
	}
	if asJSON {
		if r.Findings == nil {
			r.Findings = []platform.Finding{}
		}
		encoder := json.NewEncoder(c.env.Stdout)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, severity := range []platform.Severity{platform.Error, platform.Warning, platform.Note, platform.Difference} {
		for _, f := range findings {
			if f.Severity != severity {
				continue
			}
			place := f.Path
			if place != "" {
				place += ": "
			}
			if _, err := fmt.Fprintf(c.env.Stdout, "%s: %s%s\n", severity, place, f.Text); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(c.env.Stdout, "errors: %d, warnings: %d, differences: %d\n", r.Errors, r.Warnings, r.Differences)
	return err
}
