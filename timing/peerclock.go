package timing

import "time"

// PeerClock translates times to the clock of another process, of which it knows what that
// process says in its messages. The result is never later than the true one: it is behind
// by the time that the latest message was under way.
type PeerClock struct {
	offset time.Duration
}

// Observe records that a message, which the peer sent when its clock showed sent, has been
// received at the time received.
func (c *PeerClock) Observe(received, sent time.Duration) { c.offset = sent - received }

// At returns the peer's clock at the time t.
func (c *PeerClock) At(t time.Duration) time.Duration { return t + c.offset }
