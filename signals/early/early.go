// Package early receives the signals of a process from its first milliseconds on. Only
// main packages import it.
//
// The runtime ends a process at a SIGHUP or SIGTERM that arrives before signal.Notify has
// been called. The initialization of all other packages takes tens of milliseconds on a host
// with a tenth of a core, so Notify is called before it: packages are initialized in the
// order of their import paths, each as soon as its imports are. For this reason the package
// imports nothing but os, os/signal and syscall.
//
// Input: signals. Output: a channel. State: the signals that have not been received from it.
package early

import (
	"os"
	"os/signal"
	"syscall"
)

// queueSize is enough for the signals of an operator and a supervisor until the process has
// read its settings. Repeated ones beyond that add nothing.
const queueSize = 8

var received = make(chan os.Signal, queueSize)

func init() { signal.Notify(received, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt) }

// Received returns the channel of the signals to terminate (SIGINT, SIGTERM) and to reload
// (SIGHUP). There is one channel for the process.
func Received() <-chan os.Signal { return received }
