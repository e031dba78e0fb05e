package link

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerGone reports whether the peer of a connection has closed or reset it, or whether it
// is closed at this end. Reading doesn't tell this at once: what had arrived before the end
// can still be read, however late, and the peer may have turned to another process by then.
func PeerGone(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		for {
			_, err := unix.Poll(fds, 0)
			if err == unix.EINTR {
				continue
			}
			gone = err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
			return
		}
	})
	return err != nil || gone
}

// PeerGone reports whether the peer has closed or reset the connection, or whether it is
// closed at this end.
func (c *Conn) PeerGone() bool {
	conn, ok := c.conn.(syscall.Conn)
	return ok && PeerGone(conn)
}
