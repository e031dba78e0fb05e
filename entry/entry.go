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
	"github.com/sesamelift/sesamelift/ingress"
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
	// eventQueue is the capacity of the queue of the core loop. It holds the
	// events of several of the largest jobs.
	eventQueue = 4096
	// requestQueue is the capacity of the queue of requests. The core loop
	// handles a request in some 10 µs, so that a full queue is a wait of 10 ms.
	requestQueue = 1024
	// answerTime is the least time for writing the last answers.
	answerTime = 2 * time.Second
	// peerGrace lets the last replies to peers leave before connections close.
	peerGrace = 100 * time.Millisecond
	// leaveTimeout bounds the write that removes this entry from the roster.
	leaveTimeout = 5 * time.Second
)

// ErrRemoved is returned by Run when other entries removed this incarnation
// from the roster. A new Entry with the same options may take its place.
var ErrRemoved = errors.New("this entry was removed from the roster by its peers")

// ErrReplaced is returned by Run when another process with the same name has
// taken the place of this one in the roster.
var ErrReplaced = errors.New("another entry with the same name has joined the roster; names must be unique")

// Entry is one incarnation of an entry. Its exported methods are safe for
// concurrent use; Run is called once.
type Entry struct {
	o        Options
	log      *logrus.Entry
	self     ownership.Member
	clock    clock
	listener *transport.Listener
	http     net.Listener
	ingress  *ingress.Server
	config   config.Holder
	watcher  *watch.Watcher
	events   chan event
	requests chan *request
	metrics  *metrics
	verdicts chan verdictLine
	peers    peers
	// notReady holds the reason why no new jobs are taken, empty when ready.
	notReady atomic.Value
	health   platformHealth
	drained  chan struct{}
	removed  chan struct{}
	replaced atomic.Bool
	// forwarded is the number of requests of peers in progress.
	forwarded atomic.Int64
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
		o: o, log: o.Log.WithField("entry", s.Name), clock: clock{base: time.Now()}, listener: l, http: h,
		events: make(chan event, eventQueue), requests: make(chan *request, requestQueue), metrics: newMetrics(o.Metrics),
		verdicts: make(chan verdictLine, eventQueue),
		drained:  make(chan struct{}), removed: make(chan struct{}),
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
func (e *Entry) CallerAddr() string { return e.http.Addr().String() }

// PeerAddr returns the address for agents and other entries.
func (e *Entry) PeerAddr() string { return e.listener.Addr() }

// Incarnation returns the number of this incarnation.
func (e *Entry) Incarnation() uint64 { return e.self.Incarnation }

// Run serves until ctx ends, then finishes the jobs in progress for at most the
// drain timeout, leaves the roster and closes. It returns ErrRemoved when other
// entries removed this incarnation, once the tasks that it started have ended.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	server := e.ingress.HTTPServer()
	loops := []func(context.Context) error{
		e.coreLoop, e.rosterLoop, e.configLoop, e.resolveLoop, e.peers.loop, e.logLoop, e.acceptLoop,
	}
	for _, loop := range loops {
		g.Go(func() error { return loop(work) })
	}
	g.Go(func() error {
		if err := server.Serve(e.http); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve callers")
		}
		return nil
	})
	g.Go(func() error {
		err := e.untilEnd(ctx, work, server)
		stop()
		_ = e.listener.Close()
		return err
	})
	return g.Wait()
}

// untilEnd waits for the end of the service and lets the requests in progress
// finish, including those that other entries answer.
func (e *Entry) untilEnd(ctx, work context.Context, server *http.Server) error {
	var result error
	began := time.Now()
	select {
	case <-ctx.Done():
		began = time.Now()
		e.drain(work)
	case <-e.removed:
		began, result = time.Now(), ErrRemoved
		if e.replaced.Load() {
			result = ErrReplaced
		}
	case <-work.Done():
	}
	left := max(answerTime, e.o.Settings.DrainTimeout()-time.Since(began))
	if work.Err() != nil {
		left = answerTime
	}
	end, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	_ = server.Shutdown(end)
	for e.forwarded.Load() > 0 && sleepFor(end, peerGrace/10) {
	}
	sleepFor(end, peerGrace)
	return result
}

// drain waits for the jobs in progress and leaves the roster.
func (e *Entry) drain(ctx context.Context) {
	e.log.Info("draining")
	e.notReady.Store("draining")
	e.post(ctx, func(c *core) { c.draining = true })
	timeout := time.NewTimer(e.o.Settings.DrainTimeout())
	defer timeout.Stop()
	select {
	case <-e.drained:
	case <-timeout.C:
		e.log.Warn("the drain timeout is over; jobs in progress fail")
		e.post(ctx, func(c *core) { c.failAll("the entry shut down before the job was complete") })
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := e.leaveRoster(ctx); err != nil {
		e.log.WithError(err).Warn("could not leave the roster; the peers will remove this entry")
	}
}

// Ready implements ingress.Service.
func (e *Entry) Ready() string { return e.notReady.Load().(string) }
