// Package agent is the process beside a backend server: it monitors the backend
// server, enforces the slot limit, keeps the ledger of started tasks and runs
// tasks over HTTP.
//
// Input: starts, settles, fences and rosters from entries; announcements and
// responses of the backend server. Output: results and load. State: goroutines
// and connections; the ledger, the slots and all decisions belong to the core
// loop.
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
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/table"
	"github.com/sesamelift/sesamelift/transport"
)

const (
	// eventQueue is the capacity of the queue of the core loop. A full queue
	// stops the readers of connections, and QUIC flow control then stops the
	// entries.
	eventQueue = 1024
	// readHeaderTimeout bounds a slow client of the announce address.
	readHeaderTimeout = 5 * time.Second
	// stopGrace bounds how long cancelled tasks take to report at the end of a
	// drain.
	stopGrace = 2 * time.Second
	// leaveTimeout bounds the write of the registration row at the end of a
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
	// MetricsHandler serves /metrics; nil means that there is none.
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
	slots       int

	events chan event
	work   chan *task
	// ctx ends every goroutine of the agent.
	ctx   context.Context
	stop  context.CancelFunc
	abort chan struct{}
	once  sync.Once

	// joining ends the registration, joinEnded is closed after it.
	joining    context.Context
	cancelJoin context.CancelFunc
	joinEnded  chan struct{}
	// attempted is set when a registration may have been written.
	attempted  atomic.Bool
	registered atomic.Bool
	running    atomic.Int64
	links      atomic.Int64
	// dials are the loops of the connections.
	dials sync.WaitGroup
	// unready says why the agent takes no tasks, or is empty.
	unready atomic.Pointer[string]
}

// New returns an agent that listens on its announce address. Run must be called
// to serve it.
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
		events:  make(chan event, eventQueue),
		abort:   make(chan struct{}),
	}
	a.log = o.Log.WithFields(logrus.Fields{"worker": o.Settings.Name, "incarnation": a.incarnation})
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.joining, a.cancelJoin = context.WithCancel(a.ctx)
	a.joinEnded = make(chan struct{})
	a.backend = backend.New(backend.Options{
		Connections:    o.Settings.Connections,
		HealthInterval: o.Settings.HealthInterval(),
		Running:        func() int { return int(a.running.Load()) },
		Log:            a.log,
	})
	a.slots = min(o.Settings.Slots, a.backend.TaskConnections())
	a.work = make(chan *task, a.slots)
	a.setUnready(reasonStarting)
	return a, nil
}

func newIncarnation() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// AnnounceAddr returns the address in use for the backend server.
func (a *Agent) AnnounceAddr() string { return a.listener.Addr().String() }

// Abort ends Run at once, without a drain. Running tasks are in doubt then.
func (a *Agent) Abort() { a.once.Do(func() { close(a.abort) }) }

// Run serves until ctx ends, then drains. It returns nil after a complete
// drain. It must be called once.
func (a *Agent) Run(ctx context.Context) error {
	a.log.WithField("announce_address", a.AnnounceAddr()).Info("agent starts")
	if a.slots < a.settings.Slots {
		a.log.WithField("slots", a.slots).Warn("slots are limited by the setting connections")
	}
	core := newCore(a)
	var g run.Group
	a.add(&g, core.run)
	a.add(&g, a.backend.Run)
	a.add(&g, a.follow)
	for range a.slots {
		a.add(&g, a.runTasks)
	}
	server := &http.Server{Handler: a.routes(), ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return errors.Wrap(server.Serve(a.listener), "serve the announce address") },
		func(error) { _ = server.Close() })
	a.add(&g, func(context.Context) error { return a.drainAfter(ctx) })
	err := g.Run()
	a.dials.Wait()
	a.log.WithError(err).Info("agent ended")
	return err
}

// add adds an actor that ends with the agent.
func (a *Agent) add(g *run.Group, f func(context.Context) error) {
	g.Add(func() error { return f(a.ctx) }, func(error) { a.stop() })
}

// drainAfter waits for the end of ctx and drains. Its return ends the agent.
func (a *Agent) drainAfter(ctx context.Context) error {
	select {
	case <-a.ctx.Done():
		return nil
	case <-a.abort:
		return errors.New("stopped without a drain")
	case <-ctx.Done():
	}
	a.cancelJoin()
	<-a.joinEnded
	if a.registered.Load() {
		if err := a.drain(); err != nil {
			return err
		}
	}
	if !a.attempted.Load() {
		return nil
	}
	return a.leave()
}

// drain waits until all accepted tasks have ended and their results are
// delivered.
func (a *Agent) drain() error {
	a.log.Info("draining")
	d := drainRequest{drained: make(chan struct{})}
	a.post(d)
	timeout := time.NewTimer(a.settings.DrainTimeout())
	defer timeout.Stop()
	select {
	case <-d.drained:
	case <-a.abort:
		return errors.New("stopped without a complete drain")
	case <-timeout.C:
		a.log.Warn("drain deadline is over, stopping the running tasks")
		a.post(stopTasks{})
		select {
		case <-d.drained:
		case <-a.abort:
		case <-time.After(stopGrace):
		}
	}
	f := flushRequest{done: make(chan []*link, 1)}
	a.post(f)
	select {
	case links := <-f.done:
		confirmAll(links)
	case <-a.abort:
	}
	return nil
}

func (a *Agent) leave() error {
	ctx, cancel := context.WithTimeout(a.ctx, leaveTimeout)
	defer cancel()
	return a.markLeft(ctx)
}

// post hands an event to the core loop. It returns false when the agent ends.
func (a *Agent) post(e event) bool {
	select {
	case a.events <- e:
		return true
	case <-a.ctx.Done():
		return false
	}
}

func (a *Agent) setUnready(reason string) { a.unready.Store(&reason) }

func (a *Agent) routes() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	a.backend.Register(e)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		reason := *a.unready.Load()
		if reason == "" && a.links.Load() == 0 {
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
