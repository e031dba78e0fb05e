package timing

import "time"

const (
	// IdlePingInterval is how often an entry pings an agent at which it has no tasks.
	IdlePingInterval = time.Second
	// InactivePingInterval is how often an entry pings an agent whose worker it does not
	// use at present. It is contacted before it is used again.
	InactivePingInterval = 10 * time.Second
)

// Liveness is an entry's view of the connection to an agent: when to ping the agent, and
// when to consider it lost.
type Liveness struct {
	// LastSent and LastReceived are when a message was last sent and received.
	LastSent, LastReceived time.Duration
	// interval is the ping interval at the last check.
	interval time.Duration
}

// Check says whether to ping the agent and whether it is lost. It is to be called at
// short intervals; hasTasks says whether the entry has tasks in progress at the agent, and
// active whether it may start some there.
func (l *Liveness) Check(now time.Duration, hasTasks, active bool, t Timings) (ping, lost bool) {
	interval := InactivePingInterval
	switch {
	case hasTasks:
		interval = t.PingInterval
	case active:
		interval = IdlePingInterval
	}
	if interval < l.interval {
		// Messages came at the longer interval until now. That gap must not count as
		// silence.
		l.LastReceived = max(l.LastReceived, now-interval)
	}
	l.interval = interval
	silenceTimeout := t.SilenceTimeout
	if !hasTasks {
		silenceTimeout += interval
	}
	return now-l.LastSent >= interval, now-l.LastReceived > silenceTimeout
}
