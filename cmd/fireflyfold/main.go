// Command fireflyfold runs the entry host daemon, and is the command-line tool
// for its callers and operators.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/fireflyfold/fireflyfold/cli"
	"github.com/fireflyfold/fireflyfold/demo"
	"github.com/fireflyfold/fireflyfold/host"
	"github.com/fireflyfold/fireflyfold/load"
	"github.com/fireflyfold/fireflyfold/losses"
	"github.com/fireflyfold/fireflyfold/measure"
	"github.com/fireflyfold/fireflyfold/serve"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "fireflyfold")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&host.Command{}, "daemons")
	commander.Register(&serve.Command{}, "daemons")
	commander.Register(&demo.Command{}, "daemons")
	cli.Register(commander)
	commander.Register(&load.Command{}, "measuring")
	commander.Register(&measure.Command{}, "measuring")
	commander.Register(&losses.Command{}, "operators")
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
