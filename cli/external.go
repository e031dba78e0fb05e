package cli

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sesamelift/sesamelift/bench"
	"github.com/sesamelift/sesamelift/bench/slope"
	sheetcli "github.com/sesamelift/sesamelift/sheet/cli"
	standincli "github.com/sesamelift/sesamelift/standin/cli"
)

// externalCommand is a command that another package implements and that parses
// its own arguments.
type externalCommand struct {
	name, short string
	run         func(args []string, out, errOut io.Writer) int
}

func externalCommands() []externalCommand {
	return []externalCommand{
		{"sheet", "check, plan, apply and revert sheets", sheetcli.Command},
		{"bench", "run a load scenario on loopback", bench.Command},
		{"slope", "measure a running entry or agent for the capacity page", slope.Command},
		{"standin", "run a stand-in of the platform or of a backend server", standincli.Command},
	}
}

// command returns the command for the help text. Run calls external commands
// before it parses flags, because it does not know their flags.
func (x externalCommand) command(e *streams) *ffcli.Command {
	return &ffcli.Command{
		Name: x.name, ShortUsage: "sesamelift " + x.name + " ...", ShortHelp: x.short,
		LongHelp: "Run `sesamelift " + x.name + " -h` for its flags.",
		FlagSet:  flag.NewFlagSet(x.name, flag.ContinueOnError),
		Exec:     func(context.Context, []string) error { return exitError(x.run(nil, e.out, e.err)) },
	}
}
