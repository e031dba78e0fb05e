package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/config/watch"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/standin"
	"github.com/sesamelift/sesamelift/table"
)

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(args, &o, &e)
	return code, o.String(), e.String()
}

// Guards against exit codes, messages and JSON that differ from the operators'
// guide, over the sequence of commands of a typical session.
func TestOperatorSession(t *testing.T) {
	c := qt.New(t)
	standIn, err := standin.NewPlatform(standin.PlatformOptions{Address: "127.0.0.1:0"})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- standIn.Run(ctx) }()
	defer func() { cancel(); c.Check(<-done, qt.IsNil) }()
	const sheet = "../../examples/cleft/sheet.csv"
	content, err := os.ReadFile(sheet)
	c.Assert(err, qt.IsNil)
	writeVariant := func(name, old, new string) string {
		file := filepath.Join(t.TempDir(), name)
		c.Assert(strings.Contains(string(content), old), qt.IsTrue)
		c.Assert(os.WriteFile(file, []byte(strings.Replace(string(content), old, new, 1)), 0o600), qt.IsNil)
		return file
	}
	brokenFile := writeVariant("broken.csv", "cleft-04,cleft-assessor", "cleft-04,cleft-assesor")
	lowerQuotaFile := writeVariant("lower.csv", "kiln,680", "kiln,400")
	shownFile := filepath.Join(t.TempDir(), "shown.csv")
	withPlatform := func(args ...string) []string {
		return append([]string{args[0], "-platform", standIn.Addr(), "-timeout", "2s"}, args[1:]...)
	}
	setRow := func(key string, v any) {
		value, err := json.Marshal(v)
		c.Assert(err, qt.IsNil)
		row, _ := standIn.Get(ctx, key)
		_, err = standIn.CompareAndSet(ctx, key, row.Version, value)
		c.Assert(err, qt.IsNil)
	}
	for _, step := range []struct {
		name   string
		before func()
		args   []string
		code   int
		out    string
		errOut string
	}{
		{"no subcommand", nil, nil, ExitUsage, ``, `(?s).*SUBCOMMANDS.*apply.*`},
		{"unknown subcommand", nil, []string{"aply"}, ExitUsage, ``, `"aply" is not a subcommand.*\n`},
		{"help", nil, []string{"apply", "-h"}, ExitOK, ``, `(?s).*EXAMPLE\n  sesamelift sheet apply -platform 10.0.0.5:7300 morning.csv.*-operator.*`},
		{"unknown flag", nil, []string{"plan", "-x", sheet}, ExitUsage, ``, `(?s).*flag provided but not defined: -x\n`},
		{"no platform", nil, []string{"plan", sheet}, ExitUsage, ``, `flag -platform is required.*\n`},
		{"host name", nil, []string{"plan", "-platform", "localhost:1", sheet}, ExitUsage, ``, `flag -platform: "localhost:1" is not an IP address and port\n`},
		{"no file", nil, []string{"check"}, ExitUsage, ``, `usage: sesamelift sheet check \[flags\] FILE\n`},
		{"missing file", nil, []string{"check", "none.csv"}, ExitFailed, ``, `read the sheet: open none.csv: no such file.*\n`},
		{"check", nil, []string{"check", sheet}, ExitOK, `the sheet is valid: services 1, request types 3, teams 3, workers 11\n`, ``},
		{"faults", nil, []string{"check", brokenFile}, ExitUsage, ``,
			`broken.csv: row 11, column services: "cleft-assesor" is not .*; did you mean "cleft-assessor"\?\nthe sheet has 1 fault; nothing was changed\n`},
		{"faults as JSON, flag last", nil, []string{"check", brokenFile, "-json"}, ExitUsage, `(?s)\{\n  "error": .*"row": 11,.*"nearest": "cleft-assessor".*`, ``},
		{"no history", nil, withPlatform("history"), ExitOK, `no configuration has been applied yet\n`, ``},
		{"nothing to show", nil, withPlatform("show"), ExitFailed, ``, `.*no such version\n`},
		{"first plan", nil, withPlatform("plan", sheet), ExitOK, `(?s)no configuration is in effect yet\n.*17 changes\n`, ``},
		{"first apply", nil, withPlatform("apply", "-operator", "amina", sheet), ExitOK, `(?s)version 1 is accepted\n.*no entry is running.*`, ``},
		{"same sheet", nil, withPlatform("apply", sheet), ExitOK, `(?s)version 1 has this content already; nothing was changed\n.*`, ``},
		{"plan", nil, withPlatform("plan", lowerQuotaFile), ExitOK, `(?s)compared with version 1.*! lowered  team kiln: quota 680 -> 400\n1 change, 1 marked !.*`, ``},
		{"outage", func() { standIn.SetFaults(standin.PlatformFaults{Unavailable: true}) }, withPlatform("apply", lowerQuotaFile), ExitFailed, ``, `the platform at .* does not answer; .*\n`},
		{"lost reply", func() { standIn.SetFaults(standin.PlatformFaults{LoseReplies: 1}) }, withPlatform("apply", "-operator", "amina", lowerQuotaFile), ExitOK, `(?s)version 2 is accepted\n.*`, ``},
		{"conflict", nil, withPlatform("apply", "-base", "1", sheet), ExitConflict, ``, `version 2 was applied by amina at .* made for version 1; nothing was written; run .*\n`},
		{"conflict as JSON", nil, withPlatform("apply", "-json", "-base", "1", sheet), ExitConflict, `(?s)\{\n  "error": "version 2 was applied.*`, ``},
		{"entry without report", func() {
			setRow(table.RowRoster, ownership.Roster{Version: 1, Members: []ownership.Member{{Name: "entry-1", Incarnation: 7}, {Name: "entry-2", Incarnation: 8}}})
			setRow(table.PrefixReports+"entry-1", watch.Report{Name: "entry-1", Incarnation: 7, Version: 3})
			setRow(table.PrefixReports+"entry-2", watch.Report{Name: "entry-2", Incarnation: 8, Version: 2})
		}, withPlatform("revert", "1"), ExitFailed, `(?s)version 3 is accepted\n.*in effect at: entry-1\nnot yet in effect at: entry-2, which has version 2\n`,
			`version 3 is accepted, but not yet reported within 2s by 1 of 2 entries: .*\n`},
		{"in effect", func() {
			setRow(table.PrefixReports+"entry-2", watch.Report{Name: "entry-2", Incarnation: 8, Version: 3})
		}, withPlatform("apply", "-json", sheet), ExitOK, `(?s).*"unchanged": true,.*"done": \[\n    "entry-1",\n    "entry-2"\n  \],\n  "missing": \[\].*`, ``},
		{"history", nil, withPlatform("history", "-n", "2"), ExitOK, `(?s)VERSION .*\n3  .*restores version 1\n2  .*amina *\n`, ``},
		{"wrong version", nil, withPlatform("show", "two"), ExitUsage, ``, `"two" is not a version; .*\n`},
		{"show", nil, withPlatform("show", "2"), ExitOK, `(?s)kind,service,.*team,,,,,kiln,400,2,,,\n.*`, ``},
	} {
		t.Run(step.name, func(t *testing.T) {
			standIn.SetFaults(standin.PlatformFaults{})
			if step.before != nil {
				step.before()
			}
			code, out, errOut := run(step.args...)
			qt.Check(t, code, qt.Equals, step.code)
			qt.Check(t, out, qt.Matches, step.out)
			qt.Check(t, errOut, qt.Matches, step.errOut)
		})
	}
	_, out, _ := run(withPlatform("show", "2")...)
	c.Assert(os.WriteFile(shownFile, []byte(out), 0o600), qt.IsNil)
	code, out, errOut := run(withPlatform("plan", shownFile)...)
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", errOut))
	c.Assert(out, qt.Contains, "! lowered  team kiln: quota 680 -> 400\n1 change")
}
