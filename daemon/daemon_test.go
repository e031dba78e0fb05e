package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against a first signal that does not drain, a second one that does not
// stop, and a failure that is lost.
func TestSignals(t *testing.T) {
	interrupt := func() { _ = syscall.Kill(os.Getpid(), syscall.SIGTERM) }
	err := supervise(func(drain, stop context.Context) error {
		interrupt()
		<-drain.Done()
		return stop.Err()
	})
	qt.Assert(t, err, qt.IsNil)
	err = supervise(func(drain, stop context.Context) error {
		interrupt()
		<-drain.Done()
		interrupt()
		<-stop.Done()
		return ErrStopped
	})
	qt.Assert(t, err, qt.Equals, ErrStopped)
	failed := errors.New("failed")
	qt.Assert(t, supervise(func(context.Context, context.Context) error { return failed }), qt.Equals, failed)
}
