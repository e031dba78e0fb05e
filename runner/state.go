package runner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/interference"
	"github.com/sesamelift/sesamelift/link"
)

// phase is the phase in the life cycle of a run.
type phase uint8

const (
	// starting runs have had a start call sent and are not confirmed yet.
	starting phase = iota
	// running runs were confirmed or listed by the worker.
	running
	// stopping runs have had a stop call sent.
	stopping
)

type runKey struct {
	task    link.TaskID
	attempt uint32
}

// run is a run that the worker has, or may have because a start call was issued.
type run struct {
	runKey
	phase phase
	need  link.Resources
	// needKnown is false for a run that a restarted agent found on the worker,
	// until an entry claims it and states its resource need.
	needKnown bool
	estimate  time.Duration
	// kind is that of link.Start; empty until the run is claimed if it was found on the
	// worker. before is set if this process has started the run.
	kind   string
	before neighborsAtStart
	// dueAt is when the run must be done for its job to be on time.
	dueAt time.Duration
	// conn is the connection of the run's entry. It is 0 while there is none, which
	// is the case since orphanedAt.
	conn       ConnID
	entry      string
	orphanedAt time.Duration
	// startSentAt is when the start call was sent, or when a run that was found on
	// the worker was first listed.
	startSentAt time.Duration
	// confirmedAt is when the worker confirmed or first listed the run; 0 before.
	confirmedAt time.Duration
	// missingSince is when the first list was requested that lacks the run, although the
	// worker has confirmed it; 0 while it is listed.
	missingSince time.Duration
	percent      uint8
	// progressAt is when percent last increased.
	progressAt         time.Duration
	rate               progressRate
	progressReportedAt time.Duration
	// leaseLimit is the time beyond which the lease must not be extended because of the
	// run, see State.leaseEnd.
	leaseLimit time.Duration
	// stopSentAt and stopAckedAt refer to the latest stop call.
	stopSentAt  time.Duration
	stopAckedAt time.Duration
	// startDoneAt is when the start call was answered or given up, or when a run that was
	// found on the worker was first listed. It is 0 while the call is being made: the run
	// may begin at any moment then, also on a worker that has restarted since.
	startDoneAt time.Duration
	// startUnanswered is true if an attempt at the start call had no answer.
	startUnanswered bool
	// workerBorn identifies the worker instance that listed the run last, or for which its
	// start call was issued.
	workerBorn int64
	// startReported is true once the entry was told that the run has started.
	startReported bool
	// endReported is true once the run counts as not running. Its entry was then
	// told so, if it was connected. The capacity of the run stays allocated until the
	// next list of the worker.
	endReported bool
}

// progressRate measures the progress of one run.
type progressRate struct {
	percent uint8
	at      time.Duration
	// perMS is in percent per millisecond, valid if known.
	perMS float64
	known bool
}

// observe updates the rate if at least minRateInterval has passed since the last
// update; otherwise percent is ignored.
func (r *progressRate) observe(now time.Duration, percent uint8) {
	if elapsed := now - r.at; elapsed >= minRateInterval {
		r.perMS = float64(int(percent)-int(r.percent)) / (float64(elapsed) / float64(time.Millisecond))
		r.percent, r.at, r.known = percent, now, true
	}
}

// entryConn is the connection of an entry.
type entryConn struct {
	id          ConnID
	entry       string
	incarnation uint64
	lastHeardAt time.Duration
	// asOf is the latest link.Commands.AsOfMS: the entry had the connection at that time.
	asOf time.Duration
	// sequence, waiting and inactive are from the latest Commands.
	sequence uint64
	waiting  bool
	inactive bool
	// claims are those that came before the first list of the worker.
	claims []link.Claim
	// pending collects the content of the next report; nil if there is none.
	pending *link.Report
	// The reported fields hold what the last report to the entry said.
	reportedAt        time.Duration
	reportedFree      link.Resources
	reportedAccepting bool
	reportedSpeed     float64
	reportedRevision  uint64
	// pairsRevision and pairsAt are of the last report of pairs, see reportPairs.
	pairsRevision    uint64
	pairsAt          time.Duration
	reportedLeavesAt time.Duration
	// countKinds is the latest link.Commands.CountKinds.
	countKinds []string
	// reportDue requests a report even if pending is nil.
	reportDue bool
}

// recentEnd is an end that is kept for endRetention, for entries that reconnect.
type recentEnd struct {
	end link.End
	at  time.Duration
}

// unansweredStart is a start call of which an attempt had no answer.
type unansweredStart struct {
	call StartCall
	at   time.Duration
}

// State is the state of an agent. It is not safe for concurrent use.
type State struct {
	opts        Options
	startedAt   time.Duration
	lastEventAt time.Duration
	conns       map[ConnID]*entryConn
	// connsByID holds the connections in the order of their IDs.
	connsByID  []*entryConn
	runs       map[runKey]*run
	recentEnds map[runKey]recentEnd
	// unansweredStarts holds the start calls that may still be carried out by an instance
	// that the worker restarts as: it knows nothing of their end, and its clock starts anew.
	unansweredStarts map[runKey]unansweredStart
	// nextExpiry is when recentEnds and unansweredStarts are next searched for outdated ones.
	nextExpiry time.Duration

	worker *Announcement
	// restored is the announcement that was stored before the agent restarted. It
	// is used once the worker turns out to be the same instance.
	restored *Announcement
	draining bool
	// leavesAt is until when a draining worker stays at least; 0 when unknown.
	leavesAt time.Duration
	// clockOffset is the worker's clock minus the agent's in milliseconds, valid
	// if clockKnown.
	clockOffset int64
	clockKnown  bool
	// workerBorn is the Born of the current worker instance; 0 when unknown. bornKnownAt is
	// when it became known.
	workerBorn  int64
	bornKnownAt time.Duration
	// workerRevision is as in link.WorkerState; 0 before the first announcement.
	workerRevision uint64
	// listed is true once the worker has listed its runs.
	listed bool
	// unreadableRows is RenewReply.Unreadable of the last reply.
	unreadableRows string
	// lastEndNumber is the highest ListedEnd.Number that was processed.
	lastEndNumber uint64
	// leaseExpiresAt is the time, by the agent's clock, by which the lease must
	// have expired and the worker must have stopped its runs.
	leaseExpiresAt time.Duration
	// lastAnswerAt is when a renewal was last answered, lastAnsweredSentAt the
	// latest send time of an answered renewal.
	lastAnswerAt       time.Duration
	lastAnsweredSentAt time.Duration
	// reachable is false until the worker answers a renewal, and again when it
	// stops answering.
	reachable bool
	// instanceInDoubt is true while the worker may have restarted without the agent's
	// knowledge: since doubtSince, until a renewal that was sent later is answered.
	instanceInDoubt bool
	doubtSince      time.Duration
	// renewalsInFlight counts the renewals whose outcome is pending, renewFailures
	// those that failed since the last answer.
	renewalsInFlight int
	renewFailures    int
	// lastRenewFailed is true if a renewal failed since the last answer, not
	// counting those sent before the answered one. The worker counts as lossy
	// until lossyUntil.
	lastRenewFailed bool
	lossyUntil      time.Duration
	nextRenewAt     time.Duration

	speed *speedMeter
	// knownSpeeds holds the most recent known speed of each worker instance that entries name.
	knownSpeeds []knownSpeed
	// learner estimates which kinds of tasks slow each other down, from the runs beside
	// which neighbors were measured.
	learner           *interference.Learner
	neighbors         neighbors
	lastFailureRate   float64
	lastFailureRateAt time.Duration
	lastFailedJob     string
	// lastStartAt is when the last start was accepted.
	lastStartAt time.Duration

	evacuation evacuation

	actions Actions
}

// New returns the state of an agent that starts at now.
func New(now time.Duration, o Options) *State {
	s := &State{
		opts: o, startedAt: now, lastEventAt: now, conns: map[ConnID]*entryConn{}, runs: map[runKey]*run{}, recentEnds: map[runKey]recentEnd{}, unansweredStarts: map[runKey]unansweredStart{},
		speed: newSpeedMeter(), learner: interference.NewLearner(), neighbors: neighbors{at: now},
	}
	// A previous process of the agent may just have extended the lease.
	s.extendLease(now, now+o.Lease)
	return s
}

// TakeActions returns the actions that have become due since the last call.
func (s *State) TakeActions(now time.Duration) Actions {
	s.updateNeighbors(now)
	s.markReportsDue(now)
	for _, conn := range s.connsByID {
		if conn.pending == nil && !conn.reportDue {
			continue
		}
		s.actions.Reports = append(s.actions.Reports, Report{Conn: conn.id, Report: s.finishReport(now, conn)})
	}
	if s.renewalsInFlight < s.maxRenewals(now) && now >= s.nextRenewAt {
		s.renew(now)
	}
	out := s.actions
	s.actions = Actions{}
	return out
}

// sortedRuns returns the runs, sorted by task and attempt, so that actions don't depend
// on the order of a map.
func (s *State) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(s.runs), func(a, b *run) int { return a.compare(b.runKey) })
}

// compare orders runs by task and attempt.
func (k runKey) compare(o runKey) int {
	return cmp.Or(strings.Compare(k.task.Job, o.task.Job), cmp.Compare(k.task.Step, o.task.Step),
		cmp.Compare(k.task.Index, o.task.Index), cmp.Compare(k.attempt, o.attempt))
}

func (s *State) log(l decisions.Line) { s.actions.LogLines = append(s.actions.LogLines, l) }

// WorkerBorn identifies the worker instance that was heard of last; it is 0 before the
// first answer.
func (s *State) WorkerBorn() int64 { return s.workerBorn }

// StartableBorn is WorkerBorn while start calls may be made to that instance, and 0 while the
// worker may have restarted unnoticed: a start call names an instance by its ID only, and one
// that has restarted under its ID may have other labels.
func (s *State) StartableBorn() int64 {
	if !s.reachable || s.instanceInDoubt {
		return 0
	}
	return s.workerBorn
}

// Runs returns the number of runs that hold capacity.
func (s *State) Runs() int { return len(s.runs) }

// Drain stops accepting work; current runs continue.
func (s *State) Drain(now time.Duration) {
	s.draining = true
	s.log(decisions.Info("draining", "runs", len(s.runs)))
}

// accepting reports whether the worker accepts starts.
func (s *State) accepting() bool {
	return !s.draining && s.worker != nil && !s.worker.Draining && s.clockKnown && s.reachable && !s.instanceInDoubt && s.worker.Born == s.workerBorn
}

func (s *State) freeCapacity() link.Resources {
	if s.worker == nil {
		return link.Resources{}
	}
	free := s.worker.Capacity
	for _, r := range s.runs {
		if !r.needKnown {
			return link.Resources{}
		}
		free = free.Sub(r.need)
	}
	return free
}

// offeredCapacity returns the capacity that entries may use. A suspect worker
// gets one task at a time, at a limited rate: each is likely to fail, and
// because it fails fast the worker would always have free capacity.
func (s *State) offeredCapacity(now time.Duration) link.Resources {
	if s.suspect(now) && (len(s.runs) > 0 || now-s.lastStartAt < probeInterval) {
		return link.Resources{}
	}
	return s.freeCapacity()
}

// suspect reports whether the worker fails most of its runs.
func (s *State) suspect(now time.Duration) bool { return s.failureRate(now) > suspectThreshold }

func (s *State) failureRate(now time.Duration) float64 {
	return s.lastFailureRate * math.Exp(-float64(now-s.lastFailureRateAt)/float64(failureDecayTime))
}

// recordOutcome updates the failure rate. A failure counts only if the previous
// one was of another job, so that a job that fails everywhere doesn't make its
// workers suspect.
func (s *State) recordOutcome(now time.Duration, job string, failed bool) {
	rate := s.failureRate(now)
	if failed && job == s.lastFailedJob {
		return
	}
	value := 0.0
	if failed {
		value, s.lastFailedJob = 1, job
	}
	s.lastFailureRate, s.lastFailureRateAt = rate+failureWeight*(value-rate), now
}

// WorkerAnnounced handles an announcement of the worker. An announcement of another
// instance than the known one has no effect until WorkerIdentified: anybody can write
// an announcement, and only the worker itself can tell which instance it is.
func (s *State) WorkerAnnounced(now time.Duration, a Announcement) AnnouncementResult {
	w := s.worker
	sameInstance := w != nil && a.ID == w.ID && a.Born == w.Born
	switch {
	case s.workerBorn != 0 && a.Born < s.workerBorn, sameInstance && a.Sequence < w.Sequence:
		s.log(decisions.Info("ignored an outdated announcement", "life", a.ID, "sequence", a.Sequence, "born", a.Born, "known_born", s.workerBorn))
		return AnnouncementIgnored
	case !sameInstance:
		return AnnouncementUnidentified
	case a.Zone == "" && w.Zone != "":
		// Put into effect, it would end the evacuation of the worker's zone.
		s.log(decisions.Warn("ignored an announcement of another writer: it lacks the zone of the worker", "life", a.ID, "zone", w.Zone))
		return AnnouncementIgnored
	}
	s.setWorker(now, a)
	return AnnouncementAccepted
}

// WorkerIdentified handles the worker's answer to the question whether it is the instance
// that an announcement names, and if so, when it started. It returns false if the
// announcement is ignored.
func (s *State) WorkerIdentified(now time.Duration, a Announcement, isInstance bool, born int64) bool {
	if !isInstance || born != a.Born || born < s.workerBorn {
		s.log(decisions.Warn("ignored an announcement of another writer: the worker is not the instance that it names",
			"life", a.ID, "service", a.Service, "born", a.Born, "worker_born", born, "known_born", s.workerBorn))
		return false
	}
	if s.workerBorn != 0 && born > s.workerBorn || s.worker != nil && s.worker.ID != a.ID {
		s.workerRestarted(now, born, "announced")
	}
	s.setWorker(now, a)
	return true
}

// setWorker puts an announcement into effect.
func (s *State) setWorker(now time.Duration, a Announcement) {
	changed := s.worker == nil || !s.worker.sameKind(&a)
	if changed {
		s.workerRevision++
	}
	if changed || s.worker.Draining != a.Draining {
		s.actions.Worker = &a
		s.log(decisions.Info("worker announced", "life", a.ID, "service", a.Service, "milli_cpu", a.Capacity.MilliCPU,
			"draining", a.Draining, "leaves_in_ms", a.Leaves.Milliseconds()))
	}
	s.worker = &a
	s.setZone(a.Zone)
	s.useKnownSpeed(now)
	s.noteLeaves(now, &a)
	if !s.reachable {
		// The worker may be reachable again; check at once.
		s.nextRenewAt = now
	}
}

// RestoreWorker sets the announcement that was stored before the agent
// restarted. It takes effect once an answered renewal shows that the worker is
// still the same instance.
func (s *State) RestoreWorker(now time.Duration, a Announcement) {
	s.restored = &a
	s.useRestored(now)
}

func (s *State) useRestored(now time.Duration) {
	r := s.restored
	if s.worker != nil || r == nil || !s.clockKnown || r.Born == 0 || r.Born != s.workerBorn {
		return
	}
	s.worker, s.restored = r, nil
	s.setZone(r.Zone)
	s.useKnownSpeed(now)
	s.workerRevision++
	s.log(decisions.Info("stored worker announcement restored", "life", r.ID, "born", r.Born, "milli_cpu", r.Capacity.MilliCPU, "draining", r.Draining))
}

// WorkerLeft handles the message of the worker instance id that it is about to end. It
// gets no starts any more unless it announces itself again. Its runs may go on until it has
// ended, or for good if the message is late and of an earlier instance with the same ID.
func (s *State) WorkerLeft(now time.Duration, id string) {
	if s.worker != nil && s.worker.ID == id {
		s.log(decisions.Info("worker left", "life", id, "runs", len(s.runs)))
		s.worker = nil
		s.nextRenewAt = now
	}
}

// workerRestarted resets what was known about the previous worker instance. Its runs have
// ended, but for those whose start call has reached the new one: removeUnlisted tells them
// apart by the new instance's lists.
func (s *State) workerRestarted(now time.Duration, born int64, how string) {
	s.log(decisions.Warn("worker has restarted", "how", how, "born", born, "former_born", s.workerBorn, "runs", len(s.runs)))
	s.workerBorn, s.bornKnownAt, s.lastEndNumber, s.clockKnown, s.worker, s.leavesAt = born, now, 0, false, nil, 0
	s.speed, s.lastFailureRate = newSpeedMeter(), 0
	s.nextRenewAt = now
	for _, r := range s.runs {
		// The new instance knows of no stop yet.
		r.stopAckedAt = 0
	}
	for _, k := range slices.SortedFunc(maps.Keys(s.unansweredStarts), runKey.compare) {
		if u := s.unansweredStarts[k]; s.runs[k] == nil && now-u.at < unansweredStartRetention {
			s.stopOnNewInstance(now, u.call)
		}
	}
}

// endAll ends the runs and returns their number. Those whose start call is still being
// made are left out: they may begin yet.
func (s *State) endAll(now time.Duration, outcome uint8) (n int) {
	for _, r := range s.sortedRuns() {
		// The end of the lease tells nothing of a call that a restarted worker may carry out:
		// its clock has started anew.
		mayBegin := r.endReported && r.startUnanswered && r.workerBorn != s.workerBorn && now-r.startSentAt < unansweredStartRetention
		if r.startDoneAt > 0 && !mayBegin {
			s.end(now, r, outcome)
			n++
		}
	}
	return n
}

// end removes a run and queues the report of its end to its entry. A run that was
// never confirmed and neither succeeded nor failed is reported as not running.
func (s *State) end(now time.Duration, r *run, outcome uint8) {
	delete(s.runs, r.runKey)
	if r.endReported {
		return
	}
	e := link.End{Task: r.task, Attempt: r.attempt, Outcome: outcome, RanMS: (now - r.startSentAt).Milliseconds()}
	s.recentEnds[r.runKey] = recentEnd{e, now}
	conn := s.conns[r.conn]
	if conn == nil {
		return
	}
	if !r.startReported && r.confirmedAt == 0 && outcome != link.Done && outcome != link.Failed {
		s.answer(conn, r.runKey, link.NotRunning)
		return
	}
	rep := s.pendingReport(conn)
	rep.Ends = append(rep.Ends, e)
}

// pendingReport returns the pending report to an entry, which it creates if there
// is none.
func (s *State) pendingReport(conn *entryConn) *link.Report {
	if conn.pending == nil {
		conn.pending = &link.Report{}
	}
	return conn.pending
}

// answer queues the answer to a start, a stop or a claim.
func (s *State) answer(conn *entryConn, k runKey, result uint8) {
	rep := s.pendingReport(conn)
	rep.Answers = append(rep.Answers, link.StartAnswer{Task: k.task, Attempt: k.attempt, Result: result})
}

// finishReport fills in the worker's state, records what was reported, and
// returns the report to send.
func (s *State) finishReport(now time.Duration, conn *entryConn) link.Report {
	rep := s.pendingReport(conn)
	rep.ClockMS = now.Milliseconds()
	rep.Sequence, rep.Accepting, rep.Free = conn.sequence, s.accepting(), s.offeredCapacity(now)
	rep.Speed, rep.FailureRate, rep.LeavesMS = float32(s.speed.speed()), float32(s.failureRate(now)), s.leavesMS(now)
	if w := s.worker; w != nil && s.workerRevision != conn.reportedRevision {
		rep.Worker = &link.WorkerState{
			Revision: s.workerRevision, ID: w.ID, Born: w.Born, Service: w.Service, Zone: w.Zone, Capacity: w.Capacity, Labels: w.Labels,
		}
		conn.reportedRevision = s.workerRevision
	}
	if s.worker != nil && s.speed.measured {
		rep.LongTermSpeed = float32(s.speed.longTerm)
	}
	s.reportPairs(now, conn, rep)
	conn.reportedAt, conn.reportedFree, conn.reportedAccepting, conn.reportedSpeed = now, rep.Free, rep.Accepting, s.speed.speed()
	conn.pending, conn.reportDue, conn.reportedLeavesAt = nil, false, s.leavesAt
	return *rep
}

// markReportsDue marks the connections whose entry must be told of a change.
func (s *State) markReportsDue(now time.Duration) {
	free, accepting, speed := s.offeredCapacity(now), s.accepting(), s.speed.speed()
	capacity := 1.0
	if s.worker != nil {
		capacity = float64(max(s.worker.Capacity.MilliCPU, 1))
	}
	active := 0
	for _, conn := range s.connsByID {
		if !conn.inactive {
			active++
		}
	}
	reportInterval := max(minReportInterval, time.Duration(active)*reportIntervalPerEntry)
	for _, conn := range s.connsByID {
		workerChanged := s.worker != nil && s.workerRevision != conn.reportedRevision
		if workerChanged || accepting != conn.reportedAccepting || leaveChanged(s.leavesAt, conn.reportedLeavesAt) {
			conn.reportDue = true
			continue
		}
		if conn.inactive || now-conn.reportedAt < minReportInterval {
			continue
		}
		if s.pairsDue(now, conn) {
			conn.reportDue = true
		}
		if conn.waiting && free.MilliCPU > conn.reportedFree.MilliCPU {
			conn.reportDue = true
		}
		if now-conn.reportedAt < reportInterval {
			continue
		}
		change := math.Abs(float64(free.MilliCPU-conn.reportedFree.MilliCPU)) / capacity
		if change >= reportThreshold || math.Abs(speed-conn.reportedSpeed) > reportThreshold*conn.reportedSpeed {
			conn.reportDue = true
		}
	}
}
