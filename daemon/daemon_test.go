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
// that does not stop the daemon, and an error of Serve that is not returned.
func TestSignals(t *testing.T) {
	sendSignal := func() { _ = syscall.Kill(os.Getpid(), syscall.SIGTERM) }
	err := supervise(func(drain, stop context.Context) error {
		sendSignal()
		<-drain.Done()
		return stop.Err()
	})
	qt.Assert(t, err, qt.IsNil)
	err = supervise(func(drain, stop context.Context) error {
		sendSignal()
		<-drain.Done()
		sendSignal()
		<-stop.Done()
		return ErrStopped
	})
	qt.Assert(t, err, qt.Equals, ErrStopped)
	failed := errors.New("failed")
	qt.Assert(t, supervise(func(context.Context, context.Context) error { return failed }), qt.Equals, failed)
}
