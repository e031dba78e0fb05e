package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/sheet"
	"github.com/sesamelift/sesamelift/table"
)

func readSheet(file string) (*config.Config, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the sheet")
	}
	c, faults := sheet.Parse(filepath.Base(file), content)
	if len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

func (c *command) check(_ context.Context, args []string) error {
	cfg, err := readSheet(args[0])
	if err != nil {
		return err
	}
	types := 0
	for _, s := range cfg.Services {
		types += len(s.Types)
	}
	if c.json {
		return c.printJSON(map[string]int{"services": len(cfg.Services), "types": types, "teams": len(cfg.Teams), "workers": len(cfg.Workers)})
	}
	_, err = fmt.Fprintf(c.out, "the sheet is valid: services %d, request types %d, teams %d, workers %d\n",
		len(cfg.Services), types, len(cfg.Teams), len(cfg.Workers))
	return err
}

func (c *command) plan(ctx context.Context, args []string) error {
	p, err := c.platformClient()
	if err != nil {
		return err
	}
	next, err := readSheet(args[0])
	if err != nil {
		return err
	}
	current, err := sheet.Current(ctx, p)
	if err != nil {
		return err
	}
	version := uint64(0)
	if current != nil {
		version = current.Version
		// As when the sheet is applied: it doesn't change the evacuations.
		next.EvacuatedZones = current.EvacuatedZones
	}
	d := sheet.Plan(current, next)
	warnings, err := sheet.CheckWorkers(ctx, p, next)
	if err != nil {
		return err
	}
	d.Warnings = append(d.Warnings, warnings...)
	if c.json {
		return c.printJSON(struct {
			Base uint64 `json:"base"`
			sheet.Difference
		}{version, d})
	}
	if version == 0 {
		_, err = fmt.Fprintf(c.out, "no configuration is in effect yet\n%s", d)
		return err
	}
	_, err = fmt.Fprintf(c.out, "compared with version %d, which is in effect:\n%s", version, d)
	return err
}

func (c *command) apply(ctx context.Context, args []string) error {
	p, err := c.platformClient()
	if err != nil {
		return err
	}
	next, err := readSheet(args[0])
	if err != nil {
		return err
	}
	op, err := operationID()
	if err != nil {
		return err
	}
	next.Operator, next.Version = c.operator, c.base
	result, err := sheet.Apply(ctx, p, next, op)
	if err != nil {
		return err
	}
	// The change has been made, so a failed read of the agents is not reported as
	// a failure of the command.
	if warnings, err := sheet.CheckWorkers(ctx, p, next); err == nil {
		result.Difference.Warnings = append(result.Difference.Warnings, warnings...)
	}
	return c.waitAndPrint(ctx, p, result)
}

func (c *command) revert(ctx context.Context, args []string) error {
	p, err := c.platformClient()
	if err != nil {
		return err
	}
	version, err := parseVersion(args)
	if err != nil {
		return err
	}
	op, err := operationID()
	if err != nil {
		return err
	}
	result, err := sheet.Revert(ctx, p, version, c.base, c.operator, op)
	if err != nil {
		return err
	}
	return c.waitAndPrint(ctx, p, result)
}

// waitAndPrint waits until the version is in effect at every entry and prints the
// result.
func (c *command) waitAndPrint(ctx context.Context, p table.Table, r *sheet.Result) error {
	progress, waitErr := sheet.Wait(ctx, p, r.Version)
	if c.json {
		if err := c.printJSON(struct {
			*sheet.Result
			sheet.Progress
		}{r, progress}); err != nil {
			return err
		}
	} else if err := c.printResult(r, progress, waitErr); err != nil {
		return err
	}
	switch {
	case waitErr != nil:
		return errors.Wrapf(notYetInEffectError{}, "version %d is accepted, but the platform stopped answering before the entries could be checked", r.Version)
	case len(progress.Missing) > 0:
		return errors.Wrapf(notYetInEffectError{}, "version %d is accepted, but not yet reported within %v by %d of %s",
			r.Version, c.timeout, len(progress.Missing), formatEntryCount(len(progress.Missing)+len(progress.Done)))
	}
	return nil
}

// notYetInEffectError reports that a version was accepted but is not known to be
// in effect at every entry. It does not wrap the error of the wait, because report
// would then describe the change as failed.
type notYetInEffectError struct{}

func (notYetInEffectError) Error() string {
	return "it takes effect there as soon as they read it; run the command again to check"
}

func (c *command) printResult(r *sheet.Result, progress sheet.Progress, waitErr error) error {
	var b strings.Builder
	if r.Unchanged {
		fmt.Fprintf(&b, "version %d has this content already; nothing was changed\n", r.Version)
		for _, w := range r.Difference.Warnings {
			fmt.Fprintf(&b, "warning: %s\n", w)
		}
	} else {
		fmt.Fprintf(&b, "version %d is accepted\n%s", r.Version, r.Difference)
	}
	if r.HistoryError != "" {
		fmt.Fprintf(&b, "warning: the history row is not written yet, the next change adds it (%s)\n", r.HistoryError)
	}
	if waitErr == nil && len(progress.Done)+len(progress.Missing) == 0 {
		b.WriteString("no entry is running; the version takes effect when one starts\n")
	}
	if len(progress.Done) > 0 {
		fmt.Fprintf(&b, "in effect at: %s\n", strings.Join(progress.Done, ", "))
	}
	for _, m := range progress.Missing {
		reported := "has reported no version since it started"
		if m.Version > 0 {
			reported = fmt.Sprintf("has version %d", m.Version)
		}
		fmt.Fprintf(&b, "not yet in effect at: %s, which %s\n", m.Name, reported)
	}
	_, err := fmt.Fprint(c.out, b.String())
	return err
}

func (c *command) history(ctx context.Context, _ []string) error {
	p, err := c.platformClient()
	if err != nil {
		return err
	}
	versions, err := sheet.History(ctx, p)
	if err != nil {
		return err
	}
	if c.maxVersions > 0 && len(versions) > c.maxVersions {
		versions = versions[:c.maxVersions]
	}
	if c.json {
		return c.printJSON(versions)
	}
	if len(versions) == 0 {
		_, err = fmt.Fprintln(c.out, "no configuration has been applied yet")
		return err
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tAPPLIED\tOPERATOR\tNOTE")
	for _, info := range versions {
		var notes []string
		if info.Restores > 0 {
			notes = append(notes, fmt.Sprintf("restores version %d", info.Restores))
		}
		if len(info.EvacuatedZones) > 0 {
			notes = append(notes, "evacuated: "+strings.Join(info.EvacuatedZones, " "))
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", info.Version, info.At.Local().Format(time.DateTime), info.Operator, strings.Join(notes, ", "))
	}
	return w.Flush()
}

func (c *command) show(ctx context.Context, args []string) error {
	p, err := c.platformClient()
	if err != nil {
		return err
	}
	version, err := parseVersion(args)
	if err != nil {
		return err
	}
	cfg, err := sheet.GetVersion(ctx, p, version)
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(cfg)
	}
	_, err = c.out.Write(sheet.Format(cfg))
	return err
}

// parseVersion parses the argument VERSION. It returns 0 when there is none.
func parseVersion(args []string) (uint64, error) {
	if len(args) == 0 {
		return 0, nil
	}
	version, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil || version == 0 {
		return 0, usageError{fmt.Sprintf("%q is not a version; `sesamelift sheet history` lists them", args[0])}
	}
	return version, nil
}

func formatEntryCount(n int) string {
	if n == 1 {
		return "1 entry"
	}
	return fmt.Sprintf("%d entries", n)
}
