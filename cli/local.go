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

func certsCommand(std *streams) *ffcli.Command {
	fs := flag.NewFlagSet("certs", flag.ContinueOnError)
	dir := fs.String("dir", "run/certs", "directory to write to")
	asJSON := fs.Bool("json", false, "print JSON")
	return newCommand("certs", "certs [-dir DIR]", "create certificates for demos and tests",
		"Writes a CA and one certificate for each role. They expire after 30 days; a real deployment\nuses its own CA.\n\nExample:\n  sesamelift certs -dir run/certs",
		fs, func(context.Context, []string) error {
			if err := transport.WriteDevCertificates(*dir); err != nil {
				return err
			}
			return std.printValue("directory", *dir, "certificates written to "+*dir, *asJSON)
		})
}

func settingsCommand(std *streams) *ffcli.Command {
	fs := flag.NewFlagSet("settings", flag.ContinueOnError)
	asJSON := fs.Bool("json", false, "print JSON")
	return newCommand("settings", "settings [-json] check entry|agent FILE...", "check settings files",
		"Reports all faults of each file with their line numbers.\n\nExample:\n  sesamelift settings check entry examples/cleft/entry-1.json",
		fs, func(_ context.Context, args []string) error {
			if len(args) < 3 || args[0] != "check" || args[1] != "entry" && args[1] != "agent" {
				return usageError{errors.New("settings takes: check entry|agent FILE...")}
			}
			return checkSettings(std, args[1], args[2:], *asJSON)
		})
}

// checkedFile is the result of checking one settings file.
type checkedFile struct {
	File   string           `json:"file"`
	OK     bool             `json:"ok"`
	Faults []settings.Fault `json:"faults,omitempty"`
}

func checkSettings(std *streams, kind string, files []string, asJSON bool) error {
	var checked []checkedFile
	failed := false
	for _, file := range files {
		c := checkFile(kind, file)
		failed = failed || !c.OK
		checked = append(checked, c)
	}
	if asJSON {
		if err := std.printJSON(checked); err != nil {
			return err
		}
	} else {
		printChecked(std, checked)
	}
	if failed {
		return exitError(ExitUsage)
	}
	return nil
}

func checkFile(kind, file string) checkedFile {
	var err error
	if kind == "entry" {
		err = settings.Read(file, &settings.Entry{})
	} else {
		err = settings.Read(file, &settings.Agent{})
	}
	var faults settings.FaultsError
	if err != nil && !errors.As(err, &faults) {
		faults = settings.FaultsError{{File: file, Message: err.Error()}}
	}
	return checkedFile{File: file, OK: err == nil, Faults: faults}
}

func printChecked(std *streams, checked []checkedFile) {
	for _, c := range checked {
		if c.OK {
			fmt.Fprintf(std.out, "%s: ok\n", c.File)
		}
		for _, f := range c.Faults {
			fmt.Fprintln(std.errOut, f.Error())
		}
	}
}
