package agent

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/backend"
	"github.com/sesamelift/sesamelift/ledger"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/slots"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	tick = time.Second
	// expectAfterResult is how long after a Result a connection is watched for
	// silence. It covers a probe and its answer, so that a lost Result leads to
	// a new connection within seconds.
	expectAfterResult = 3 * time.Second
	// settleGrace is how long a drain waits for the entries to settle results
	// that could not be sent.
	settleGrace = 5 * time.Second
)

// Offers of a free slot to another entry are overhead. One for offerEvery ended
// tasks keeps them at half of the bound of 0.05 messages per task; without a
// bound they came to 0.09. Up to maxOffers are saved up.
const (
	offerEvery = 40
	maxOffers  = 2
)

// Reasons of refusals that the core loop gives; the ledger gives the others.
const (
	reasonLeaving  = "leaving"
	reasonDeadline = "deadline"
	reasonClosed   = "closed"
	reasonStarting = "starting"
)

// peer is an entry incarnation that owns tasks here.
type peer struct {
	// link is the newest connection of the incarnation, or nil.
	link *link
	// backlog is how many tasks wait at the entry, as far as the agent knows.
	backlog uint32
}

// core owns the decisions of the agent. Only the core loop uses it.
type core struct {
	a      *Agent
	log    *logrus.Entry
	ledger *ledger.Ledger
	slots  *slots.Slots[*task]
	// tasks are held or run.
	tasks map[taskID]*task
	peers map[uint64]*peer
	links map[*link]struct{}
	dials map[endpoint]context.CancelFunc

	roster  *ownership.Roster
	backend backend.State
	config  wire.WorkerConfig
	// undelivered are results for which no connection of their owner was open.
	undelivered map[taskID]uint64
	// offers is how many offers of a free slot may be sent now.
	offers   float64
	replaced bool
	// drained is set during a drain.
	drained   chan struct{}
	idleSince time.Time
}

func newCore(a *Agent) *core {
	s := a.settings
	return &core{
		a: a, log: a.log,
		ledger:      ledger.New(a.incarnation, ledger.Options{MaxRecords: s.MaxLedgerRecords, MaxResultBytes: s.MaxResultBytes}),
		slots:       slots.New[*task](slots.Options{Slots: a.slots, LongSlots: s.LongSlots, Hold: s.Hold}),
		tasks:       map[taskID]*task{},
		peers:       map[uint64]*peer{},
		links:       map[*link]struct{}{},
		dials:       map[endpoint]context.CancelFunc{},
		undelivered: map[taskID]uint64{},
		offers:      maxOffers,
	}
}

// run is the core loop. Nothing in it waits for anything but the next event.
func (c *core) run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	defer c.closeAll()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.a.events:
			c.handle(e)
		case <-c.a.backend.Changed():
			c.backendChanged()
		case now := <-t.C:
			c.tick(now)
		}
		c.checkDrained()
	}
}

func (c *core) closeAll() {
	for _, t := range c.tasks {
		if t.cancel != nil {
			t.cancel()
		}
	}
	for l := range c.links {
		l.conn.Close(nil)
	}
}

func (c *core) handle(e event) {
	switch e := e.(type) {
	case received:
		c.receive(e.link, e.message)
	case ended:
		c.ended(e.task, e.result)
	case linkUp:
		c.linkUp(e.link)
	case linkDown:
		c.linkDown(e.link)
	case helloRequest:
		e.reply <- c.hello()
	case fenceRequest:
		e.reply <- c.fence(e.message)
	case rosterRead:
		c.adopt(e.roster)
	case replaced:
		c.replaced = true
		c.loadChanged()
	case drainRequest:
		c.drained = e.drained
		c.loadChanged()
	case stopTasks:
		c.stopTasks()
	case flushRequest:
		e.done <- c.openLinks()
	}
}

func (c *core) receive(l *link, m wire.Message) {
	switch m := m.(type) {
	case *wire.Start:
		c.start(l, m)
	case *wire.Settle:
		c.settle(l, m)
	case *wire.RosterUpdate:
		if r := c.parseRoster(m.Version, m.Roster); r != nil {
			c.adopt(r)
		}
	case *wire.WorkerConfig:
		c.configure(m)
	default:
		c.log.WithField("type", m.MessageType()).Warn("unexpected message from an entry")
	}
}

// unavailable returns the reason to refuse new work for a service, or "".
func (c *core) unavailable(service string) string {
	switch {
	case c.leaving():
		return reasonLeaving
	case c.backend.Status != backend.Up || !slices.Contains(c.services(), service):
		return backend.ReasonNoBackend
	}
	return ""
}

// leaving reports whether the agent takes no new work for good or by order.
func (c *core) leaving() bool {
	return c.drained != nil || c.replaced || c.config.Drain || c.backend.Status == backend.Leaving
}

// services returns what the backend server announced and the configuration
// allows.
func (c *core) services() []string {
	if len(c.config.Services) == 0 {
		return c.backend.Services
	}
	var allowed []string
	for _, s := range c.backend.Services {
		if slices.Contains(c.config.Services, s) {
			allowed = append(allowed, s)
		}
	}
	return allowed
}

// load returns the load for a message. An agent without a backend server that
// works, or without a service that it may serve, reports that it is leaving, so
// that entries send it nothing.
func (c *core) load() wire.Load {
	l := c.slots.Load()
	l.Leaving = c.leaving() || c.backend.Status != backend.Up || len(c.services()) == 0
	l.ConfigVersion = c.config.Version
	return l
}

func (c *core) hello() *wire.Hello {
	h := &wire.Hello{
		Role: roleAgent, Name: c.a.settings.Name, Incarnation: c.a.incarnation, Zone: c.a.settings.Zone,
		Services: c.services(), Load: c.load(),
	}
	if c.roster != nil {
		h.RosterVersion = c.roster.Version
	}
	return h
}

// loadChanged tells all entries what they must know at once.
func (c *core) loadChanged() {
	for l := range c.links {
		c.report(l)
	}
	c.updateReady()
}

func (c *core) report(l *link) {
	c.a.metrics.loadReports.Inc(1)
	c.send(l, &wire.LoadReport{Load: c.load(), Services: c.services()})
}

func (c *core) updateReady() {
	reason := ""
	switch {
	case c.leaving():
		reason = reasonLeaving
	case c.roster == nil:
		reason = "no roster"
	case c.backend.Status != backend.Up:
		reason = "backend server is " + c.backend.Status.String()
	}
	c.a.setUnready(reason)
}

func (c *core) backendChanged() {
	c.backend = c.a.backend.State()
	if c.backend.Status == backend.Leaving || c.backend.Status == backend.Down {
		c.refuseHeld()
	}
	c.loadChanged()
}

func (c *core) configure(m *wire.WorkerConfig) {
	if m.Version <= c.config.Version {
		return
	}
	c.config = *m
	c.log.WithFields(logrus.Fields{"version": m.Version, "drain": m.Drain}).Info("configuration changed")
	c.loadChanged()
}

func (c *core) parseRoster(version uint64, b []byte) *ownership.Roster {
	r := &ownership.Roster{}
	if err := json.Unmarshal(b, r); err != nil {
		c.log.WithError(err).Error("the roster that an entry sent is not valid; the last one stays in use")
		return nil
	}
	r.Version = version
	return r
}

// adopt takes a roster into use unless a newer one is.
func (c *core) adopt(r *ownership.Roster) {
	if c.roster != nil && r.Version <= c.roster.Version {
		return
	}
	members := make([]uint64, len(r.Members))
	for i, m := range r.Members {
		members[i] = m.Incarnation
	}
	if !c.ledger.AdoptRoster(r.Version, members) {
		return
	}
	c.roster = r
	c.log.WithFields(logrus.Fields{"version": r.Version, "members": len(r.Members)}).Info("roster adopted")
	c.syncDials()
	c.updateReady()
}

// fence answers a Fence. The records follow the roster of the asker, which may
// be older than the one in use.
func (c *core) fence(m *wire.Fence) wire.Message {
	asked := c.parseRoster(m.RosterVersion, m.Roster)
	if asked == nil {
		return nil
	}
	c.adopt(asked)
	if c.roster == nil {
		return nil
	}
	if _, member := c.roster.Find(m.Incarnation); member {
		return nil
	}
	owned := func(k api.Key) bool {
		o, ok := asked.Owner(k)
		return ok && o.Name == m.Asker
	}
	return &wire.FenceAck{
		Incarnation: m.Incarnation, Agent: c.a.incarnation, RosterVersion: m.RosterVersion,
		Records: c.ledger.Records(m.Incarnation, owned),
	}
}

func (c *core) tick(now time.Time) {
	c.ledger.Expire(now)
	c.refuseLate(now)
	c.expect(now)
	load := c.slots.Load()
	c.a.metrics.running.Update(float64(load.Running))
	c.a.metrics.held.Update(float64(load.Held))
	c.a.metrics.entries.Update(float64(len(c.links)))
	for incarnation, p := range c.peers {
		if p.link == nil && !c.isMember(incarnation) {
			delete(c.peers, incarnation)
		}
	}
}

func (c *core) isMember(incarnation uint64) bool {
	if c.roster == nil {
		return false
	}
	_, ok := c.roster.Find(incarnation)
	return ok
}

// checkDrained ends a drain when nothing is left to do. Results that could not
// be sent get some time to be settled over a new connection.
func (c *core) checkDrained() {
	if c.drained == nil {
		return
	}
	if !c.slots.Idle() {
		c.idleSince = time.Time{}
		return
	}
	now := time.Now()
	if c.idleSince.IsZero() {
		c.idleSince = now
	}
	if len(c.undelivered) > 0 && now.Sub(c.idleSince) < settleGrace {
		return
	}
	select {
	case <-c.drained:
	default:
		close(c.drained)
	}
}
