package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/config/watch"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/ingress"
	"github.com/sesamelift/sesamelift/intake"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/table"
	"github.com/sesamelift/sesamelift/transport"
)

// Options configures an Entry. All fields are required except MetricsHandler.
type Options struct {
	Settings       *settings.Entry
	Credentials    *transport.Credentials
	Platform       table.Platform
	Log            *logrus.Entry
	Metrics        tally.Scope
	MetricsHandler http.Handler
	Tracer         trace.Tracer
}

const (
	// eventQueueSize is the capacity of the event queue: enough for the events
	// of several jobs of the largest size.
	eventQueueSize = 4096
	// requestQueueSize is the capacity of the request queue. The event loop
	// handles a request in about 10 µs, so a full queue delays a request by
	// about 10 ms.
	requestQueueSize = 1024
	// minShutdownTimeout is the minimum time that awaitShutdown allows for
	// sending the last answers.
	minShutdownTimeout = 2 * time.Second
	// peerReplyGrace is the time for sending the last replies to peers before
	// connections close.
	peerReplyGrace = 100 * time.Millisecond
	// leaveTimeout bounds the write that removes this entry from the roster.
	leaveTimeout = 5 * time.Second
)

// ErrRemoved is returned by Run when other entries removed this incarnation
// from the roster. The program may then start a new Entry with the same options.
var ErrRemoved = errors.New("this entry was removed from the roster by its peers")

// ErrReplaced is returned by Run when another process with the same name has
// replaced this one in the roster.
var ErrReplaced = errors.New("another entry with the same name has joined the roster; names must be unique")

// Entry is one incarnation of an entry. Its exported methods are safe for
// concurrent use. Run may be called only once.
type Entry struct {
	options      Options
	log          *logrus.Entry
	self         ownership.Member
	clock        clock
	quicListener *transport.Listener
	httpListener net.Listener
	ingress      *ingress.Server
	config       config.Holder
	watcher      *watch.Watcher
	events       chan event
	requests     chan *request
	metrics      *metrics
	verdictLog   chan verdictRecord
	peers        peers
	// registrations belongs to rosterLoop.
	registrations registrations
	// notReady holds the reason why the entry is not ready for new jobs, or ""
	// when it is ready.
	notReady atomic.Value
	health   platformHealth
	// drained is closed when the entry drains and no jobs or pending closes are
	// left.
	drained chan struct{}
	// removed is closed when the last job has finished after the entry was
	// removed from the roster. replaced is set if the roster without this entry
	// lists another process with the same name.
	removed  chan struct{}
	replaced atomic.Bool
	// forwardsInProgress counts the requests in progress that peers forwarded.
	forwardsInProgress atomic.Int64
}

// New opens the listeners of an entry. Run serves them.
func New(o Options) (*Entry, error) {
	s := o.Settings
	l, err := transport.Listen(s.PeerAddress, o.Credentials)
	if err != nil {
		return nil, err
	}
	h, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "listen for callers")
	}
	e := &Entry{
		options: o, log: o.Log.WithField("entry", s.Name), clock: clock{base: time.Now()}, quicListener: l, httpListener: h,
		events: make(chan event, eventQueueSize), requests: make(chan *request, requestQueueSize), metrics: newMetrics(o.Metrics),
		verdictLog: make(chan verdictRecord, eventQueueSize),
		drained:    make(chan struct{}), removed: make(chan struct{}),
	}
	e.self = ownership.Member{
		Name: s.Name, Incarnation: rand.Uint64() | 1, PeerAddr: l.Addr(), CallerAddr: h.Addr().String(), Zone: s.Zone,
	}
	e.peers.init(e)
	e.watcher = watch.New(watch.Options{
		Table: o.Platform, Holder: &e.config, Name: s.Name, Incarnation: e.self.Incarnation, Log: e.log,
	})
	e.notReady.Store("starting: the platform has not been reached yet")
	e.ingress = ingress.New(ingress.Options{
		Service: e, OperatorToken: s.OperatorToken, TeamTokens: s.TeamTokens, RequestsPerSecond: s.CallerRequestsPerSecond,
	}, o.MetricsHandler)
	return e, nil
}

// CallerAddr returns the address for callers and operators.
func (e *Entry) CallerAddr() string { return e.httpListener.Addr().String() }

// PeerAddr returns the address for agents and other entries.
func (e *Entry) PeerAddr() string { return e.quicListener.Addr() }

// Incarnation returns the incarnation number of this entry.
func (e *Entry) Incarnation() uint64 { return e.self.Incarnation }

// Run serves until ctx ends, then waits for the jobs in progress for at most
// the drain timeout, leaves the roster and closes. If other entries removed
// this incarnation, it returns ErrRemoved or ErrReplaced once no job is in
// progress.
func (e *Entry) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, workCtx := errgroup.WithContext(workCtx)
	guard := intake.NewGuard(intake.Options{
		Limits: intake.Derive(intake.ProcessResources()), Metrics: e.options.Metrics,
		Log: func(l decisions.Line) { l.Write(e.log) },
	})
	server := guard.Protect(e.ingress.HTTPServer())
	listener := guard.ListenForCallers(e.httpListener)
	loops := []func(context.Context) error{
		e.eventLoop, e.rosterLoop, e.configLoop, e.ownershipLoop, e.peers.loop, e.logLoop, e.acceptLoop,
	}
	for _, loop := range loops {
		g.Go(func() error { return loop(workCtx) })
	}
	g.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve callers")
		}
		return nil
	})
	g.Go(func() error {
		err := e.awaitShutdown(ctx, workCtx, server)
		stop()
		_ = e.quicListener.Close()
		return err
	})
	return g.Wait()
}

// awaitShutdown waits until the entry has to stop and then lets the requests in
// progress finish, including those that peers forwarded.
func (e *Entry) awaitShutdown(ctx, workCtx context.Context, server *http.Server) error {
	var result error
	began := time.Now()
	select {
	case <-ctx.Done():
		began = time.Now()
		e.drain(workCtx)
	case <-e.removed:
		began, result = time.Now(), ErrRemoved
		if e.replaced.Load() {
			result = ErrReplaced
		}
	case <-workCtx.Done():
	}
	remaining := max(minShutdownTimeout, e.options.Settings.DrainTimeout()-time.Since(began))
	if workCtx.Err() != nil {
		remaining = minShutdownTimeout
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	_ = server.Shutdown(shutdownCtx)
	for e.forwardsInProgress.Load() > 0 && sleepFor(shutdownCtx, peerReplyGrace/10) {
	}
	sleepFor(shutdownCtx, peerReplyGrace)
	return result
}

// drain waits for the jobs in progress and leaves the roster.
func (e *Entry) drain(ctx context.Context) {
	e.log.Info("draining")
	e.notReady.Store("draining")
	e.post(ctx, func(ls *loopState) { ls.draining = true })
	timeout := time.NewTimer(e.options.Settings.DrainTimeout())
	defer timeout.Stop()
	select {
	case <-e.drained:
	case <-timeout.C:
		e.log.Warn("drain timeout exceeded; failing the jobs in progress")
		e.post(ctx, func(ls *loopState) { ls.failAll("the entry shut down before the job was complete") })
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := e.leaveRoster(ctx); err != nil {
		e.log.WithError(err).Warn("could not leave the roster; the peers will remove this entry")
	}
}

// NotReadyReason implements ingress.Service.
func (e *Entry) NotReadyReason() string { return e.notReady.Load().(string) }
