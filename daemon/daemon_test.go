package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against a first signal that does not start the drain, a second signal
// that does not stop the daemon, a SIGHUP that does either, and an error of Serve that is not returned.
func TestSignals(t *testing.T) {
	received := make(chan os.Signal, 1)
	sendSignal := func() { received <- syscall.SIGTERM }
	reloads := 0
	ignoreReload := func() { reloads++ }
	err := supervise(received, ignoreReload, func(drain, stop context.Context) error {
		sendSignal()
		<-drain.Done()
		return stop.Err()
	})
	qt.Assert(t, err, qt.IsNil)
	err = supervise(received, ignoreReload, func(drain, stop context.Context) error {
		received <- syscall.SIGHUP
		sendSignal()
		<-drain.Done()
		sendSignal()
		<-stop.Done()
		return ErrStopped
	})
	qt.Assert(t, err, qt.Equals, ErrStopped)
	qt.Assert(t, reloads, qt.Equals, 1)
	failed := errors.New("failed")
	qt.Assert(t, supervise(received, ignoreReload, func(context.Context, context.Context) error { return failed }), qt.Equals, failed)
}

// blockedWriter blocks in each write until it is closed.
type blockedWriter chan struct{}

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b
	return len(p), nil
}

// Guards against a daemon that stands still, or does not end, because what collects its log has
// stopped reading.
func TestBlockedLogDoesNotHoldUpTheDaemon(t *testing.T) {
	out := make(blockedWriter)
	defer close(out)
	logged, ended := make(chan struct{}), make(chan error, 1)
	d := &Daemon{Name: "test", MetricsPrefix: "test", Serve: func(_, _ context.Context, deps Dependencies) error {
		for range 10_000 {
			deps.Log.Warn("connections closed to make room for new ones")
		}
		close(logged)
		return nil
	}}
	go func() { ended <- d.serve(CommonSettings{PlatformAddress: "127.0.0.1:1"}, nil, false, out) }()
	select {
	case <-logged:
	case <-time.After(10 * time.Second):
		t.Fatal("the log blocks the daemon")
	}
	select {
	case err := <-ended:
		qt.Assert(t, err, qt.IsNil)
	case <-time.After(10 * time.Second):
		t.Fatal("the log blocks the end of the daemon")
	}
}
