package cli

import (
	"bytes"
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a stand-in that accepts invalid flags or does not stop when its
// context is done.
func TestCommand(t *testing.T) {
	for _, tc := range []struct {
		name   string
		args   []string
		code   int
		out    string
		errOut string
	}{
		{"no subcommand", nil, ExitUsage, ``, `(?s).*SUBCOMMANDS.*platform.*backend.*`},
		{"help", []string{"backend", "-h"}, ExitOK, ``, `(?s).*EXAMPLE\n  sesamelift standin backend -name.*-straggler-share.*`},
		{"unknown flag", []string{"platform", "-port", "1"}, ExitUsage, ``, `(?s).*not defined: -port\n`},
		{"host name as address", []string{"platform", "-address", "localhost:7300"}, ExitFailed, ``, `address "localhost:7300" is not an IP address and port.*\n`},
		{"required flags missing", []string{"backend"}, ExitUsage, ``, `flags -name and -services are required\n`},
		{"platform", []string{"platform", "-address", "127.0.0.1:0"}, ExitOK, `platform stand-in serves on 127.0.0.1:[0-9]+\n`, ``},
		{"backend", []string{"backend", "-name", "cleft-01", "-services", "cleft-assessor"}, ExitOK,
			`backend server stand-in cleft-01 serves on .*\n.* ran 0 tasks, 0 of them more than once\n`, ``},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			var out, errOut bytes.Buffer
			qt.Check(t, run(ctx, tc.args, &out, &errOut), qt.Equals, tc.code)
			qt.Check(t, out.String(), qt.Matches, tc.out)
			qt.Check(t, errOut.String(), qt.Matches, tc.errOut)
		})
	}
}
