package dispatch

import (
	"time"

	"github.com/sesamelift/sesamelift/link"
)

// knownSpeed is the speed of a worker that its agent has measured and reported last.
type knownSpeed struct {
	workerID string
	born     int64
	speed    float32
	at       time.Duration
	// incarnation is that of the agent's process that measured it.
	incarnation uint64
}

// noteSpeed remembers the speed in a report, unless the agent only assumes it: passed on, an
// assumption would hide what other entries know from the time before.
func (w *worker) noteSpeed(now time.Duration, r *link.Report) {
	if r.LongTermSpeed > 0 {
		w.known = knownSpeed{w.state.ID, w.state.Born, r.LongTermSpeed, now, w.incarnation}
	}
}

// passOnSpeed tells an agent that has connected the speed of its worker, if another process of
// the agent has measured it. The agent knows whether it still has that worker.
func (s *Scheduler) passOnSpeed(now time.Duration, w *worker) {
	k := &link.KnownSpeed{WorkerID: w.known.workerID, Born: w.known.born, Speed: w.known.speed, AgeMS: (now - w.known.at).Milliseconds()}
	if w.known.incarnation != w.incarnation && k.Valid() {
		s.command(w).KnownSpeed = k
	}
}
