package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// AnnounceInterval is the time between two announcements. A restarted agent
	// does not know its backend server until the next announcement.
	AnnounceInterval = 500 * time.Millisecond
	// agentRequestTimeout limits the duration of one request to the agent.
	agentRequestTimeout = 2 * time.Second
	// drainIdleTime is how long a leaving server must have been idle before it
	// closes. A task that the agent sent before it received the leave request may
	// still arrive.
	drainIdleTime = 200 * time.Millisecond
	// defaultStragglerFactor multiplies the run time of stragglers if no factor
	// is set.
	defaultStragglerFactor = 20
	// drainTimeout limits how long a leaving server waits for its tasks. Some
	// tasks take several seconds, and stragglers many times as long.
	drainTimeout = time.Minute
)

// BackendFaults are the faults that a Backend injects.
type BackendFaults struct {
	// FailAll answers every task with an error immediately.
	FailAll bool `json:"fail_all"`
	// DropAfterWork closes the connection without a reply when a task has run.
	DropAfterWork bool `json:"drop_after_work"`
	// Hang accepts tasks, but neither runs nor answers them.
	Hang bool `json:"hang"`
	// SlowFactor multiplies the run time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// ResultBytes is the amount of padding added to each result, in bytes.
	ResultBytes int `json:"result_bytes"`
	// StragglerShare is the share of tasks that run StragglerFactor times
	// longer, 0 to 1. The job key, the task number and Seed alone determine which
	// tasks these are. A StragglerFactor of 0 means 20.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	Seed            uint64  `json:"seed"`
	// Unhealthy makes the health check fail.
	Unhealthy bool `json:"unhealthy"`
}

// BackendOptions configure a Backend.
type BackendOptions struct {
	// Address is the IP address and port on which tasks are served.
	Address string
	// AgentAddress is the IP address and port on which the agent accepts
	// announcements. If it is empty, the server does not announce itself.
	AgentAddress string
	Name         string
	Services     []string
	// Speed divides the run time of tasks; 0 means 1.
	Speed  float64
	Faults BackendFaults
	// Executions counts the runs. If it is nil, the Backend creates its own.
	Executions *Executions
}

// Backend simulates a backend server.
type Backend struct {
	options BackendOptions
	server  *server
	runs    *Executions
	client  *http.Client

	mu      sync.Mutex
	faults  BackendFaults
	running int
	peak    int
	// hung is the number of running tasks that hang. They end only when their
	// connection is closed or the server is killed.
	hung int
	// idleSince is when the last task ended, or when draining began if that was
	// later.
	idleSince time.Time
	killed    chan struct{}
	killOnce  sync.Once
}

// NewBackend returns a backend server that listens. Run serves its connections.
func NewBackend(o BackendOptions) (*Backend, error) {
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Speed < 0 {
		return nil, errors.Errorf("speed must be positive, got %v", o.Speed)
	}
	if o.AgentAddress != "" {
		if _, err := netip.ParseAddrPort(o.AgentAddress); err != nil {
			return nil, errors.Wrapf(err, "agent address %q is not an IP address and port", o.AgentAddress)
		}
	}
	b := &Backend{
		options: o, runs: o.Executions, faults: o.Faults, killed: make(chan struct{}),
		client: &http.Client{Timeout: agentRequestTimeout, Transport: &http.Transport{}},
	}
	if b.runs == nil {
		b.runs = &Executions{}
	}
	s, err := listen(o.Address, b.routes())
	if err != nil {
		return nil, err
	}
	b.server = s
	return b, nil
}

// Addr returns the IP address and port on which tasks are served.
func (b *Backend) Addr() string { return b.server.addr }

// Executions returns the run counter.
func (b *Backend) Executions() *Executions { return b.runs }

// SetFaults replaces the faults. They apply to tasks that arrive afterwards.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Faults returns the current faults.
func (b *Backend) Faults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// Running returns the number of running tasks and the highest number of tasks
// that ran at the same time.
func (b *Backend) Running() (current, peak int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.peak
}

// Kill simulates a crash: it closes all connections and sends no leave request.
// Run returns.
func (b *Backend) Kill() {
	b.killOnce.Do(func() {
		close(b.killed)
		_ = b.server.http.Close()
	})
}

// Run serves tasks and announces the server to its agent until ctx is done. Then
// it sends the agent a leave request, waits for the running tasks and returns.
func (b *Backend) Run(ctx context.Context) error {
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	served := make(chan error, 1)
	go func() { served <- b.server.run(serveCtx) }()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		b.announceLoop(ctx)
	}()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	<-announced
	b.leave()
	b.drain()
	stopServing()
	return <-served
}

func (b *Backend) announceLoop(ctx context.Context) {
	if b.options.AgentAddress == "" {
		return
	}
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for {
		// Errors are ignored: the agent may start later, and the next announcement
		// follows after AnnounceInterval.
		_ = b.postToAgent(ctx, "/announce", announcement{Name: b.options.Name, Address: b.Addr(), Services: b.options.Services})
		select {
		case <-ctx.Done():
			return
		case <-b.killed:
			return
		case <-ticker.C:
		}
	}
}

type announcement struct {
	Name     string   `json:"name"`
	Address  string   `json:"address,omitempty"`
	Services []string `json:"services,omitempty"`
}

func (b *Backend) leave() {
	if b.options.AgentAddress == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), agentRequestTimeout)
	defer cancel()
	_ = b.postToAgent(ctx, "/leave", announcement{Name: b.options.Name})
}

func (b *Backend) postToAgent(ctx context.Context, path string, a announcement) error {
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.options.AgentAddress+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := b.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode >= 300 {
		return errors.Errorf("agent answered %s with status %d", path, resp.StatusCode)
	}
	return nil
}

// drain waits until no task has run for drainIdleTime, not counting tasks that
// hang. It gives up after drainTimeout.
func (b *Backend) drain() {
	b.mu.Lock()
	b.idleSince = time.Now()
	b.mu.Unlock()
	timeout := time.NewTimer(drainTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(drainIdleTime / 10)
	defer ticker.Stop()
	for {
		select {
		case <-b.killed:
			return
		case <-timeout.C:
			return
		case <-ticker.C:
		}
		b.mu.Lock()
		idle := b.running == b.hung && time.Since(b.idleSince) >= drainIdleTime
		b.mu.Unlock()
		if idle {
			return
		}
	}
}
