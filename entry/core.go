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
	// eventBatch bounds the events handled between two rounds of dispatch.
	eventBatch = 64
	// expireInterval is how often the ownership state is cleaned up.
	expireInterval = time.Second
	// pauseLimit is a gap between two rounds of the loop after which the peers
	// may have removed this entry. They need 3 missed pings, which is 3 s or more.
	pauseLimit = 2 * time.Second
)

// event is either a message of an agent or a function to run in the core loop.
type event struct {
	agent *agentConn
	msg   wire.Message
	do    func(c *core)
}

// core is the state of the core loop. Only that goroutine touches it.
type core struct {
	e         *Entry
	own       *ownership.State
	jobs      *jobs.Table
	queue     *queue.Queue
	admission *admission.State
	placement *placement.State
	config    *config.Config
	types     map[string]map[string]config.RequestType
	agents    map[uint64]*agentState
	workers   map[string]uint64
	active    map[api.Key]*activeJob
	queued    map[[2]string]int
	blocked   []*request
	delayed   []delayedTask
	retries   retryBudget
	closing   map[api.Key]*closing

	draining bool
	leaving  bool
	removed  bool
	// suspect says that the entry may have been removed from the roster without
	// knowing. Until the roster has been read again, it makes no claim that a
	// key has not run: another entry may own the key.
	suspect   bool
	suspectAt time.Time
	lastTurn  time.Time
	expireAt  time.Time

	// ready is set once; see checkReady.
	ready, agentsRead bool
	registered        int
	readyBy           time.Time
}

func newCore(e *Entry) *core {
	s := e.o.Settings
	now := e.clock.now()
	return &core{
		e: e, own: ownership.New(e.self),
		jobs:      jobs.NewTable(jobs.Options{MaxAnswerBytes: s.MaxAnswerBytes}),
		queue:     queue.New(queue.Options{MaxTasks: s.MaxQueuedTasks + api.MaxTasks}),
		admission: admission.New(admission.Options{MaxQueuedTasks: s.MaxQueuedTasks}),
		placement: placement.New(placement.Options{Policy: s.Policy, Zone: s.Zone, Seed: e.self.Incarnation}),
		config:    &config.Config{}, types: map[string]map[string]config.RequestType{},
		agents: map[uint64]*agentState{}, workers: map[string]uint64{}, active: map[api.Key]*activeJob{},
		queued: map[[2]string]int{}, closing: map[api.Key]*closing{}, retries: newRetryBudget(now), lastTurn: now, expireAt: now,
	}
}

// coreLoop handles events, then starts what has a slot.
func (e *Entry) coreLoop(ctx context.Context) error {
	c := newCore(e)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.failAll("the entry stopped")
			return nil
		case ev := <-e.events:
			c.turn()
			c.handle(ev)
			c.drainEvents()
		case r := <-e.requests:
			c.turn()
			c.request(r)
			c.drainRequests()
		case <-ticker.C:
			c.turn()
			c.tick()
		}
		c.dispatch()
	}
}

func (c *core) drainEvents() {
	for range eventBatch {
		select {
		case ev := <-c.e.events:
			c.handle(ev)
		default:
			return
		}
	}
}

func (c *core) drainRequests() {
	for range eventBatch {
		select {
		case r := <-c.e.requests:
			c.request(r)
		default:
			return
		}
	}
}

// turn notices that the process was paused.
func (c *core) turn() {
	now := c.e.clock.now()
	if gap := now.Sub(c.lastTurn); gap > pauseLimit {
		c.e.log.WithField("gap_ms", gap.Milliseconds()).Warn("the process was paused; refusals say maybe until the roster has been read")
		c.suspect, c.suspectAt = true, now
	}
	c.lastTurn = now
}

func (c *core) now() time.Time { return c.e.clock.now() }

func (c *core) handle(ev event) {
	if ev.do != nil {
		ev.do(c)
		return
	}
	c.message(ev.agent, ev.msg)
}

func (c *core) tick() {
	now := c.now()
	c.apply(c.jobs.Tick(now))
	c.releaseDelayed(now)
	c.retryBlocked(now)
	c.dropLost(now)
	c.closeLate(now)
	c.checkReady()
	if !now.Before(c.expireAt) {
		c.expireAt = now.Add(expireInterval)
		c.own.Expire(now)
		if c.e.health.doubtful(now) && c.e.peers.anyMissing() {
			c.suspect, c.suspectAt = true, now
		}
		c.gauges()
	}
	if c.draining && !c.leaving && c.jobs.Running() == 0 && len(c.closing) == 0 {
		c.leaving = true
		close(c.e.drained)
	}
	if c.removed {
		c.failWaiting()
	}
	if c.removed && !c.leaving && c.jobs.Running() == 0 {
		c.leaving = true
		close(c.e.removed)
	}
}

// post runs f in the core loop. It waits for room and returns false when ctx
// ends first.
func (e *Entry) post(ctx context.Context, f func(c *core)) bool {
	select {
	case e.events <- event{do: f}:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask runs f in the core loop and returns its result. The second result is
// false when ctx ends first.
func ask[T any](ctx context.Context, e *Entry, f func(c *core) T) (T, bool) {
	var zero T
	reply := make(chan T, 1)
	if !e.post(ctx, func(c *core) { reply <- f(c) }) {
		return zero, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-ctx.Done():
		return zero, false
	}
}

// failAll fails every job in progress.
func (c *core) failAll(message string) {
	for key := range c.active {
		c.apply(c.jobs.Fail(key, api.ReasonDraining, message))
	}
	for _, r := range c.blocked {
		r.finish(api.Fail(api.RanMaybe, api.ReasonDraining, message))
	}
	c.blocked = nil
}

// agentConn is a connection to an agent incarnation.
type agentConn struct {
	id    uint64
	hello *wire.Hello
	conn  *transport.Conn
}
