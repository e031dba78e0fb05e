package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"

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
