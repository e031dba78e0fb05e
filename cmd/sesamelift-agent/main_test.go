package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/transport"
)

func writeSettings(t *testing.T, announceAddress string) string {
	dir := t.TempDir()
	qt.Assert(t, transport.WriteDevCertificates(dir), qt.IsNil)
	f := transport.DevFiles(dir, transport.RoleAgent)
	file := filepath.Join(dir, "agent.json")
	text := fmt.Sprintf(`{"name": "w1", "zone": "z1", "announce_address": %q, "platform_address": "127.0.0.1:9",
		"tls": {"certificate": %q, "key": %q, "ca": %q}, "logging": {}, "tracing": {}}`, announceAddress, f.Certificate, f.Key, f.CA)
	qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	return file
}

// Guards against an exit code that makes a process supervisor restart an agent
// with invalid settings, or not restart an agent that failed.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	qt.Assert(t, os.WriteFile(bad, []byte(`{"name": "W 1"}`), 0o600), qt.IsNil)
	valid := writeSettings(t, "127.0.0.1:7401")
	for _, tc := range []struct {
		name string
		args []string
		code int
		out  string
	}{
		{"version", []string{"-version"}, 0, "sesamelift-agent "},
		{"check", []string{"-check", "-settings", valid}, 0, "settings are valid"},
		{"no settings", nil, 2, "-settings FILE is required"},
		{"unknown flag", []string{"-x"}, 2, "not defined"},
		{"argument", []string{"-settings", valid, "x"}, 2, `unexpected argument "x"`},
		{"missing file", []string{"-settings", bad + "x"}, 2, "no such file"},
		{"all faults", []string{"-check", "-settings", bad}, 2, "announce_address: field is missing"},
		{"address of another host", []string{"-settings", writeSettings(t, "192.0.2.1:7401")}, 1, "listen for the backend server"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			qt.Assert(t, newDaemon().Run(tc.args, &out, &out), qt.Equals, tc.code, qt.Commentf("%s", &out))
			qt.Assert(t, out.String(), qt.Contains, tc.out)
		})
	}
}

// Guards against an agent that ignores signals while the platform is unavailable,
// and against ignoring flags that are set by environment variables.
func TestSignalStopsAgentWithoutPlatform(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := l.Addr().String()
	_ = l.Close()
	t.Setenv("SESAMELIFT_AGENT_SETTINGS", writeSettings(t, address))
	var out bytes.Buffer
	exited := make(chan int, 1)
	go func() { exited <- newDaemon().Run(nil, &out, &out) }()
	for len(exited) == 0 {
		// Signal handling is set up before the agent serves HTTP.
		if res, err := http.Get("http://" + address + "/healthz"); err == nil {
			_ = res.Body.Close()
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	qt.Assert(t, len(exited), qt.Equals, 0, qt.Commentf("the agent exited before the signal"))
	qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGTERM), qt.IsNil)
	select {
	case code := <-exited:
		qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", &out))
	case <-time.After(5 * time.Second):
		t.Fatal("the agent did not exit within 5 s of SIGTERM")
	}
}
