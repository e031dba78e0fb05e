package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/daemon"
	"github.com/sesamelift/sesamelift/transport"
)

// Guards against a wrong exit code for valid or invalid arguments and settings,
// and against ignoring flags that are set by environment variables.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	qt.Assert(t, transport.WriteDevCertificates(dir), qt.IsNil)
	good, bad := filepath.Join(dir, "good.json"), filepath.Join(dir, "bad.json")
	tls := `"tls": {"certificate": "` + dir + `/entry.pem", "key": "` + dir + `/entry-key.pem", "ca": "` + dir + `/ca.pem"}`
	qt.Assert(t, os.WriteFile(good, []byte(`{
		"name": "e1", "zone": "taqah-shed", "caller_address": "127.0.0.1:7400", "peer_address": "127.0.0.1:7401",
		"platform_address": "127.0.0.1:7402", "operator_token": "0123456789abcdef", "team_tokens": {"kiln": "abcdef0123456789"}, `+tls+`}`), 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(bad, []byte(`{"name": "E 1"}`), 0o600), qt.IsNil)
	for _, r := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"-version"}, daemon.ExitOK, "sesamelift-entry "},
		{[]string{"-h"}, daemon.ExitOK, "-settings"},
		{[]string{"-settings", good, "-check"}, daemon.ExitOK, "settings are valid"},
		{[]string{"-settings", bad, "-check"}, daemon.ExitUsage, "is not a name"},
		{[]string{"-settings", filepath.Join(dir, "none")}, daemon.ExitUsage, "read settings"},
		{nil, daemon.ExitUsage, "-settings FILE is required"},
		{[]string{"-unknown"}, daemon.ExitUsage, "not defined"},
		{[]string{"extra"}, daemon.ExitUsage, "unexpected argument"},
	} {
		var out bytes.Buffer
		qt.Check(t, newDaemon().Run(r.args, &out, &out), qt.Equals, r.code, qt.Commentf("%v", r.args))
		qt.Check(t, out.String(), qt.Contains, r.out)
	}
	t.Setenv("SESAMELIFT_ENTRY_SETTINGS", good)
	var out bytes.Buffer
	qt.Assert(t, newDaemon().Run([]string{"-check"}, &out, &out), qt.Equals, daemon.ExitOK, qt.Commentf("%s", out.String()))
}
