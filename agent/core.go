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
	tickInterval = time.Second
	// monitorAfterResult is how long a connection is monitored for loss after a
	// Result was sent on it. It covers a probe and its reply, so that the
	// connection is replaced within seconds if the Result is lost.
	monitorAfterResult = 3 * time.Second
	// settleTimeout is how long a drain waits for entries to request, by a Settle,
	// the results that could not be sent.
	settleTimeout = 5 * time.Second
)

// An offer is a LoadReport that tells an entry of a free slot. Offers must stay
// below 0.05 messages per task; without a limit there were 0.09. A token bucket of
// offerBurst tokens allows one offer per tasksPerOffer ended tasks, which is half
// of that bound.
const (
	tasksPerOffer = 40
	offerBurst    = 2
)

// Reasons for which the event loop refuses a start or the agent is not ready;
// reasonStarting is only used for the latter. See refusalReason for the reasons of
// the ledger.
const (
	reasonLeaving  = wire.ReasonLeaving
	reasonDeadline = "deadline"
	reasonClosed   = "closed"
	reasonStarting = "starting"
)

// peer is the state kept for one incarnation of an entry.
type peer struct {
	// conn is the most recent connection to the incarnation, or nil if none is
	// open.
	conn *entryConn
	// backlog is the last known number of tasks that wait at the entry.
	backlog uint32
}

// eventLoop holds the state on which the agent bases its decisions. Its methods must
// only be called from the goroutine of run.
type eventLoop struct {
	agent  *Agent
	log    *logrus.Entry
	ledger *ledger.Ledger
	slots  *slots.Slots[*task]
	// tasks are those that are held or running.
	tasks map[taskID]*task
	// peers is keyed by the incarnation of the entry.
	peers map[uint64]*peer
	conns map[*entryConn]struct{}
	// dialLoops holds the function that ends the maintainConn goroutine of each
	// endpoint.
	dialLoops map[endpoint]context.CancelFunc

	roster       *ownership.Roster
	backendState backend.State
	config       wire.WorkerConfig
	// undelivered holds the tasks whose result could not be sent, with the
	// incarnation of their owner.
	undelivered map[taskID]uint64
	// offerTokens is the number of free-slot offers that may be sent now.
	offerTokens float64
	// replaced is set when this incarnation is no longer the registered one.
	replaced bool
	// drained is non-nil during a drain and is closed at its end.
	drained chan struct{}
	// idleSince is when all slots became idle during a drain, or zero.
	idleSince time.Time
}

func newEventLoop(a *Agent) *eventLoop {
	s := a.settings
	return &eventLoop{
		agent: a, log: a.log,
		ledger:      ledger.New(a.incarnation, ledger.Options{MaxRecords: s.MaxLedgerRecords, MaxResultBytes: s.MaxResultBytes}),
		slots:       slots.New[*task](slots.Options{Slots: a.slotCount, LongSlots: s.LongSlots, MaxHeld: s.Hold}),
		tasks:       map[taskID]*task{},
		peers:       map[uint64]*peer{},
		conns:       map[*entryConn]struct{}{},
		dialLoops:   map[endpoint]context.CancelFunc{},
		undelivered: map[taskID]uint64{},
		offerTokens: offerBurst,
	}
}

// run processes events until ctx is done. Nothing that it calls may block, since
// no other event is processed meanwhile.
func (el *eventLoop) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	defer el.shutdown()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-el.agent.events:
			el.handleEvent(e)
		case <-el.agent.backend.Changed():
			el.handleBackendChange()
		case now := <-t.C:
			el.tick(now)
		}
		el.checkDrained()
	}
}

func (el *eventLoop) shutdown() {
	for _, t := range el.tasks {
		if t.cancel != nil {
			t.cancel()
		}
	}
	for ec := range el.conns {
		ec.conn.Close(nil)
	}
}

func (el *eventLoop) handleEvent(e event) {
	switch e := e.(type) {
	case messageReceived:
		el.handleMessage(e.conn, e.message)
	case taskEnded:
		el.handleTaskEnd(e.task, e.result)
	case connOpened:
		el.addConn(e.conn)
	case connClosed:
		el.removeConn(e.conn)
	case helloRequest:
		e.reply <- el.hello()
	case fenceRequest:
		e.reply <- el.handleFence(e.message)
	case rosterRead:
		el.adoptRoster(e.roster)
	case registrationReplaced:
		el.replaced = true
		el.broadcastLoad()
	case drainRequest:
		el.drained = e.drained
		el.broadcastLoad()
	case stopTasksRequest:
		el.stopTasks()
	case listConnsRequest:
		e.reply <- el.listConns()
	}
}

func (el *eventLoop) handleMessage(ec *entryConn, m wire.Message) {
	switch m := m.(type) {
	case *wire.Start:
		el.handleStart(ec, m)
	case *wire.Settle:
		el.handleSettle(ec, m)
	case *wire.RosterUpdate:
		if r := el.parseRoster(m.Version, m.Roster); r != nil {
			el.adoptRoster(r)
		}
	case *wire.WorkerConfig:
		el.applyConfig(m)
	default:
		el.log.WithField("type", m.MessageType()).Warn("entry sent a message of an unexpected type; ignoring it")
	}
}

// unavailableReason returns the reason to refuse new tasks of a service, or "" if
// the agent accepts them.
func (el *eventLoop) unavailableReason(service string) string {
	switch {
	case el.leaving():
		return reasonLeaving
	case el.backendState.Status != backend.Up || !slices.Contains(el.services(), service):
		return backend.ReasonNoBackend
	}
	return ""
}

// leaving reports whether the agent refuses all new tasks because it drains, was
// replaced or was set to drain by its configuration, or because its backend
// server is leaving.
func (el *eventLoop) leaving() bool {
	return el.drained != nil || el.replaced || el.config.Drain || el.backendState.Status == backend.Leaving
}

// services returns the services that the backend server announced and the
// configuration allows. An empty list in the configuration allows all.
func (el *eventLoop) services() []string {
	if len(el.config.Services) == 0 {
		return el.backendState.Services
	}
	var allowed []string
	for _, s := range el.backendState.Services {
		if slices.Contains(el.config.Services, s) {
			allowed = append(allowed, s)
		}
	}
	return allowed
}

// load returns the load to report in messages. An agent whose backend server is
// not up, or that may serve none of its services, reports that it is leaving, so
// that entries send it no tasks.
func (el *eventLoop) load() wire.Load {
	l := el.slots.Load()
	l.Leaving = el.leaving() || el.backendState.Status != backend.Up || len(el.services()) == 0
	l.ConfigVersion = el.config.Version
	return l
}

func (el *eventLoop) hello() *wire.Hello {
	h := &wire.Hello{
		Role: roleAgent, Name: el.agent.settings.Name, Incarnation: el.agent.incarnation, Zone: el.agent.settings.Zone,
		Services: el.services(), Load: el.load(),
	}
	if el.roster != nil {
		h.RosterVersion = el.roster.Version
	}
	return h
}

// broadcastLoad reports the load to all connected entries and updates the
// readiness.
func (el *eventLoop) broadcastLoad() {
	for ec := range el.conns {
		el.sendLoadReport(ec)
	}
	el.updateReadiness()
}

func (el *eventLoop) sendLoadReport(ec *entryConn) {
	el.agent.metrics.loadReports.Inc(1)
	el.send(ec, &wire.LoadReport{Load: el.load(), Services: el.services()})
}

func (el *eventLoop) updateReadiness() {
	reason := ""
	switch {
	case el.leaving():
		reason = reasonLeaving
	case el.roster == nil:
		reason = "no roster"
	case el.backendState.Status != backend.Up:
		reason = "backend server is " + el.backendState.Status.String()
	}
	el.agent.setNotReady(reason)
}

func (el *eventLoop) handleBackendChange() {
	el.backendState = el.agent.backend.State()
	if el.backendState.Status == backend.Leaving || el.backendState.Status == backend.Down {
		el.refuseHeld()
	}
	el.broadcastLoad()
}

func (el *eventLoop) applyConfig(m *wire.WorkerConfig) {
	if m.Version <= el.config.Version {
		return
	}
	el.config = *m
	el.log.WithFields(logrus.Fields{"version": m.Version, "drain": m.Drain}).Info("worker configuration changed")
	if el.config.Drain {
		// Held starts would run here after the drain or the evacuation has begun.
		el.refuseHeld()
	}
	el.broadcastLoad()
}

func (el *eventLoop) parseRoster(version uint64, b []byte) *ownership.Roster {
	r := &ownership.Roster{}
	if err := json.Unmarshal(b, r); err != nil {
		el.log.WithError(err).Error("entry sent a roster that cannot be parsed; keeping the current one")
		return nil
	}
	r.Version = version
	return r
}

// adoptRoster starts to use a roster, unless the current one is as new or newer.
func (el *eventLoop) adoptRoster(r *ownership.Roster) {
	if el.roster != nil && r.Version <= el.roster.Version {
		return
	}
	members := make([]uint64, len(r.Members))
	for i, m := range r.Members {
		members[i] = m.Incarnation
	}
	if !el.ledger.AdoptRoster(r.Version, members) {
		return
	}
	el.roster = r
	el.log.WithFields(logrus.Fields{"version": r.Version, "members": len(r.Members)}).Info("roster adopted")
	el.syncDialLoops()
	el.updateReadiness()
}

// handleFence adopts the roster of a Fence if it is newer and returns the FenceAck.
// It returns nil if that roster cannot be parsed, the agent has no roster or the
// incarnation is still a member. The records are selected by the roster of the
// requester, which may be older than the current one.
func (el *eventLoop) handleFence(m *wire.Fence) wire.Message {
	requesterRoster := el.parseRoster(m.RosterVersion, m.Roster)
	if requesterRoster == nil {
		return nil
	}
	el.adoptRoster(requesterRoster)
	if el.roster == nil {
		return nil
	}
	if _, member := el.roster.Find(m.Incarnation); member {
		return nil
	}
	owned := func(k api.Key) bool {
		o, ok := requesterRoster.Owner(k)
		return ok && o.Name == m.Requester
	}
	return &wire.FenceAck{
		Incarnation: m.Incarnation, Agent: el.agent.incarnation, RosterVersion: m.RosterVersion,
		Records: el.ledger.Records(m.Incarnation, owned),
	}
}

func (el *eventLoop) tick(now time.Time) {
	el.ledger.Expire(now)
	el.refusePastDeadline(now)
	el.updateMonitoring(now)
	load := el.slots.Load()
	el.agent.metrics.running.Update(float64(load.Running))
	el.agent.metrics.held.Update(float64(load.Held))
	el.agent.metrics.entries.Update(float64(len(el.conns)))
	for incarnation, p := range el.peers {
		if p.conn == nil && !el.isMember(incarnation) {
			delete(el.peers, incarnation)
		}
	}
}

func (el *eventLoop) isMember(incarnation uint64) bool {
	if el.roster == nil {
		return false
	}
	_, ok := el.roster.Find(incarnation)
	return ok
}

// checkDrained ends a drain when no task is held or running. If results could not
// be sent, it waits up to settleTimeout for entries to request them by a Settle
// over a new connection.
func (el *eventLoop) checkDrained() {
	if el.drained == nil {
		return
	}
	if !el.slots.Idle() {
		el.idleSince = time.Time{}
		return
	}
	now := time.Now()
	if el.idleSince.IsZero() {
		el.idleSince = now
	}
	if len(el.undelivered) > 0 && now.Sub(el.idleSince) < settleTimeout {
		return
	}
	select {
	case <-el.drained:
	default:
		close(el.drained)
	}
}
