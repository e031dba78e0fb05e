// Package cli implements the command `sesamelift sheet` and its subcommands.
//
// Input: arguments. Output: text or JSON and an exit code. State: none.
package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/sheet"
	"github.com/sesamelift/sesamelift/table"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2 // usage, or faults in the sheet
	ExitConflict = 3
)

const (
	// defaultTimeout allows for the 5 s within which a configuration must be in
	// effect at every entry, and for a slow platform.
	defaultTimeout = 15 * time.Second
	// defaultMaxVersions is the number of versions that `history` lists.
	defaultMaxVersions = 20
)

// Run runs `sesamelift sheet` with the arguments after "sheet" and returns
// the exit code.
func Run(args []string, out, errOut io.Writer) int {
	c := &command{out: out, errOut: errOut}
	root := &ffcli.Command{
		Name: "sheet", ShortUsage: "sesamelift sheet <subcommand> [flags] [arguments]",
		LongHelp: "Checks the planners' sheet and makes it the configuration of the deployment.\n\n" +
			"Exit codes: 0 done, 1 failed, 2 wrong usage or faults in the sheet, 3 conflict with a change of another operator.",
		FlagSet:     c.flags("sheet"),
		Subcommands: c.subcommands(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			return usageError{fmt.Sprintf("%q is not a subcommand; run `sesamelift sheet -h` for a list", args[0])}
		},
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		// The flag package has already printed the error, but above the usage
		// text, where it is easily missed.
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	err := root.Run(context.Background())
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	return c.report(err)
}

type command struct {
	out, errOut io.Writer

	json        bool
	platform    string
	timeout     time.Duration
	operator    string
	base        uint64
	maxVersions int
}

// usageError reports invalid arguments.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

func (c *command) subcommands() []*ffcli.Command {
	type spec struct {
		name, arguments, short, long, example string
		maxArgs                               int // also the minimum, except for show
		flags                                 func(*flag.FlagSet)
		run                                   func(ctx context.Context, args []string) error
	}
	specs := []spec{
		{"check", "FILE", "reports all faults of a sheet", "Nothing is sent to the platform.",
			"sesamelift sheet check morning.csv", 1, nil, c.check},
		{"plan", "FILE", "shows what a sheet would change", "Lines marked ! can turn requests away that are accepted now. Nothing is changed.",
			"sesamelift sheet plan -platform 10.0.0.5:7300 morning.csv", 1, c.platformFlags, c.plan},
		{"apply", "FILE", "makes a sheet the configuration", "Waits until every entry has the version in effect. Applying the same sheet again changes nothing.",
			"sesamelift sheet apply -platform 10.0.0.5:7300 morning.csv", 1, c.applyFlags, c.apply},
		{"history", "", "lists the versions, newest first", "",
			"sesamelift sheet history -platform 10.0.0.5:7300 -n 5", 0, c.historyFlags, c.history},
		{"show", "[VERSION]", "prints a version as a sheet", "Without a version, prints the one in effect.",
			"sesamelift sheet show -platform 10.0.0.5:7300 41 > version-41.csv", 1, c.platformFlags, c.show},
		{"revert", "VERSION", "makes an older version the newest", "The history keeps all versions; nothing is removed from it.",
			"sesamelift sheet revert -platform 10.0.0.5:7300 41", 1, c.applyFlags, c.revert},
	}
	commands := make([]*ffcli.Command, len(specs))
	for i, s := range specs {
		fs := c.flags("sheet " + s.name)
		fs.BoolVar(&c.json, "json", false, "print the result as JSON")
		if s.flags != nil {
			s.flags(fs)
		}
		usage := "sesamelift sheet " + s.name + " [flags] " + s.arguments
		run, required := s.run, s.maxArgs
		if s.name == "show" {
			required = 0
		}
		commands[i] = &ffcli.Command{
			Name: s.name, ShortUsage: usage, ShortHelp: s.short, FlagSet: fs,
			LongHelp: "This command " + s.short + ". " + s.long + "\n\nEXAMPLE\n  " + s.example,
			Options:  []ff.Option{ff.WithEnvVarPrefix("SESAMELIFT")},
			Exec: func(ctx context.Context, args []string) error {
				args, err := parseInterspersed(fs, args)
				if err != nil {
					return usageError{err.Error()}
				}
				if len(args) < required || len(args) > s.maxArgs {
					return usageError{"usage: " + usage}
				}
				if c.timeout > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, c.timeout)
					defer cancel()
				}
				return run(ctx, args)
			},
		}
	}
	return commands
}

// parseInterspersed also parses the flags that follow an argument, where the flag
// package stops parsing, and returns the arguments.
func parseInterspersed(fs *flag.FlagSet, args []string) ([]string, error) {
	var rest []string
	for len(args) > 0 {
		rest = append(rest, args[0])
		if err := fs.Parse(args[1:]); err != nil {
			return nil, err
		}
		args = fs.Args()
	}
	return rest, nil
}

func (c *command) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(c.errOut)
	return fs
}

func (c *command) platformFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.platform, "platform", "", "IP address and port of the platform; also SESAMELIFT_PLATFORM")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "maximum duration of the command")
}

func (c *command) historyFlags(fs *flag.FlagSet) {
	c.platformFlags(fs)
	fs.IntVar(&c.maxVersions, "n", defaultMaxVersions, "maximum number of versions to list, 0 for all")
}

// DefaultOperator returns the name that is recorded with a change if the operator
// gives none: the one of the user who runs the command, empty if unknown.
func DefaultOperator() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

func (c *command) applyFlags(fs *flag.FlagSet) {
	c.platformFlags(fs)
	fs.StringVar(&c.operator, "operator", DefaultOperator(), "name recorded in the history and shown to other operators")
	fs.Uint64Var(&c.base, "base", 0, "version that the plan was made for; a conflict if another one is in effect; 0 for the one in effect at the start")
}

func (c *command) platformClient() (table.Platform, error) {
	if c.platform == "" {
		return nil, usageError{"flag -platform is required: the IP address and port of the platform"}
	}
	if _, err := netip.ParseAddrPort(c.platform); err != nil {
		return nil, usageError{fmt.Sprintf("flag -platform: %q is not an IP address and port", c.platform)}
	}
	return platform.NewStore(c.platform), nil
}

func operationID() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), errors.Wrap(err, "generate operation id")
}

// errorOutput is the JSON form of an error.
type errorOutput struct {
	Error  string       `json:"error"`
	Faults sheet.Faults `json:"faults,omitempty"`
}

// report prints an error and returns its exit code.
func (c *command) report(err error) int {
	if err == nil {
		return ExitOK
	}
	code, output := ExitFailed, errorOutput{Error: err.Error()}
	var usage usageError
	var conflict *sheet.ConflictError
	var unknown *table.UnknownOutcomeError
	var invalid config.Faults
	switch {
	case errors.As(err, &output.Faults):
		code, output.Error = ExitUsage, fmt.Sprintf("the sheet has %s; nothing was changed", sheet.FormatCount(len(output.Faults), "fault"))
	case errors.As(err, &usage), errors.As(err, &invalid):
		code = ExitUsage
	case errors.As(err, &conflict):
		code = ExitConflict
		output.Error += "; run `sesamelift sheet plan` again to see what your sheet would change now"
	case errors.As(err, &unknown):
		output.Error = "the platform became unreachable before it confirmed the change, which may have taken effect; apply the same sheet again, which is safe (" + err.Error() + ")"
	case errors.Is(err, table.ErrUnavailable):
		output.Error = "the platform at " + c.platform + " does not answer; the version in effect stays in effect, try again later (" + err.Error() + ")"
	}
	var notYet notYetInEffectError
	if c.json && errors.As(err, &notYet) {
		return code // the result on standard output lists the missing entries
	}
	if c.json {
		_ = c.printJSON(output)
		return code
	}
	if len(output.Faults) > 0 {
		fmt.Fprintln(c.errOut, output.Faults)
	}
	fmt.Fprintln(c.errOut, output.Error)
	return code
}

func (c *command) printJSON(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write result")
}
