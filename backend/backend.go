// Package backend implements the HTTP interface between an agent and its backend
// server.
//
// A Server accepts the announcements of the backend server, monitors its health and
// sends tasks to it. The result of a task says whether the task may have run. All
// methods of Server are safe for concurrent use.
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
	// maxFailedChecks is the number of consecutive failed health checks after
	// which the backend server is considered down. A single lost check should not
	// move tasks to other workers.
	maxFailedChecks = 3
	// dialTimeout limits a connection attempt. It is short because the backend
	// server runs beside the agent.
	dialTimeout = 2 * time.Second
	// idleConnTimeout is how long a connection may stay idle before it is closed.
	// It removes connections that were opened for a load peak.
	idleConnTimeout = 90 * time.Second
)

// Status is the status of the backend server as known to the agent.
type Status int

// Statuses.
const (
	// Absent means that no backend server has announced itself.
	Absent Status = iota
	// Starting means that it announced itself and has not passed a health check
	// yet.
	Starting
	// Up means that it takes tasks.
	Up
	// Down means that it failed its health checks or refused a connection.
	Down
	// Leaving means that it sent a leave request.
	Leaving
)

// String returns the name of the status, as used in replies and logs.
func (s Status) String() string {
	return [...]string{"absent", "starting", "up", "down", "leaving"}[s]
}

// State describes the backend server. Services is sorted and must not be modified.
type State struct {
	Status   Status
	Name     string
	Address  string
	Services []string
}

// Options configures a Server.
type Options struct {
	// Connections is the maximum number of connections to the backend server. One
	// of them is reserved for health checks. Values below 2 count as 2.
	Connections int
	// HealthInterval is the time between health checks and also their timeout. A
	// backend server that is up and has answered a task within the interval is not
	// checked.
	HealthInterval time.Duration
	// Running returns the number of running tasks, for replies to the backend
	// server.
	Running func() int
	Log     *logrus.Entry
}

// Server tracks the backend server of an agent and sends tasks to it.
type Server struct {
	options       Options
	taskTransport *http.Transport
	healthClient  *http.Client
	changed       chan struct{}
	checkNow      chan struct{}

	mu           sync.Mutex
	state        State
	failedChecks int
	// lastAnswer is when the backend server last answered a task or passed a
	// health check.
	lastAnswer time.Time
}

// New returns a Server in the status Absent. Run must be called to check the health
// of the backend server once it has announced itself.
func New(o Options) *Server {
	return &Server{
		options:       o,
		taskTransport: newTransport(max(1, o.Connections-1)),
		healthClient:  &http.Client{Transport: newTransport(1), Timeout: o.HealthInterval, CheckRedirect: noRedirect},
		changed:       make(chan struct{}, 1),
		checkNow:      make(chan struct{}, 1),
	}
}

// TaskConnections returns the number of tasks that can be sent concurrently.
func (s *Server) TaskConnections() int { return s.taskTransport.MaxConnsPerHost }

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

// State returns the current state of the backend server.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Changed returns a channel that receives a value after the state has changed.
// Several changes may be signalled by one value. While the status is Starting, a new
// name or new services are not signalled, but the change to Up that follows is.
func (s *Server) Changed() <-chan struct{} { return s.changed }

// Run checks the health of the backend server until ctx is done. It returns nil.
func (s *Server) Run(ctx context.Context) error {
	t := time.NewTicker(s.options.HealthInterval)
	defer t.Stop()
	defer s.taskTransport.CloseIdleConnections()
	defer s.healthClient.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.checkNow:
			s.checkHealth(ctx)
		case now := <-t.C:
			if s.checkDue(now) {
				s.checkHealth(ctx)
			}
		}
	}
}

// checkDue reports whether a health check is due. A backend server that is up and
// has answered within the interval needs none.
func (s *Server) checkDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.state.Status {
	case Starting, Down:
		return true
	case Up:
		return now.Sub(s.lastAnswer) >= s.options.HealthInterval
	}
	return false
}

func (s *Server) checkHealth(ctx context.Context) {
	address := s.State().Address
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return
	}
	res, err := s.healthClient.Do(req)
	if err == nil {
		_ = res.Body.Close()
	}
	if ctx.Err() != nil {
		return
	}
	s.recordCheck(address, err == nil && res.StatusCode/100 == 2)
}

func (s *Server) recordCheck(address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Address != address {
		return
	}
	if ok {
		s.recordHealthy()
		return
	}
	s.failedChecks++
	if s.state.Status == Up && s.failedChecks >= maxFailedChecks {
		s.setStatus(Down)
	}
}

// recordHealthy records a successful health check. The caller must hold mu.
func (s *Server) recordHealthy() {
	s.failedChecks, s.lastAnswer = 0, time.Now()
	if s.state.Status == Starting || s.state.Status == Down {
		s.setStatus(Up)
	}
}

// recordAnswer records that the backend server at address answered a task.
func (s *Server) recordAnswer(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Address == address {
		s.failedChecks, s.lastAnswer = 0, time.Now()
	}
}

// recordConnRefused records that the backend server at address refused a
// connection. No process listens there, so it is down without further checks.
func (s *Server) recordConnRefused(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Address == address && s.state.Status == Up {
		s.setStatus(Down)
	}
}

// applyAnnouncement sets the name, address and services of the backend server, and
// its status to Starting until a health check succeeds. A backend server that is
// already up at this address stays Up.
func (s *Server) applyAnnouncement(name, address string, services []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	services = slices.Clone(services)
	slices.Sort(services)
	services = slices.Compact(services)
	upAtAddress := s.state.Address == address && s.state.Status == Up
	if upAtAddress && s.state.Name == name && slices.Equal(s.state.Services, services) {
		return
	}
	repeated := s.state.Address == address && s.state.Status == Starting
	s.state.Name, s.state.Address, s.state.Services = name, address, services
	if repeated {
		// A repeated announcement does not cause an extra health check.
		return
	}
	if upAtAddress {
		s.setStatus(Up) // signals the new name or services
		return
	}
	s.failedChecks = 0
	s.setStatus(Starting)
	select {
	case s.checkNow <- struct{}{}:
	default:
	}
}

func (s *Server) markLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Status != Absent && s.state.Status != Leaving {
		s.setStatus(Leaving)
	}
}

// setStatus sets the status and signals a change. The caller must hold mu.
func (s *Server) setStatus(status Status) {
	s.state.Status = status
	s.options.Log.WithFields(logrus.Fields{
		"backend": s.state.Name, "address": s.state.Address, "status": status.String(),
	}).Info("state of the backend server changed")
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
