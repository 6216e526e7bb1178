package cli

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// Environment variables that stand in for flags, so that keys need not appear
// in the list of processes.
const (
	EnvHost = "FIREFLYFOLD_HOST"
	EnvKey  = "FIREFLYFOLD_KEY"
)

// defaultHost is asked if neither the flag nor the variable is set.
const defaultHost = "127.0.0.1:7000"

// Env is what the commands take from their surroundings.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	Random io.Reader // source of keys
}

// OSEnv returns the surroundings of a real process.
func OSEnv() Env {
	return Env{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Random: rand.Reader}
}

// Register adds the commands of callers and operators to a commander.
func Register(commander *subcommands.Commander) { RegisterEnv(commander, OSEnv()) }

// RegisterEnv adds the commands with surroundings other than the process's.
func RegisterEnv(commander *subcommands.Commander, env Env) {
	for _, c := range []*command{newSubmit(env), newCancel(env), newExplain(env), newStatus(env)} {
		commander.Register(c, "callers")
	}
	for _, c := range []*command{
		newPlan(env), newConfirm(env), newDrain(env), newTeams(env), newKeys(env),
		newWorkers(env), newHosts(env), newHistory(env), newCheckSettings(env),
	} {
		commander.Register(c, "operators")
	}
}

// command is one subcommand. It implements subcommands.Command.
type command struct {
	env      Env
	name     string
	args     string // after the flags, for the help
	synopsis string
	example  string // one or more lines
	about    string // further help, may be empty

	flags func(*flag.FlagSet)
	run   func(ctx context.Context, c *command, args []string) error

	local bool // calls no host
	host  string
	key   string
	ca    string
	json  bool
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	about := c.about
	if about != "" {
		about += "\n\n"
	}
	return fmt.Sprintf("fireflyfold %s [flags] %s\n\n%s.\n\n%sExample:\n%s\n\n%s\nFlags:\n",
		c.name, c.args, c.synopsis, about, c.example, exitTable)
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if !c.local {
		f.StringVar(&c.host, "host", "", "entry host, IP:port or URL; several with commas (default $"+EnvHost+" or "+defaultHost+")")
		f.StringVar(&c.key, "key", "", "team key, or operator's token (default $"+EnvKey+")")
		f.StringVar(&c.ca, "ca", "", "PEM file of the authority that signed the host's certificate")
		f.BoolVar(&c.json, "json", false, "print the answer as JSON")
	}
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return report(c.env.Stderr, c.run(ctx, c, f.Args()))
}

// call makes a call to the host that the flags name.
func (c *command) call(ctx context.Context, req call, out any) error {
	client, err := newClient(or(c.host, c.env.Getenv(EnvHost), defaultHost), c.secret(), c.ca)
	if err != nil {
		return err
	}
	return client.do(ctx, req, out)
}

// secret returns the team key or operator's token.
func (c *command) secret() string { return or(c.key, c.env.Getenv(EnvKey)) }

// or returns the first value that is not empty.
func or(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return ""
}

// print writes v as JSON if --json is given, and otherwise what text writes.
func (c *command) print(v any, text func(w io.Writer)) error {
	if !c.json {
		text(c.env.Stdout)
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return &UsageError{Detail: err.Error()}
	}
	_, err = fmt.Fprintf(c.env.Stdout, "%s\n", data)
	if err != nil {
		return &FileError{Path: "standard output", Cause: err}
	}
	return nil
}

// oneArg returns the only argument.
func oneArg(args []string, what string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", &UsageError{Detail: "give exactly one " + what + ", after the flags"}
	}
	return args[0], nil
}
