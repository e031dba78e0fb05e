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
	// AnnounceInterval is the time between two announcements. An agent that has
	// restarted knows nothing of its backend server until the next one.
	AnnounceInterval = 500 * time.Millisecond
	// announceTimeout bounds one request to the agent.
	announceTimeout = 2 * time.Second
	// quietTime is how long no task may run before a leaving server closes: a
	// task that the agent started before it heard the leave may still arrive.
	quietTime = 200 * time.Millisecond
	// defaultStragglerFactor is how many times longer stragglers run.
	defaultStragglerFactor = 20
	// finishTimeout bounds how long a leaving server waits for its tasks. A few
	// take several seconds, stragglers many times that.
	finishTimeout = time.Minute
)

// BackendFaults are the faults of the backend server stand-in.
type BackendFaults struct {
	// FailAll answers every task with an error at once.
	FailAll bool `json:"fail_all"`
	// DropAfterWork closes the connection when the work is done.
	DropAfterWork bool `json:"drop_after_work"`
	// Hang never answers; the work is never done.
	Hang bool `json:"hang"`
	// SlowFactor multiplies the run time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// ResultBytes adds as many bytes to each result.
	ResultBytes int `json:"result_bytes"`
	// StragglerShare is the share of tasks that run StragglerFactor times
	// longer, 0 to 1. Which tasks depends on key, task and Seed alone.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	Seed            uint64  `json:"seed"`
	// Unhealthy fails the health check.
	Unhealthy bool `json:"unhealthy"`
}

// BackendOptions are the options of NewBackend.
type BackendOptions struct {
	// Address is the IP address and port to serve tasks on.
	Address string
	// AgentAddress is where the agent takes announcements. It may be empty;
	// then nothing is announced.
	AgentAddress string
	Name         string
	Services     []string
	// Speed divides the run time of tasks; 0 means 1.
	Speed  float64
	Faults BackendFaults
	// Executions counts the runs; nil means a counter of its own.
	Executions *Executions
}

// Backend is the backend server stand-in.
type Backend struct {
	o      BackendOptions
	server *server
	runs   *Executions
	client *http.Client

	mu      sync.Mutex
	faults  BackendFaults
	running int
	peak    int
	// hung is how many of the running tasks will never finish.
	hung int
	// idleSince is when the last task ended.
	idleSince time.Time
	killed    chan struct{}
	killOnce  sync.Once
}

// NewBackend returns a backend server that listens but does not serve yet.
func NewBackend(o BackendOptions) (*Backend, error) {
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Speed < 0 {
		return nil, errors.Errorf("speed is %v, it must be positive", o.Speed)
	}
	if o.AgentAddress != "" {
		if _, err := netip.ParseAddrPort(o.AgentAddress); err != nil {
			return nil, errors.Wrapf(err, "agent address %q is not an IP address and port", o.AgentAddress)
		}
	}
	b := &Backend{
		o: o, runs: o.Executions, faults: o.Faults, killed: make(chan struct{}),
		client: &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
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

// Addr returns the address that tasks are served on.
func (b *Backend) Addr() string { return b.server.addr }

// Executions returns the counter of runs.
func (b *Backend) Executions() *Executions { return b.runs }

// SetFaults replaces the faults. They hold for tasks that arrive from now on.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Faults returns the faults.
func (b *Backend) Faults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// Running returns the number of tasks that run now and the highest number that
// ran at once.
func (b *Backend) Running() (now, peak int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.peak
}

// Kill ends the server as a crash does: connections are closed, nothing is
// announced. Run returns.
func (b *Backend) Kill() {
	b.killOnce.Do(func() {
		close(b.killed)
		_ = b.server.http.Close()
	})
}

// Run serves tasks and announces the server to its agent until ctx ends. Then
// it tells the agent that it leaves, and returns when no task runs any more.
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
	b.finishTasks()
	stopServing()
	return <-served
}

func (b *Backend) announceLoop(ctx context.Context) {
	if b.o.AgentAddress == "" {
		return
	}
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for {
		// A failure is not reported: the agent may start later, and the next
		// attempt follows soon.
		_ = b.tellAgent(ctx, "/announce", announcement{Name: b.o.Name, Address: b.Addr(), Services: b.o.Services})
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
	if b.o.AgentAddress == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	_ = b.tellAgent(ctx, "/leave", announcement{Name: b.o.Name})
}

func (b *Backend) tellAgent(ctx context.Context, path string, a announcement) error {
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.o.AgentAddress+path, bytes.NewReader(body))
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

// finishTasks waits until no task has run for quietTime, apart from those that
// hang.
func (b *Backend) finishTasks() {
	b.mu.Lock()
	b.idleSince = time.Now()
	b.mu.Unlock()
	timeout := time.NewTimer(finishTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(quietTime / 10)
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
		quiet := b.running == b.hung && time.Since(b.idleSince) >= quietTime
		b.mu.Unlock()
		if quiet {
			return
		}
	}
}
