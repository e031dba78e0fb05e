package timing

import "time"

const (
	// fastRedialPeriod is how long after the loss of a connection, or the first attempt, an
	// agent is dialed at short intervals.
	fastRedialPeriod = 2 * time.Second
	// fastDialTimeout is the time to open a connection in that period. A host that is
	// starting loses the first packet, which is repeated after a second only; another
	// attempt finds it sooner. An entry on a small host needs part of the time itself when
	// it dials hundreds of agents at once.
	fastDialTimeout = 250 * time.Millisecond
	dialTimeout     = time.Second
	// fastRedialPause is short, since an agent stops the runs of a lost connection unless
	// the entry reconnects within Timings.ReconnectGrace.
	fastRedialPause = 50 * time.Millisecond
	redialPause     = 700 * time.Millisecond
)

// Redial says how an entry dials an agent that it has been trying to reach for some time:
// the timeout of the next attempt, and the pause before it if the last one failed.
func Redial(tryingFor time.Duration) (timeout, pause time.Duration) {
	if tryingFor > fastRedialPeriod {
		return dialTimeout, redialPause
	}
	return fastDialTimeout, fastRedialPause
}
