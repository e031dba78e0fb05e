// Package signals handles the signals that a process receives before its settings are in
// force. Package early, beside it, receives them.
//
// Input: signals. Output: what they request. State: none.
package signals

import (
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// ErrTerminated reports a signal to terminate.
var ErrTerminated = errors.New("termination signal received before the settings were in force")

// Await calls f and returns its result. It returns ErrTerminated as soon as a signal to
// terminate is received, since f may wait for a file system that hangs. reload says that
// SIGHUP was received meanwhile.
func Await[T any](received <-chan os.Signal, f func() (T, error)) (value T, reload bool, err error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		value, err := f()
		done <- result{value, err}
	}()
	for {
		select {
		case r := <-done:
			return r.value, reload, r.err
		case s := <-received:
			if s != syscall.SIGHUP {
				return value, reload, ErrTerminated
			}
			reload = true
		}
	}
}
