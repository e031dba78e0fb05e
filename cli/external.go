package cli

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sesamelift/sesamelift/bench"
	"github.com/sesamelift/sesamelift/bench/model"
	"github.com/sesamelift/sesamelift/bench/slope"
	sheetcli "github.com/sesamelift/sesamelift/sheet/cli"
	standincli "github.com/sesamelift/sesamelift/standin/cli"
)

// externalCommand is a command that another package implements, including the
// parsing of its arguments.
type externalCommand struct {
	name, short string
	run         func(args []string, out, errOut io.Writer) int
}

func externalCommands() []externalCommand {
	return []externalCommand{
		{"sheet", "check, plan, apply and revert sheets", sheetcli.Run},
		{"bench", "run a load scenario on loopback", bench.Run},
		{"model", "run a scenario on the scheduler in simulated time", model.Command},
		{"slope", "measure CPU time, memory and traffic of a running entry or agent", slope.Run},
		{"standin", "run a stand-in of the platform or of a backend server", standincli.Run},
	}
}

// command returns the command as it is listed in the help text. Run calls external
// commands directly, before it parses flags, because it does not know their flags.
func (c externalCommand) command(std *streams) *ffcli.Command {
	return &ffcli.Command{
		Name: c.name, ShortUsage: "sesamelift " + c.name + " ...", ShortHelp: c.short,
		LongHelp: "Run `sesamelift " + c.name + " -h` for its flags.",
		FlagSet:  flag.NewFlagSet(c.name, flag.ContinueOnError),
		Exec:     func(context.Context, []string) error { return exitError(c.run(nil, std.out, std.errOut)) },
	}
}
