// Package backend is the HTTP interface to the one backend server that an agent
// serves.
//
// Input: announcements of the backend server, tasks to run. Output: state
// changes, results with a verdict that says whether the task may have run.
// State: what the backend server announced and whether it answers. All methods
// of Server are safe for concurrent use.
package backend

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// failedChecks is how many health checks in a row must fail before the
	// backend server counts as down. One lost check is no reason to move work.
	failedChecks = 3
	// dialTimeout bounds a connection attempt; the backend server is beside the
	// agent.
	dialTimeout = 2 * time.Second
	// idleConnTimeout closes connections that a load peak has left behind.
	idleConnTimeout = 90 * time.Second
)

// Status is what the agent knows of its backend server.
type Status int

// Statuses.
const (
	// Absent means that no backend server has announced itself.
	Absent Status = iota
	// Starting means that it announced itself and has not answered yet.
	Starting
	// Up means that it takes tasks.
	Up
	// Down means that it stopped answering.
	Down
	// Leaving means that it said that it leaves.
	Leaving
)

// String returns the status in one word.
func (s Status) String() string {
	return [...]string{"absent", "starting", "up", "down", "leaving"}[s]
}

// State describes the backend server. Services is not written to after it has
// been returned.
type State struct {
	Status   Status
	Name     string
	Address  string
	Services []string
}

// Options configures a Server.
type Options struct {
	// Connections bounds the connections to the backend server; one of them is
	// kept for health checks. At least 2 are used.
	Connections int
	// HealthInterval is the time between health checks, and the time without an
	// answer after which the backend server is checked.
	HealthInterval time.Duration
	// Running returns how many tasks run, for the answer to a leave request.
	Running func() int
	Log     *logrus.Entry
}

// Server is the agent's view of its backend server.
type Server struct {
	options Options
	tasks   *http.Transport
	health  *http.Client
	changed chan struct{}
	check   chan struct{}

	mu     sync.Mutex
	state  State
	failed int
	heard  time.Time
}

// New returns a Server without a backend server. Run must be called for it to
// notice one.
func New(o Options) *Server {
	return &Server{
		options: o,
		tasks:   newTransport(max(1, o.Connections-1)),
		health:  &http.Client{Transport: newTransport(1), Timeout: o.HealthInterval, CheckRedirect: noRedirect},
		changed: make(chan struct{}, 1),
		check:   make(chan struct{}, 1),
	}
}

// TaskConnections returns how many tasks can be sent at once.
func (s *Server) TaskConnections() int { return s.tasks.MaxConnsPerHost }

func newTransport(connections int) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: c}, nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// State returns the current state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Changed receives a value after the state has changed. Changes in quick
// succession share one value.
func (s *Server) Changed() <-chan struct{} { return s.changed }

// Run checks the health of the backend server until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	t := time.NewTicker(s.options.HealthInterval)
	defer t.Stop()
	defer s.tasks.CloseIdleConnections()
	defer s.health.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.check:
			s.checkHealth(ctx)
		case now := <-t.C:
			if s.due(now) {
				s.checkHealth(ctx)
			}
		}
	}
}

// due reports whether the backend server must be checked. One that answered a
// task within the interval needs no check.
func (s *Server) due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.state.Status {
	case Starting, Down:
		return true
	case Up:
		return now.Sub(s.heard) >= s.options.HealthInterval
	}
	return false
}

func (s *Server) checkHealth(ctx context.Context) {
	address := s.State().Address
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return
	}
	res, err := s.health.Do(req)
	if err == nil {
		_ = res.Body.Close()
	}
	if ctx.Err() != nil {
		return
	}
	s.checked(address, err == nil && res.StatusCode/100 == 2)
}

func (s *Server) checked(address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Address != address {
		return
	}
	if ok {
		s.alive()
		return
	}
	s.failed++
	if s.state.Status == Up && s.failed >= failedChecks {
		s.setStatus(Down)
	}
}

// alive notes an answer of the backend server. The caller holds mu.
func (s *Server) alive() {
	s.failed, s.heard = 0, time.Now()
	if s.state.Status == Starting || s.state.Status == Down {
		s.setStatus(Up)
	}
}

// answered notes that the backend server at address answered a task.
func (s *Server) answered(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Address == address {
		s.failed, s.heard = 0, time.Now()
	}
}

// refused notes that the backend server at address refused a connection: no
// process listens there any more.
func (s *Server) refused(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Address == address && s.state.Status == Up {
		s.setStatus(Down)
	}
}

// announce sets what the backend server says of itself.
func (s *Server) announce(name, address string, services []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	services = slices.Clone(services)
	slices.Sort(services)
	services = slices.Compact(services)
	same := s.state.Address == address && s.state.Status == Up
	if same && s.state.Name == name && slices.Equal(s.state.Services, services) {
		return
	}
	repeated := s.state.Address == address && s.state.Status == Starting
	s.state.Name, s.state.Address, s.state.Services = name, address, services
	if repeated {
		// The next check is due at the next interval.
		return
	}
	if same {
		s.setStatus(Up)
		return
	}
	s.failed = 0
	s.setStatus(Starting)
	select {
	case s.check <- struct{}{}:
	default:
	}
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Status != Absent && s.state.Status != Leaving {
		s.setStatus(Leaving)
	}
}

// setStatus changes the status and signals the change. The caller holds mu.
func (s *Server) setStatus(status Status) {
	s.state.Status = status
	s.options.Log.WithFields(logrus.Fields{
		"backend": s.state.Name, "address": s.state.Address, "status": status.String(),
	}).Info("backend server changed")
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
