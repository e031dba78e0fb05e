package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/transport"
)

// Guards against exit codes that scripts cannot rely on.
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
		{[]string{"-version"}, exitOK, "sesamelift-entry "},
		{[]string{"-h"}, exitOK, "-settings"},
		{[]string{"-settings", good, "-check"}, exitOK, "settings are valid"},
		{[]string{"-settings", bad, "-check"}, exitUsage, "is not a name"},
		{[]string{"-settings", filepath.Join(dir, "none")}, exitUsage, "read settings"},
		{nil, exitUsage, "-settings FILE is required"},
		{[]string{"-unknown"}, exitUsage, "not defined"},
		{[]string{"extra"}, exitUsage, "unexpected argument"},
	} {
		var out bytes.Buffer
		qt.Check(t, command(r.args, &out, &out), qt.Equals, r.code, qt.Commentf("%v", r.args))
		qt.Check(t, out.String(), qt.Contains, r.out)
	}
	t.Setenv("SESAMELIFT_ENTRY_SETTINGS", good)
	var out bytes.Buffer
	qt.Assert(t, command([]string{"-check"}, &out, &out), qt.Equals, exitOK, qt.Commentf("%s", out.String()))
}

// Guards against a first signal that does not drain and a second one that does
// not stop.
func TestSignals(t *testing.T) {
	interrupt := func() { _ = syscall.Kill(os.Getpid(), syscall.SIGTERM) }
	err := supervise(func(ctx context.Context) error { interrupt(); <-ctx.Done(); return nil })
	qt.Assert(t, err, qt.IsNil)
	err = supervise(func(ctx context.Context) error {
		interrupt()
		<-ctx.Done()
		interrupt()
		select {}
	})
	qt.Assert(t, err, qt.Equals, errStopped)
	failed := errors.New("failed")
	qt.Assert(t, supervise(func(context.Context) error { return failed }), qt.Equals, failed)
}
