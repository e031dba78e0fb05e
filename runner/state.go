package runner

import (
	"math"
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// phase is where a run is on its way.
type phase uint8

const (
	// starting runs have a start call under way.
	starting phase = iota
	// running runs were confirmed or listed by the worker.
	running
	// stopping runs have a stop call under way or are to end soon.
	stopping
)

type key struct {
	task    link.TaskID
	attempt uint32
}

type run struct {
	key
	phase phase
	need  link.Resources
	// sized is false for a run that was found on the worker after a restart of
	// the agent, until an entry says what it takes.
	sized    bool
	estimate time.Duration
	// peer is the connection of the entry; 0 when it is lost.
	peer     Peer
	entry    string
	orphanAt time.Duration
	sentAt   time.Duration
	// confirmedAt is when the worker confirmed or first listed the run; 0 before.
	confirmedAt time.Duration
	percent     uint8
	rate        rate
	progressAt  time.Duration
	// stopSentAt and stopAckAt are those of the last stop call.
	stopSentAt time.Duration
	stopAckAt  time.Duration
	// unanswered says that the start call had no answer.
	unanswered bool
	// answered says whether the entry was told of the start.
	answered bool
	// closed says that the entry was told that the run is over; the room stays
	// taken until the worker's list shows the same.
	closed bool
}

// rate measures the progress of one run.
type rate struct {
	percent uint8
	at      time.Duration
	perMS   float64
	known   bool
}

// observe takes a percentage and updates the rate over at least rateSpan.
func (r *rate) observe(now time.Duration, percent uint8) {
	if span := now - r.at; span >= rateSpan {
		r.perMS = float64(int(percent)-int(r.percent)) / (float64(span) / float64(time.Millisecond))
		r.percent, r.at, r.known = percent, now, true
	}
}

type peer struct {
	entry       string
	incarnation uint64
	heardAt     time.Duration
	sequence    uint64
	waiting     bool
	report      *link.Report
	// pushedAt, pushedFree and the others are what the entry knows.
	pushedAt        time.Duration
	pushedFree      link.Resources
	pushedAccepting bool
	pushedSpeed     float64
	pushedWorker    string
	due             bool
}

type pastEnd struct {
	end link.End
	at  time.Duration
}

// State is what an agent knows. Not safe for concurrent use.
type State struct {
	o       Options
	started time.Duration
	last    time.Duration
	peers   map[Peer]*peer
	runs    map[key]*run
	ends    map[key]pastEnd

	worker *Announcement
	// recalled is what the worker said of itself to an earlier life of the agent;
	// it is used once the worker shows that it is in the same life.
	recalled *Announcement
	draining bool
	// clockOffset is the worker's clock minus ours in milliseconds, known once
	// the worker has answered.
	clockOffset int64
	clockKnown  bool
	born        int64
	seen        uint64
	// leaseUntil is when, by our clock, the lease must have run out.
	leaseUntil time.Duration
	// answeredAt is when the worker last answered a renewal, heardAt when the last
	// one that it answered was made.
	answeredAt time.Duration
	heardAt    time.Duration
	reachable  bool
	// renewing counts the renewals under way, failures those that failed since the
	// last answer.
	renewing int
	failures int
	// unanswered says that the latest renewal had no answer, lossyUntil how long the
	// worker counts as leaving calls unanswered.
	unanswered bool
	lossyUntil time.Duration
	renewAt    time.Duration

	speed       *speedMeter
	failShare   float64
	failAt      time.Duration
	lastFailing string
	// lastStart is when the last start was accepted.
	lastStart time.Duration

	out Actions
}

// New returns the state of an agent that starts now.
func New(now time.Duration, o Options) *State {
	return &State{
		o: o, started: now, last: now, peers: map[Peer]*peer{}, runs: map[key]*run{}, ends: map[key]pastEnd{},
		speed: newSpeedMeter(),
	}
}

// Take returns the actions since the last call.
func (s *State) Take(now time.Duration) Actions {
	s.pushChanges(now)
	for id, p := range s.peers {
		if p.report == nil && !p.due {
			continue
		}
		s.out.Reports = append(s.out.Reports, Report{Peer: id, Report: s.complete(now, p)})
	}
	if s.renewing < s.maxRenewals(now) && now >= s.renewAt {
		s.renew(now)
	}
	out := s.out
	s.out = Actions{}
	return out
}

func (s *State) log(l decisions.Line) { s.out.Lines = append(s.out.Lines, l) }

// Runs returns the number of runs.
func (s *State) Runs() int { return len(s.runs) }

// Drain stops taking work; what runs goes on.
func (s *State) Drain(now time.Duration) {
	s.draining = true
	s.log(decisions.Info("draining", "runs", len(s.runs)))
}

// accepting says whether the worker takes work.
func (s *State) accepting() bool {
	return !s.draining && s.worker != nil && !s.worker.Draining && s.clockKnown && s.reachable && s.worker.Born == s.born
}

func (s *State) free() link.Resources {
	if s.worker == nil {
		return link.Resources{}
	}
	free := s.worker.Capacity
	for _, r := range s.runs {
		if !r.sized {
			return link.Resources{}
		}
		free = free.Sub(r.need)
	}
	return free
}

// room is what entries may use. A worker that fails most of what it runs gets
// one task at a time, and not often: each is likely to fail, and while it fails
// fast it always has room.
func (s *State) room(now time.Duration) link.Resources {
	if s.suspect(now) && (len(s.runs) > 0 || now-s.lastStart < probeInterval) {
		return link.Resources{}
	}
	return s.free()
}

// suspect says whether the worker fails most of what it runs.
func (s *State) suspect(now time.Duration) bool { return s.failureShare(now) > suspectShare }

func (s *State) failureShare(now time.Duration) float64 {
	return s.failShare * math.Exp(-float64(now-s.failAt)/float64(failureMemory))
}

// countEnd updates the share of failures. A job that fails everywhere counts
// once, so that it doesn't make its workers suspect.
func (s *State) countEnd(now time.Duration, job string, failed bool) {
	share := s.failureShare(now)
	if failed && job == s.lastFailing {
		return
	}
	value := 0.0
	if failed {
		value, s.lastFailing = 1, job
	}
	s.failShare, s.failAt = share+failureWeight*(value-share), now
}

// Announced takes an announcement of the worker. It reports whether it names the
// worker to use.
func (s *State) Announced(now time.Duration, a Announcement) bool {
	w := s.worker
	sameLife := w != nil && a.ID == w.ID && a.Born == w.Born
	switch {
	case s.born != 0 && a.Born < s.born, sameLife && a.Sequence < w.Sequence:
		s.log(decisions.Info("announcement is outdated", "life", a.ID, "sequence", a.Sequence, "born", a.Born, "known_born", s.born))
		return false
	case s.born != 0 && a.Born > s.born, w != nil && !sameLife:
		s.newLife(now, a.Born, "announced")
	}
	if s.worker == nil || s.worker.ID != a.ID || s.worker.Draining != a.Draining {
		s.out.Worker = &a
		s.log(decisions.Info("worker announced", "life", a.ID, "service", a.Service, "milli_cpu", a.Capacity.MilliCPU,
			"draining", a.Draining, "leaves_in_ms", a.Leaves.Milliseconds()))
	}
	s.worker = &a
	if !s.reachable {
		// It may be back, and is asked at once.
		s.renewAt = now
	}
	return true
}

// Recalled takes what the worker said of itself before the agent restarted.
func (s *State) Recalled(now time.Duration, a Announcement) {
	s.recalled = &a
	s.useRecalled()
}

func (s *State) useRecalled() {
	r := s.recalled
	if s.worker != nil || r == nil || !s.clockKnown || r.Born == 0 || r.Born != s.born {
		return
	}
	s.worker, s.recalled = r, nil
	s.log(decisions.Info("worker recalled", "life", r.ID, "born", r.Born, "milli_cpu", r.Capacity.MilliCPU, "draining", r.Draining))
}

// Left takes note that the worker has ended.
func (s *State) Left(now time.Duration, id string) {
	if s.worker != nil && s.worker.ID == id {
		s.log(decisions.Info("worker left", "life", id, "runs", len(s.runs)))
		s.worker = nil
		s.loseAll(now, link.Vanished)
	}
}

// newLife forgets what the worker's last life ran.
func (s *State) newLife(now time.Duration, born int64, how string) {
	s.log(decisions.Warn("worker has restarted", "how", how, "born", born, "runs_lost", len(s.runs)))
	s.loseAll(now, link.Vanished)
	s.born, s.seen, s.clockKnown, s.worker = born, 0, false, nil
	s.speed, s.failShare = newSpeedMeter(), 0
	s.renewAt = now
}

// loseAll ends every run.
func (s *State) loseAll(now time.Duration, how uint8) {
	for _, r := range s.runs {
		s.end(now, r, how)
	}
}

// end removes a run and tells its entry.
func (s *State) end(now time.Duration, r *run, how uint8) {
	delete(s.runs, r.key)
	if r.closed {
		return
	}
	e := link.End{Task: r.task, Attempt: r.attempt, How: how, RanMS: (now - r.sentAt).Milliseconds()}
	s.ends[r.key] = pastEnd{e, now}
	p := s.peers[r.peer]
	if p == nil {
		return
	}
	if !r.answered && r.confirmedAt == 0 && how != link.Done && how != link.Failed {
		s.answer(p, r.key, link.Closed)
		return
	}
	rep := s.reportTo(p)
	rep.Ends = append(rep.Ends, e)
}

func (s *State) reportTo(p *peer) *link.Report {
	if p.report == nil {
		p.report = &link.Report{}
	}
	return p.report
}

func (s *State) answer(p *peer, k key, result uint8) {
	rep := s.reportTo(p)
	rep.Answers = append(rep.Answers, link.StartAnswer{Task: k.task, Attempt: k.attempt, Result: result})
}

// complete fills in the state of the worker and resets what is to be sent.
func (s *State) complete(now time.Duration, p *peer) link.Report {
	rep := s.reportTo(p)
	rep.Sequence, rep.Accepting, rep.Free = p.sequence, s.accepting(), s.room(now)
	rep.Speed, rep.FailShare = float32(s.speed.speed()), float32(s.failureShare(now))
	if w := s.worker; w != nil && w.ID != p.pushedWorker {
		rep.Worker = &link.WorkerState{ID: w.ID, Service: w.Service, Zone: w.Zone, Capacity: w.Capacity, Labels: w.Labels}
		p.pushedWorker = w.ID
	}
	p.pushedAt, p.pushedFree, p.pushedAccepting, p.pushedSpeed = now, rep.Free, rep.Accepting, s.speed.speed()
	p.report, p.due = nil, false
	return *rep
}

// pushChanges marks the entries that need to hear of a change.
func (s *State) pushChanges(now time.Duration) {
	free, accepting, speed := s.room(now), s.accepting(), s.speed.speed()
	capacity := 1.0
	if s.worker != nil {
		capacity = float64(max(s.worker.Capacity.MilliCPU, 1))
	}
	unasked := max(pushInterval, time.Duration(len(s.peers))*pushSpacing)
	for _, p := range s.peers {
		worker := s.worker != nil && s.worker.ID != p.pushedWorker
		if worker || accepting != p.pushedAccepting {
			p.due = true
			continue
		}
		if now-p.pushedAt < pushInterval {
			continue
		}
		if p.waiting && free.MilliCPU > p.pushedFree.MilliCPU {
			p.due = true
		}
		if now-p.pushedAt < unasked {
			continue
		}
		change := math.Abs(float64(free.MilliCPU-p.pushedFree.MilliCPU)) / capacity
		if change >= pushShare || math.Abs(speed-p.pushedSpeed) > pushShare*p.pushedSpeed {
			p.due = true
		}
	}
}
