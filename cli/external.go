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

// external is a command that another package implements. It parses its own
// arguments.
type external struct {
	name, short string
	run         func(args []string, out, errOut io.Writer) int
}

func externals() []external {
	return []external{
		{"sheet", "check, plan, apply and go back to sheets", sheetcli.Command},
		{"bench", "run a load scenario on loopback", bench.Command},
		{"slope", "measure a running entry or agent for the capacity page", slope.Command},
		{"standin", "run a stand-in of the platform or of a backend server", standincli.Command},
	}
}

// command lists an external in the help. Run calls externals before it parses
// flags, so that their flags are not taken for its own.
func (x external) command(e *env) *ffcli.Command {
	return &ffcli.Command{
		Name: x.name, ShortUsage: "sesamelift " + x.name + " ...", ShortHelp: x.short,
		LongHelp: "Run `sesamelift " + x.name + " -h` for its flags.",
		FlagSet:  flag.NewFlagSet(x.name, flag.ContinueOnError),
		Exec:     func(context.Context, []string) error { return exitError(x.run(nil, e.out, e.err)) },
	}
}
