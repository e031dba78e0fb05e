package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/transport"
)

func certsCommand(e *env) *ffcli.Command {
	fs := flag.NewFlagSet("certs", flag.ContinueOnError)
	dir := fs.String("dir", "run/certs", "directory to write to")
	return newCommand("certs", "certs [-dir DIR]", "create certificates for demos and tests",
		"Writes a CA and one certificate for each role. They end after 30 days; a real deployment uses\nits own CA.\n\nExample:\n  sesamelift certs -dir run/certs",
		fs, func(context.Context, []string) error {
			if err := transport.WriteDevCertificates(*dir); err != nil {
				return err
			}
			fmt.Fprintf(e.out, "certificates written to %s\n", *dir)
			return nil
		})
}

func settingsCommand(e *env) *ffcli.Command {
	fs := flag.NewFlagSet("settings", flag.ContinueOnError)
	return newCommand("settings", "settings check entry|agent FILE...", "check settings files",
		"Reports every fault of each file with its line.\n\nExample:\n  sesamelift settings check entry examples/cleft/entry-1.json",
		fs, func(_ context.Context, args []string) error {
			if len(args) < 3 || args[0] != "check" || args[1] != "entry" && args[1] != "agent" {
				return usageError{errors.New("settings takes: check entry|agent FILE...")}
			}
			return checkSettings(e, args[1], args[2:])
		})
}

func checkSettings(e *env, kind string, files []string) error {
	failed := false
	for _, file := range files {
		var err error
		if kind == "entry" {
			err = settings.Read(file, &settings.Entry{})
		} else {
			err = settings.Read(file, &settings.Agent{})
		}
		if err != nil {
			fmt.Fprintln(e.err, err)
			failed = true
			continue
		}
		fmt.Fprintf(e.out, "%s: ok\n", file)
	}
	if failed {
		return exitError(ExitUsage)
	}
	return nil
}
