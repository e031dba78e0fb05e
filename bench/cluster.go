package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/sesamelift/sesamelift/agent"
	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/entry"
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/standin"
	"github.com/sesamelift/sesamelift/table"
	"github.com/sesamelift/sesamelift/transport"
)

// Size of the deployment in the brief.
const (
	serviceName    = "cleft-assessor"
	slotsPerWorker = 8
	longSlots      = 6
	holdPerWorker  = 4
	connections    = 64
	entryCount     = 3
	loopback       = "127.0.0.1:0"
	operatorToken  = "bench-operator-token"
	teamQuota      = 100_000
)

const (
	readyTimeout = 10 * time.Second
	// drainTimeout bounds the end of a run; all answers are there by then.
	drainTimeout = time.Second
)

var zones = []string{"salalah-kiln", "taqah-shed", "mirbat-store"}

// speeds of the backend servers; their mean is 1.
var speeds = []float64{1, 1.3, 0.7, 1, 1.2, 0.8, 1, 1.1, 0.9, 1.4, 0.6}

// capacity is the work per unit of time of all slots.
func capacity() float64 {
	sum := 0.0
	for _, s := range speeds {
		sum += s * slotsPerWorker
	}
	return sum
}

// worker is an agent with its backend server.
type worker struct {
	name    string
	agent   *agent.Agent
	backend *standin.Backend
	runs    *standin.Executions
	metrics tally.TestScope
	// leave ends the backend server gracefully.
	leave context.CancelFunc
}

// node is an entry. With relays, it can be cut off.
type node struct {
	entry *entry.Entry
	// address is where callers connect.
	address string
	gate    *gate
	callers *streamRelay
	peers   *packetRelay
	metrics tally.TestScope
}

// cluster is a running deployment.
type cluster struct {
	log      *logrus.Entry
	platform *standin.Platform
	nodes    []*node
	workers  []*worker
	tokens   map[string]string
	files    string
	running  sync.WaitGroup
	ctx      context.Context
	stop     context.CancelFunc
	relays   bool
}

// newCluster starts everything and waits until each entry is connected to each
// agent.
func newCluster(policy string, relays bool, log io.Writer) (*cluster, error) {
	c := &cluster{log: newLog(log), relays: relays, tokens: map[string]string{}}
	c.ctx, c.stop = context.WithCancel(context.Background())
	for _, t := range teams {
		c.tokens[t] = "bench-token-of-team-" + t
	}
	steps := []func() error{c.startPlatform, c.writeCertificates, func() error { return c.startEntries(policy) }, c.startWorkers, c.waitReady}
	for _, step := range steps {
		if err := step(); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// newLog returns the log of the processes. Faults are part of the scenarios, so
// that warnings say nothing new.
func newLog(out io.Writer) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(out)
	l.SetLevel(logrus.ErrorLevel)
	return logrus.NewEntry(l)
}

// close ends all processes of the cluster and waits for them.
func (c *cluster) close() {
	c.stop()
	c.running.Wait()
	for _, n := range c.nodes {
		if c.relays {
			n.callers.cut()
			n.peers.close()
		}
	}
	_ = os.RemoveAll(c.files)
}

func (c *cluster) run(ctx context.Context, what string, f func(context.Context) error) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		if err := f(ctx); err != nil && ctx.Err() == nil {
			c.log.WithError(err).Errorf("%s ended", what)
		}
	}()
}

func (c *cluster) startPlatform() error {
	p, err := standin.NewPlatform(standin.PlatformOptions{})
	if err != nil {
		return err
	}
	c.platform = p
	cfg := &config.Config{Version: 1, Services: []config.Service{{
		Name: serviceName,
		Types: []config.RequestType{
			{Name: shortType, DeadlineMS: 10_000, Idempotent: true},
			{Name: longType, DeadlineMS: 30_000, Idempotent: true},
		},
	}}}
	for _, t := range teams {
		cfg.Teams = append(cfg.Teams, config.Team{Name: t, Quota: teamQuota, Weight: 1})
	}
	for i := range speeds {
		cfg.Workers = append(cfg.Workers, config.Worker{Name: workerName(i), Services: []string{serviceName}})
	}
	b, err := config.Encode(cfg)
	if err != nil {
		return err
	}
	_, err = p.CompareAndSet(c.ctx, table.RowConfig, 0, b)
	return errors.Wrap(err, "write the configuration")
}

func workerName(i int) string { return fmt.Sprintf("worker-%02d", i+1) }

func (c *cluster) writeCertificates() (err error) {
	if c.files, err = os.MkdirTemp("", "sesamelift-bench-"); err != nil {
		return errors.Wrap(err, "create a directory for certificates")
	}
	return transport.WriteDevCertificates(c.files)
}

func (c *cluster) startEntries(policy string) error {
	addresses := &aliases{names: map[string]string{}}
	for i := range entryCount {
		if err := c.startEntry(i, policy, addresses); err != nil {
			return errors.Wrapf(err, "start entry %d", i+1)
		}
	}
	return nil
}

func (c *cluster) startEntry(i int, policy string, addresses *aliases) error {
	creds, err := transport.LoadCredentials(transport.DevFiles(c.files, transport.RoleEntry))
	if err != nil {
		return err
	}
	n := &node{gate: &gate{Platform: c.platform, aliases: addresses}, metrics: tally.NewTestScope("", nil)}
	n.entry, err = entry.New(entry.Options{
		Settings: &settings.Entry{
			Name: fmt.Sprintf("entry-%d", i+1), Zone: zones[i%len(zones)], CallerAddress: loopback, PeerAddress: loopback,
			OperatorToken: operatorToken, TeamTokens: c.tokens, Policy: policy, MaxQueuedTasks: 20_000,
			MaxAnswerBytes: 32 << 20, CallerRequestsPerSecond: 100_000, DrainTimeoutMS: int(drainTimeout.Milliseconds()),
		},
		Credentials: creds, Platform: n.gate, Log: c.log, Metrics: n.metrics,
		Tracer: noop.NewTracerProvider().Tracer(""),
	})
	if err != nil {
		return err
	}
	n.address = n.entry.CallerAddr()
	if c.relays {
		if err := n.relay(addresses); err != nil {
			return err
		}
	}
	c.nodes = append(c.nodes, n)
	c.run(c.ctx, "entry", n.entry.Run)
	return nil
}

// relay puts the entry behind relays.
func (n *node) relay(addresses *aliases) (err error) {
	if n.callers, err = newStreamRelay(n.address); err != nil {
		return err
	}
	if n.peers, err = newPacketRelay(n.entry.PeerAddr()); err != nil {
		return err
	}
	addresses.add(n.entry.PeerAddr(), n.peers.addr())
	n.address = n.callers.addr()
	return nil
}

func (c *cluster) startWorkers() error {
	for i, speed := range speeds {
		creds, err := transport.LoadCredentials(transport.DevFiles(c.files, transport.RoleAgent))
		if err != nil {
			return err
		}
		w := &worker{name: workerName(i), runs: &standin.Executions{}, metrics: tally.NewTestScope("", nil)}
		w.agent, err = agent.New(agent.Options{
			Settings: &settings.Agent{
				Name: w.name, Zone: zones[i%len(zones)], Rack: fmt.Sprintf("rack-%d", i/3+1), AnnounceAddress: loopback,
				Slots: slotsPerWorker, LongSlots: longSlots, Hold: holdPerWorker, Connections: connections,
				HealthIntervalMS: 1000, MaxLedgerRecords: 200_000, MaxResultBytes: 32 << 20,
				DrainTimeoutMS: int(drainTimeout.Milliseconds()),
			},
			Credentials: creds, Platform: c.platform, Log: c.log, Metrics: w.metrics,
		})
		if err != nil {
			return err
		}
		w.backend, err = standin.NewBackend(standin.BackendOptions{
			Address: loopback, AgentAddress: w.agent.AnnounceAddr(), Name: w.name + "-backend",
			Services: []string{serviceName}, Speed: speed, Executions: w.runs,
		})
		if err != nil {
			return err
		}
		var ctx context.Context
		ctx, w.leave = context.WithCancel(c.ctx)
		c.workers = append(c.workers, w)
		c.run(c.ctx, "agent", w.agent.Run)
		c.run(ctx, "backend server", w.backend.Run)
	}
	return nil
}

// waitReady waits until each entry is ready and has the slots of all agents.
func (c *cluster) waitReady() error {
	ctx, cancel := context.WithTimeout(c.ctx, readyTimeout)
	defer cancel()
	for _, n := range c.nodes {
		for !c.ready(ctx, n) {
			select {
			case <-ctx.Done():
				return errors.Errorf("entry %s is not connected to all agents after %v: %q", n.entry.CallerAddr(), readyTimeout, n.entry.Ready())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func (c *cluster) ready(ctx context.Context, n *node) bool {
	if n.entry.Ready() != "" {
		return false
	}
	usable := 0
	for _, w := range n.entry.Workers(ctx) {
		if len(w.Services) > 0 && !w.Leaving {
			usable++
		}
	}
	return usable == len(speeds)
}

// addresses returns where callers connect.
func (c *cluster) addresses() []string {
	out := make([]string, len(c.nodes))
	for i, n := range c.nodes {
		out[i] = n.address
	}
	return out
}

// kill cuts an entry off from everything, which is what the others see of a
// crash. The process itself goes on, so that this also covers an entry that was
// paused and resumed.
func (n *node) kill() {
	n.gate.shut()
	n.peers.cut()
	n.callers.cut()
}

// kill ends the agent and the backend server without a drain.
func (w *worker) kill() {
	w.agent.Abort()
	w.backend.Kill()
}

// counter sums a counter over scopes and tags.
func counter(scope tally.TestScope, name string) int64 {
	var sum int64
	for _, s := range scope.Snapshot().Counters() {
		if s.Name() == name {
			sum += s.Value()
		}
	}
	return sum
}
