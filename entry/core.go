package entry

import (
	"context"
	"time"

	"github.com/sesamelift/sesamelift/admission"
	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/jobs"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/placement"
	"github.com/sesamelift/sesamelift/queue"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	// tickInterval is the resolution of deadlines.
	tickInterval = 10 * time.Millisecond
	// eventBatch is the largest number of queued events or requests that are
	// handled before the next dispatch.
	eventBatch = 64
	// cleanupInterval is how often expired keys are removed from the resolver and the
	// gauges are updated.
	cleanupInterval = time.Second
	// pauseThreshold is the time between two iterations of the event loop after
	// which the peers may have removed this entry. They do so after 3 missed
	// pings, at the earliest after 3 s.
	pauseThreshold = 2 * time.Second
)

// event is either a message from an agent or a function to run in the event
// loop.
type event struct {
	agent *agentConn
	msg   wire.Message
	do    func(ls *loopState)
}

// loopState is the state of the event loop. Only the goroutine of eventLoop may
// use it.
type loopState struct {
	e         *Entry
	resolver  *ownership.Resolver
	jobs      *jobs.Table
	queue     *queue.Queue
	admission *admission.State
	placement *placement.State
	config    *config.Config
	// requestTypes holds the request types by service and type name.
	requestTypes  map[string]map[string]config.RequestType
	agents        map[uint64]*agentState
	agentByWorker map[string]uint64
	workers       map[string]*knownWorker
	// outlooks caches the results of outlook by service. It is cleared whenever a worker
	// or the configuration changes.
	outlooks map[string]outlook
	// permitted reports whether the configuration permits a worker in a zone to serve a
	// service.
	permitted  func(worker, zone, service string) bool
	activeJobs map[api.Key]*activeJob
	// queuedTasks counts the queued tasks by service and team.
	queuedTasks     map[[2]string]int
	blockedRequests []*request
	// awaitingTasks and awaitingBytes are the numbers of tasks and of bytes of task bodies of
	// the blocked requests that wait for workers.
	awaitingTasks, awaitingBytes int
	// awaited caches serviceAwaitsWorkers during retryBlocked; it is nil otherwise.
	awaited       map[string]bool
	delayedTasks  []delayedTask
	retryBudget   retryBudget
	pendingCloses map[api.Key]*pendingClose

	draining bool
	// exiting is set once Entry.drained or Entry.removed is closed.
	exiting bool
	// removed is set once this entry has read that its peers removed it from the
	// roster.
	removed bool
	// maybeRemoved is set when the peers may have removed this entry from the
	// roster without its knowledge. Until the roster has been read again, no
	// answer says that a job has not run, since another entry may own its key.
	maybeRemoved   bool
	maybeRemovedAt time.Time
	lastIteration  time.Time
	nextCleanup    time.Time

	// ready is set once and stays set; see checkReady. agentsRead is set once the
	// agent registrations have been read; registeredAgents is their number
	// without the agents that had left.
	ready, agentsRead bool
	registeredAgents  int
	readyDeadline     time.Time
}

func newLoopState(e *Entry) *loopState {
	s := e.options.Settings
	now := e.clock.now()
	return &loopState{
		e: e, resolver: ownership.NewResolver(e.self),
		jobs:      jobs.NewTable(jobs.Options{MaxAnswerBytes: s.MaxAnswerBytes}),
		queue:     queue.New(queue.Options{MaxTasks: s.MaxQueuedTasks + api.MaxTasks}),
		admission: admission.New(admission.Options{MaxQueuedTasks: s.MaxQueuedTasks}),
		placement: placement.New(placement.Options{Policy: s.Policy, Zone: s.Zone, Seed: e.self.Incarnation}),
		config:    &config.Config{}, requestTypes: map[string]map[string]config.RequestType{},
		agents: map[uint64]*agentState{}, agentByWorker: map[string]uint64{}, workers: map[string]*knownWorker{}, outlooks: map[string]outlook{},
		permitted: func(_, _, _ string) bool { return true }, activeJobs: map[api.Key]*activeJob{},
		queuedTasks: map[[2]string]int{}, pendingCloses: map[api.Key]*pendingClose{}, retryBudget: newRetryBudget(now), lastIteration: now, nextCleanup: now,
	}
}

// eventLoop handles events and requests, and after each batch starts tasks on
// free slots.
func (e *Entry) eventLoop(ctx context.Context) error {
	ls := newLoopState(e)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			ls.failAll("the entry stopped")
			return nil
		case ev := <-e.events:
			ls.detectPause()
			ls.handleEvent(ev)
			ls.handleQueuedEvents()
		case r := <-e.requests:
			ls.detectPause()
			ls.handleRequest(r)
			ls.handleQueuedRequests()
		case <-ticker.C:
			ls.detectPause()
			ls.tick()
		}
		ls.dispatch()
	}
}

func (ls *loopState) handleQueuedEvents() {
	for range eventBatch {
		select {
		case ev := <-ls.e.events:
			ls.handleEvent(ev)
		default:
			return
		}
	}
}

func (ls *loopState) handleQueuedRequests() {
	for range eventBatch {
		select {
		case r := <-ls.e.requests:
			ls.handleRequest(r)
		default:
			return
		}
	}
}

// detectPause sets maybeRemoved if the process was paused since the last
// iteration.
func (ls *loopState) detectPause() {
	now := ls.e.clock.now()
	if gap := now.Sub(ls.lastIteration); gap > pauseThreshold {
		ls.e.log.WithField("gap_ms", gap.Milliseconds()).Warn("process was paused; refusals say ran=maybe until the roster has been read again")
		ls.maybeRemoved, ls.maybeRemovedAt = true, now
	}
	ls.lastIteration = now
}

func (ls *loopState) now() time.Time { return ls.e.clock.now() }

func (ls *loopState) handleEvent(ev event) {
	if ev.do != nil {
		ev.do(ls)
		return
	}
	ls.handleMessage(ev.agent, ev.msg)
}

func (ls *loopState) tick() {
	now := ls.now()
	ls.placement.Advance(now)
	ls.apply(ls.jobs.Tick(now))
	ls.enqueueDelayed(now)
	ls.retryBlocked(now)
	ls.discardDisconnectedAgents(now)
	ls.retryLateCloses(now)
	ls.checkReady()
	if !now.Before(ls.nextCleanup) {
		ls.nextCleanup = now.Add(cleanupInterval)
		ls.resolver.Expire(now)
		ls.forgetWorkers(now)
		if ls.e.health.stale(now) && ls.e.peers.anyMissedPing() {
			ls.maybeRemoved, ls.maybeRemovedAt = true, now
		}
		ls.updateGauges()
	}
	if ls.draining && !ls.exiting && ls.jobs.Running() == 0 && len(ls.pendingCloses) == 0 {
		ls.exiting = true
		close(ls.e.drained)
	}
	if ls.removed {
		ls.failUnstartedJobs()
	}
	if ls.removed && !ls.exiting && ls.jobs.Running() == 0 {
		ls.exiting = true
		close(ls.e.removed)
	}
}

// post queues f for the event loop. It blocks while the queue is full and
// returns false when ctx ends first.
func (e *Entry) post(ctx context.Context, f func(ls *loopState)) bool {
	select {
	case e.events <- event{do: f}:
		return true
	case <-ctx.Done():
		return false
	}
}

// postAndWait runs f in the event loop and returns its result. The second
// result is false when ctx ends first.
func postAndWait[T any](ctx context.Context, e *Entry, f func(ls *loopState) T) (T, bool) {
	var zero T
	reply := make(chan T, 1)
	if !e.post(ctx, func(ls *loopState) { reply <- f(ls) }) {
		return zero, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-ctx.Done():
		return zero, false
	}
}

// failAll fails every job in progress and every blocked request.
func (ls *loopState) failAll(message string) {
	for key := range ls.activeJobs {
		ls.apply(ls.jobs.Fail(key, api.ReasonDraining, message))
	}
	for _, r := range ls.blockedRequests {
		r.finish(api.Fail(api.RanMaybe, api.ReasonDraining, message))
	}
	ls.blockedRequests = nil
}

// agentConn is a connection to one agent incarnation.
type agentConn struct {
	id    uint64
	hello *wire.Hello
	conn  *transport.Conn
}
