// Package agent implements the process that runs beside a backend server. It
// monitors the backend server, enforces the slot limit, keeps the ledger of
// started tasks and runs tasks over HTTP.
//
// Entries send Start, Settle, Fence, RosterUpdate and WorkerConfig messages; the
// backend server sends announcements and responses to tasks. The agent sends
// results and its load to the entries. The event loop owns the ledger and the slots
// and makes all decisions; other goroutines only handle I/O and pass events to it.
package agent

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	crand "crypto/rand"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/sesamelift/sesamelift/backend"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/intake"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/table"
	"github.com/sesamelift/sesamelift/transport"
)

const (
	// eventQueueSize is the capacity of the event queue. A full queue blocks the
	// goroutines that read from connections, and QUIC flow control then blocks
	// the entries.
	eventQueueSize = 1024
	// readHeaderTimeout limits how long a client of the announce address may take
	// to send its request headers.
	readHeaderTimeout = 5 * time.Second
	// cancelTimeout limits the wait for the results of cancelled tasks at the end
	// of a drain.
	cancelTimeout = 2 * time.Second
	// leaveTimeout limits the write of the registration row at the end of a
	// drain.
	leaveTimeout = 5 * time.Second
)

// Options configures an Agent. Settings, Credentials, Platform and Log are
// required.
type Options struct {
	Settings    *settings.Agent
	Credentials *transport.Credentials
	Platform    table.Platform
	Log         *logrus.Entry
	// Metrics may be nil.
	Metrics tally.Scope
	// MetricsHandler serves /metrics. If it is nil, there is no such route.
	MetricsHandler http.Handler
	// Tracer may be nil.
	Tracer trace.Tracer
}

// Agent runs the tasks of one worker. Create it with New.
type Agent struct {
	options     Options
	settings    *settings.Agent
	log         *logrus.Entry
	metrics     *metrics
	incarnation uint64
	backend     *backend.Server
	listener    net.Listener
	slotCount   int

	events    chan event
	taskQueue chan *task
	// ctx is cancelled to end every goroutine of the agent.
	ctx       context.Context
	stop      context.CancelFunc
	abort     chan struct{}
	abortOnce sync.Once

	// registerCtx is cancelled to abandon the registration. registerEnded is
	// closed when no further attempt will be made.
	registerCtx    context.Context
	cancelRegister context.CancelFunc
	registerEnded  chan struct{}
	// registrationAttempted is set before the registration row is first written,
	// since the write may take effect although its reply is lost.
	registrationAttempted atomic.Bool
	registered            atomic.Bool
	// registration is the value of the registration row. Only registerAndFollowRoster
	// uses it.
	registration ownership.Registration
	runningTasks atomic.Int64
	openConns    atomic.Int64
	// dialLoopWG tracks the goroutines that keep connections to entries open.
	dialLoopWG sync.WaitGroup
	// notReadyReason says why the agent takes no tasks. It is empty if the agent
	// takes them.
	notReadyReason atomic.Pointer[string]
}

// New returns an agent that listens on its announce address. Requests are served
// once Run is called. New fails if it cannot listen.
func New(o Options) (*Agent, error) {
	l, err := net.Listen("tcp", o.Settings.AnnounceAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the backend server")
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("")
	}
	a := &Agent{
		options: o, settings: o.Settings, incarnation: newIncarnation(), listener: l,
		metrics: newMetrics(o.Metrics),
		events:  make(chan event, eventQueueSize),
		abort:   make(chan struct{}),
	}
	a.log = o.Log.WithFields(logrus.Fields{"worker": o.Settings.Name, "incarnation": a.incarnation})
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.registerCtx, a.cancelRegister = context.WithCancel(a.ctx)
	a.registerEnded = make(chan struct{})
	a.backend = backend.New(backend.Options{
		Connections:    o.Settings.Connections,
		HealthInterval: o.Settings.HealthInterval(),
		Running:        func() int { return int(a.runningTasks.Load()) },
		Log:            a.log,
	})
	a.slotCount = min(o.Settings.Slots, a.backend.TaskConnections())
	a.taskQueue = make(chan *task, a.slotCount)
	a.setNotReady(reasonStarting)
	return a, nil
}

// newIncarnation returns a random incarnation. It is never 0, which no agent has.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// AnnounceAddr returns the address on which the agent listens for its backend
// server.
func (a *Agent) AnnounceAddr() string { return a.listener.Addr().String() }

// Abort ends Run without a drain, or cuts short a drain that is in progress. Whether
// the running tasks complete is then unknown.
func (a *Agent) Abort() { a.abortOnce.Do(func() { close(a.abort) }) }

// Run serves until ctx is done, then drains. It returns nil after the drain, and an
// error if it was aborted before the drain ended or timed out, the listener failed or
// the registration could not be marked as left. It must be called only once.
func (a *Agent) Run(ctx context.Context) error {
	a.log.WithField("announce_address", a.AnnounceAddr()).Info("agent starting")
	if a.slotCount < a.settings.Slots {
		a.log.WithField("slots", a.slotCount).Warn("the setting slots needs more connections than the setting connections allows; using fewer slots")
	}
	loop := newEventLoop(a)
	var g run.Group
	a.addActor(&g, loop.run)
	a.addActor(&g, a.backend.Run)
	a.addActor(&g, a.registerAndFollowRoster)
	for range a.slotCount {
		a.addActor(&g, a.runTasks)
	}
	guard := intake.NewGuard(intake.Options{
		Limits: intake.Derive(intake.ProcessResources()), Metrics: a.options.Metrics,
		Log: func(l decisions.Line) { l.Write(a.log) },
	})
	server := guard.Protect(&http.Server{Handler: a.routes(), ReadHeaderTimeout: readHeaderTimeout})
	listener := guard.ListenForService("announce", a.listener)
	g.Add(func() error { return errors.Wrap(server.Serve(listener), "serve the announce address") },
		func(error) { _ = server.Close() })
	a.addActor(&g, func(context.Context) error { return a.drainOnCancel(ctx) })
	err := g.Run()
	a.dialLoopWG.Wait()
	a.log.WithError(err).Info("agent stopped")
	return err
}

// addActor adds f to the run group. When f returns, the whole agent stops.
func (a *Agent) addActor(g *run.Group, f func(context.Context) error) {
	g.Add(func() error { return f(a.ctx) }, func(error) { a.stop() })
}

// drainOnCancel waits until ctx is done, then drains the agent and marks its
// registration as left. The agent stops when it returns.
func (a *Agent) drainOnCancel(ctx context.Context) error {
	select {
	case <-a.ctx.Done():
		return nil
	case <-a.abort:
		return errors.New("agent aborted before it drained")
	case <-ctx.Done():
	}
	a.cancelRegister()
	<-a.registerEnded
	if a.registered.Load() {
		if err := a.drain(); err != nil {
			return err
		}
	}
	if !a.registrationAttempted.Load() {
		return nil
	}
	return a.leave()
}

// drain waits until all accepted tasks have ended and their results have been
// delivered. At the drain timeout, the running tasks are cancelled and the held ones
// are refused.
func (a *Agent) drain() error {
	a.log.Info("draining")
	drain := drainRequest{drained: make(chan struct{})}
	a.post(drain)
	timeout := time.NewTimer(a.settings.DrainTimeout())
	defer timeout.Stop()
	select {
	case <-drain.drained:
	case <-a.abort:
		return errors.New("agent aborted during the drain")
	case <-timeout.C:
		a.log.Warn("drain timed out; cancelling the running tasks")
		a.post(stopTasksRequest{})
		select {
		case <-drain.drained:
		case <-a.abort:
		case <-time.After(cancelTimeout):
		}
	}
	request := listConnsRequest{reply: make(chan []*entryConn, 1)}
	a.post(request)
	select {
	case conns := <-request.reply:
		waitForDelivery(conns)
	case <-a.abort:
	}
	return nil
}

func (a *Agent) leave() error {
	ctx, cancel := context.WithTimeout(a.ctx, leaveTimeout)
	defer cancel()
	return a.markLeft(ctx)
}

// post passes an event to the event loop. It returns false if the agent is
// stopping.
func (a *Agent) post(e event) bool {
	select {
	case a.events <- e:
		return true
	case <-a.ctx.Done():
		return false
	}
}

func (a *Agent) setNotReady(reason string) { a.notReadyReason.Store(&reason) }

func (a *Agent) routes() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	a.backend.Register(e)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		reason := *a.notReadyReason.Load()
		if reason == "" && a.openConns.Load() == 0 {
			reason = "no entry connected"
		}
		if reason != "" {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
	if h := a.options.MetricsHandler; h != nil {
		e.GET("/metrics", echo.WrapHandler(h))
	}
	return e
}
