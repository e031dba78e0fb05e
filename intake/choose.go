package intake

import "time"

// phase is what a connection is doing.
type phase uint8

const (
	// receiving connections have an unfinished request, or have sent nothing yet.
	receiving phase = iota
	// idle connections wait for the next request after an answered one.
	idle
	// serving connections have sent a whole request and wait for the answer.
	serving
)

// connState is what the choice of a connection to close depends on.
type connState struct {
	phase phase
	// held are the bytes charged for the unfinished request.
	held int64
	// acceptedAt is when the connection was accepted, lastRead when it last sent something,
	// and beganAt when the first bytes of an unfinished request or message arrived.
	acceptedAt, lastRead, beganAt time.Duration
	// renewed says that bytes which have not been read yet have made the connection young.
	renewed bool
	// young says that the connection has been silent, or open, for less than minSilence:
	// what it has sent may not have been read yet.
	young bool
}

// preferable reports whether a connection in state a is closed rather than one in state b.
type preferable func(now time.Duration, a, b connState) bool

// silentLonger makes room for a new connection. The connections without a whole request
// go first, those silent longest before others. Connections that wait between two requests
// go only after them, and young ones of any phase last.
func silentLonger(_ time.Duration, a, b connState) bool {
	if a.young != b.young {
		return b.young
	}
	if a.phase != b.phase {
		return a.phase < b.phase
	}
	return a.lastRead < b.lastRead
}

// olderGreeting makes room for a new connection at the address for entries.
func olderGreeting(_ time.Duration, a, b connState) bool { return a.acceptedAt < b.acceptedAt }

// heldMoreForLonger frees bytes of unfinished requests: the connection that has held the
// most bytes for the longest time without sending goes first. One byte and one microsecond
// are added, so that the sizes decide among connections that have just sent something.
func heldMoreForLonger(now time.Duration, a, b connState) bool {
	weight := func(s connState) float64 {
		return float64(s.held+1) * float64(now-s.lastRead+time.Microsecond)
	}
	return weight(a) > weight(b)
}

// stale reports whether the peer of a connection at the address for entries has stopped in
// the middle of a message, or sends none. Each message counts anew, so that a peer does not
// keep its place by sending a message in small pieces.
func (s connState) stale(now, messageTimeout, entrySilence time.Duration) bool {
	if s.phase == receiving {
		return now-s.beganAt > messageTimeout
	}
	return now-s.lastRead > entrySilence
}

// choose returns the index of the connection to close among n, or -1 if none is eligible.
// state returns the state of a connection and whether it is eligible.
func choose(now time.Duration, n int, state func(i int) (connState, bool), before preferable) int {
	best := -1
	var bestState connState
	for i := range n {
		s, eligible := state(i)
		if eligible && (best < 0 || before(now, s, bestState)) {
			best, bestState = i, s
		}
	}
	return best
}
