package site

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// HeldListener is a listener whose socket stays open when the server that uses it is closed, as
// that of a supervisor which hands it to the next process. New connections wait for that
// process. A server must have returned from Serve before the next one uses the listener.
type HeldListener struct{ *net.TCPListener }

// Hold listens at an address until Release is called.
func Hold(addr string) (*HeldListener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &HeldListener{l.(*net.TCPListener)}, nil
}

// Close ends Accept until Reopen is called.
func (l *HeldListener) Close() error { return l.SetDeadline(time.Unix(1, 0)) }

// Reopen lets the listener accept connections again.
func (l *HeldListener) Reopen() error { return l.SetDeadline(time.Time{}) }

// Release closes the socket.
func (l *HeldListener) Release() error { return l.TCPListener.Close() }
