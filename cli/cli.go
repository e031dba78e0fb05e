package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/client"
	"github.com/sesamelift/sesamelift/version"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	// ExitNotRun means that a job failed and none of its tasks ran.
	ExitNotRun = 4
	// ExitMayHaveRun means that a job failed and some of its tasks may have run.
	ExitMayHaveRun = 5
)

// envPrefix is the prefix of environment variables that set flags:
// SESAMELIFT_ENTRIES sets -entries.
const envPrefix = "SESAMELIFT"

// streams holds the input and output streams of a command.
type streams struct {
	in          io.Reader
	out, errOut io.Writer
	// terminal is set when errOut is a terminal, on which progress can be shown.
	terminal bool
}

// exitError carries the exit code of a command that has already printed its
// result or error message.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// usageError reports invalid arguments.
type usageError struct{ error }

// Run runs the command given by args, without the program name, and returns the
// exit code. terminal tells whether errOut is a terminal.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer, terminal bool) int {
	std := &streams{in: in, out: out, errOut: errOut, terminal: terminal}
	root := newRoot(std)
	if len(args) > 0 && args[0] == "help" {
		return help(std, root, args[1:])
	}
	for _, external := range externalCommands() {
		if len(args) > 0 && args[0] == external.name {
			// External commands take no context, so signals get their default
			// action unless the command handles them itself.
			signal.Reset(os.Interrupt, syscall.SIGTERM)
			return external.run(args[1:], out, errOut)
		}
	}
	if err := root.Parse(args); err != nil {
		return std.exitCode(usageError{err})
	}
	return std.exitCode(root.Run(ctx))
}

func (std *streams) exitCode(err error) int {
	var code exitError
	var usage usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &code):
		return int(code)
	case errors.As(err, &usage), errors.As(err, &ffcli.NoExecError{}):
		fmt.Fprintf(std.errOut, "sesamelift: %v\nRun `sesamelift help` for the commands.\n", err)
		return ExitUsage
	}
	fmt.Fprintf(std.errOut, "sesamelift: %v\n", err)
	return ExitFailed
}

func newRoot(std *streams) *ffcli.Command {
	root := &ffcli.Command{
		Name:       "sesamelift",
		ShortUsage: "sesamelift <command> [flags] [arguments]",
		LongHelp: "Submits jobs and operates a sesamelift deployment.\n" +
			"Flags can be set by environment variables: SESAMELIFT_ENTRIES sets -entries.\n\n" +
			"Exit codes: 0 ok, 1 error, 2 usage or invalid input, 3 conflict with another operator,\n" +
			"4 job failed and no task ran, 5 job failed and some tasks may have run.",
		FlagSet: flag.NewFlagSet("sesamelift", flag.ContinueOnError),
		Exec:    func(context.Context, []string) error { return usageError{errors.New("missing command")} },
	}
	root.Subcommands = []*ffcli.Command{
		submitCommand(std), keyCommand(std), jobCommand(std, "status"), jobCommand(std, "cancel"), workersCommand(std),
		drainCommand(std), evacuateCommand(std), explainCommand(std), demoCommand(std), certsCommand(std), settingsCommand(std), versionCommand(std),
	}
	for _, external := range externalCommands() {
		root.Subcommands = append(root.Subcommands, external.command(std))
	}
	for _, c := range root.Subcommands {
		c.FlagSet.SetOutput(std.errOut)
	}
	root.FlagSet.SetOutput(std.errOut)
	return root
}

func help(std *streams, root *ffcli.Command, args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(std.out, ffcli.DefaultUsageFunc(root))
		return ExitOK
	}
	for _, c := range root.Subcommands {
		if c.Name == args[0] {
			fmt.Fprintln(std.out, ffcli.DefaultUsageFunc(c))
			return ExitOK
		}
	}
	fmt.Fprintf(std.errOut, "sesamelift: unknown command %q\n", args[0])
	return ExitUsage
}

// newCommand returns a command whose flags can also be set by environment
// variables. exec runs it with the arguments that follow the flags.
func newCommand(name, usage, short, long string, fs *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "sesamelift " + usage, ShortHelp: short, LongHelp: long,
		FlagSet: fs, Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)}, Exec: exec,
	}
}

// entryFlags holds the flags of commands that send requests to entries.
type entryFlags struct {
	entries string
	token   string
}

func (f *entryFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.entries, "entries", "127.0.0.1:7400", "addresses of entries, separated by commas")
	fs.StringVar(&f.token, "token", "", "token of the team or of the operator")
}

func (f *entryFlags) client() *client.Client {
	return client.New(strings.Split(f.entries, ","), f.token)
}

func (std *streams) printJSON(v any) error {
	enc := json.NewEncoder(std.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (std *streams) readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(std.in)
	}
	b, err := os.ReadFile(file)
	return b, errors.Wrap(err, "read input")
}

func versionCommand(std *streams) *ffcli.Command {
	fs := flag.NewFlagSet("version", flag.ContinueOnError)
	asJSON := fs.Bool("json", false, "print JSON")
	return newCommand("version", "version [-json]", "print the version", "Example:\n  sesamelift version", fs,
		func(context.Context, []string) error {
			return std.printValue("version", version.String(), "sesamelift "+version.String(), *asJSON)
		})
}

// printValue prints one value, as text or as a JSON object with one field.
func (std *streams) printValue(field, value, text string, asJSON bool) error {
	if asJSON {
		return std.printJSON(map[string]string{field: value})
	}
	_, err := fmt.Fprintln(std.out, text)
	return err
}
