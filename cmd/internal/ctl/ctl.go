package ctl

import (
	"context"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// ExitCode is the exit code of the program.
type ExitCode int

// Exit codes. flaggy itself ends the program with ExitUsage if it cannot parse the command line.
const (
	ExitOK          ExitCode = 0
	ExitFailed      ExitCode = 1
	ExitUsage       ExitCode = 2
	ExitConflict    ExitCode = 3
	ExitNotInForce  ExitCode = 4
	ExitUnavailable ExitCode = 5
)

const helpText = `Hosts: --admin or BRONZEYARD_ADMIN, several URLs separated by commas.
Token: in the file --token-file or BRONZEYARD_TOKEN_FILE, or in BRONZEYARD_TOKEN.
Certificates: --ca-file or BRONZEYARD_CA_FILE.
Exit codes: 0 ok, 1 failed, 2 bad usage, 3 conflict, 4 not yet in force everywhere, 5 unavailable.`

const (
	defaultAdmin   = "http://127.0.0.1:9902"
	defaultTimeout = 30 * time.Second
)

// Environment holds what the commands use of the process: standard streams, environment variables and files.
type Environment struct {
	Stdout, Stderr io.Writer
	Stdin          io.Reader
	Getenv         func(string) string
	ReadFile       func(string) ([]byte, error)
}

// Commands holds the operators' commands that are attached to a parser.
type Commands struct {
	env      Environment
	flags    flags
	commands []*command
}

// flags holds the flags that all commands share.
type flags struct {
	admin, tokenFile, caFile, changeID, base string
	asJSON                                   bool
	timeout                                  time.Duration
}

// command is a subcommand of the parser with the function that runs it.
type command struct {
	*flaggy.Subcommand
	run func(*session) error
}

// Attach adds the commands and their common flags to the parser. Call Run after parsing.
func Attach(parser *flaggy.Parser, env Environment) *Commands {
	c := &Commands{env: env, flags: flags{timeout: defaultTimeout}}
	parser.AdditionalHelpAppend = helpText
	parser.String(&c.flags.admin, "", "admin", "URLs of the admin API of hosts (default "+defaultAdmin+")")
	parser.String(&c.flags.tokenFile, "", "token-file", "file with the operator's token")
	parser.String(&c.flags.caFile, "", "ca-file", "file with the certificates that sign those of the hosts (default: those of the system)")
	parser.String(&c.flags.changeID, "", "change-id", "change id of an earlier attempt (default: a new one)")
	parser.String(&c.flags.base, "", "base", "revision that the change is based on (default: the newest)")
	parser.Bool(&c.flags.asJSON, "", "json", "print the answer as JSON")
	parser.Duration(&c.flags.timeout, "", "timeout", "time limit of the command")
	c.attachSettings(parser)
	c.attachCustomers(parser)
	c.attachServices(parser)
	c.attachOperations(parser)
	return c
}

// group adds a command that only has subcommands.
func group(parser *flaggy.Parser, name, description string) *flaggy.Subcommand {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	parser.AttachSubcommand(subcommand, 1)
	return subcommand
}

// attacher is a parser or a group.
type attacher interface {
	AttachSubcommand(subcommand *flaggy.Subcommand, position int)
}

func (c *Commands) add(to attacher, name, description string, run func(*session) error) *flaggy.Subcommand {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	to.AttachSubcommand(subcommand, 1)
	c.commands = append(c.commands, &command{Subcommand: subcommand, run: run})
	return subcommand
}

// JSON reports whether the command line asks for JSON.
func (c *Commands) JSON() bool { return c.flags.asJSON }

// Run runs the command that was parsed. It returns false if the command line names none of the operators' commands.
func (c *Commands) Run(ctx context.Context) (ExitCode, bool) {
	for _, command := range c.commands {
		if command.Used {
			ctx, cancel := context.WithTimeout(ctx, c.flags.timeout)
			defer cancel()
			return c.runCommand(ctx, command), true
		}
	}
	return ExitOK, false
}

func (c *Commands) runCommand(ctx context.Context, command *command) ExitCode {
	s, err := c.session(ctx)
	if err == nil {
		err = command.run(s)
	}
	if err == nil {
		return ExitOK
	}
	var failure *commandError
	if !errors.As(err, &failure) {
		failure = &commandError{code: ExitFailed, message: err.Error()}
	}
	if failure.message != "" {
		_, _ = fmt.Fprintln(c.env.Stderr, "bronzeyardctl: "+failure.message)
	}
	if failure.next != "" {
		_, _ = fmt.Fprintln(c.env.Stderr, "next: "+failure.next)
	}
	return failure.code
}

// commandError ends a command with an exit code. next, if not empty, advises the operator what to do.
type commandError struct {
	code          ExitCode
	message, next string
}

func (e *commandError) Error() string { return e.message }

func usageError(format string, args ...any) error {
	return &commandError{code: ExitUsage, message: fmt.Sprintf(format, args...), next: "see --help"}
}

func (c *Commands) session(ctx context.Context) (*session, error) {
	admin := firstNonEmpty(c.flags.admin, c.env.Getenv("BRONZEYARD_ADMIN"), defaultAdmin)
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	roots, err := c.roots()
	if err != nil {
		return nil, err
	}
	return &session{
		ctx: ctx, env: &c.env, flags: &c.flags, token: token, roots: roots,
		hosts: strings.Split(admin, ","), changeID: firstNonEmpty(c.flags.changeID, newID("change-")),
	}, nil
}

func (c *Commands) token() (string, error) {
	file := firstNonEmpty(c.flags.tokenFile, c.env.Getenv("BRONZEYARD_TOKEN_FILE"))
	if file == "" {
		if token := c.env.Getenv("BRONZEYARD_TOKEN"); token != "" {
			return token, nil
		}
		return "", usageError("no token: name a file with --token-file or set BRONZEYARD_TOKEN")
	}
	data, err := c.env.ReadFile(file)
	if err != nil {
		return "", usageError("the token file cannot be read: %v", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// roots returns the CA certificates to trust, or nil for those of the system.
func (c *Commands) roots() (*x509.CertPool, error) {
	file := firstNonEmpty(c.flags.caFile, c.env.Getenv("BRONZEYARD_CA_FILE"))
	if file == "" {
		return nil, nil
	}
	data, err := c.env.ReadFile(file)
	if err != nil {
		return nil, usageError("the CA file cannot be read: %v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, usageError("the CA file has no certificate")
	}
	return roots, nil
}

func firstNonEmpty(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return ""
}
