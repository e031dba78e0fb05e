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

// Size of the reference deployment.
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
	// drainTimeout can be short: all jobs are answered before the shutdown.
	drainTimeout = time.Second
)

var zones = []string{"salalah-kiln", "taqah-shed", "mirbat-store"}

// speeds are the relative speeds of the backend servers. Their mean is 1.
var speeds = []float64{1, 1.3, 0.7, 1, 1.2, 0.8, 1, 1.1, 0.9, 1.4, 0.6}

// capacity returns the capacity of all slots, in slots of a backend server of
// speed 1.
func capacity() float64 {
	sum := 0.0
	for _, s := range speeds {
		sum += s * slotsPerWorker
	}
	return sum
}

// worker is an agent and its backend server.
type worker struct {
	name       string
	agent      *agent.Agent
	backend    *standin.Backend
	executions *standin.Executions
	metrics    tally.TestScope
	// leave shuts the backend server down gracefully.
	leave context.CancelFunc
}

// entryInstance is an entry and its view of the platform. The proxies are nil unless
// the scenario uses them.
type entryInstance struct {
	entry *entry.Entry
	// address is the address for callers, that of the proxy if there is one.
	address     string
	platform    *entryPlatform
	callerProxy *tcpProxy
	peerProxy   *udpProxy
	metrics     tally.TestScope
}

// cluster is a running deployment: a platform, entries and workers.
type cluster struct {
	log        *logrus.Entry
	platform   *standin.Platform
	entries    []*entryInstance
	workers    []*worker
	tokens     map[string]string
	certDir    string
	running    sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
	useProxies bool
}

// newCluster starts all entries, agents and backend servers in this process and
// waits until every entry is connected to every agent.
func newCluster(policy string, useProxies bool, log io.Writer) (*cluster, error) {
	c := &cluster{log: newLog(log), useProxies: useProxies, tokens: map[string]string{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
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

// newLog returns the log of entries and agents. It omits warnings, because injected
// faults cause them.
func newLog(out io.Writer) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(out)
	l.SetLevel(logrus.ErrorLevel)
	return logrus.NewEntry(l)
}

// close stops all entries, agents and backend servers and waits until they have
// ended.
func (c *cluster) close() {
	c.cancel()
	c.running.Wait()
	for _, e := range c.entries {
		if c.useProxies {
			e.callerProxy.close()
			e.peerProxy.close()
		}
	}
	_ = os.RemoveAll(c.certDir)
}

// run runs f in the background until ctx ends and logs an error if f fails earlier.
func (c *cluster) run(ctx context.Context, component string, f func(context.Context) error) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		if err := f(ctx); err != nil && ctx.Err() == nil {
			c.log.WithError(err).Errorf("%s failed", component)
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
	return errors.Wrap(err, "write configuration")
}

func workerName(i int) string { return fmt.Sprintf("worker-%02d", i+1) }

func (c *cluster) writeCertificates() (err error) {
	if c.certDir, err = os.MkdirTemp("", "sesamelift-bench-"); err != nil {
		return errors.Wrap(err, "create certificate directory")
	}
	return transport.WriteDevCertificates(c.certDir)
}

func (c *cluster) startEntries(policy string) error {
	addresses := &addressRewriter{replacements: map[string]string{}}
	for i := range entryCount {
		if err := c.startEntry(i, policy, addresses); err != nil {
			return errors.Wrapf(err, "start entry %d", i+1)
		}
	}
	return nil
}

func (c *cluster) startEntry(i int, policy string, addresses *addressRewriter) error {
	creds, err := transport.LoadCredentials(transport.DevFiles(c.certDir, transport.RoleEntry))
	if err != nil {
		return err
	}
	e := &entryInstance{platform: &entryPlatform{Platform: c.platform, addresses: addresses}, metrics: tally.NewTestScope("", nil)}
	e.entry, err = entry.New(entry.Options{
		Settings: &settings.Entry{
			Name: fmt.Sprintf("entry-%d", i+1), Zone: zones[i%len(zones)], CallerAddress: loopback, PeerAddress: loopback,
			OperatorToken: operatorToken, TeamTokens: c.tokens, Policy: policy, MaxQueuedTasks: 20_000,
			MaxAnswerBytes: 32 << 20, CallerRequestsPerSecond: 100_000, DrainTimeoutMS: int(drainTimeout.Milliseconds()),
		},
		Credentials: creds, Platform: e.platform, Log: c.log, Metrics: e.metrics,
		Tracer: noop.NewTracerProvider().Tracer(""),
	})
	if err != nil {
		return err
	}
	e.address = e.entry.CallerAddr()
	if c.useProxies {
		if err := e.startProxies(addresses); err != nil {
			return err
		}
	}
	c.entries = append(c.entries, e)
	c.run(c.ctx, "entry", e.entry.Run)
	return nil
}

// startProxies puts the entry behind a proxy for callers and one for peers and
// agents.
func (e *entryInstance) startProxies(addresses *addressRewriter) (err error) {
	if e.callerProxy, err = newTCPProxy(e.address); err != nil {
		return err
	}
	if e.peerProxy, err = newUDPProxy(e.entry.PeerAddr()); err != nil {
		return err
	}
	addresses.add(e.entry.PeerAddr(), e.peerProxy.addr())
	e.address = e.callerProxy.addr()
	return nil
}

func (c *cluster) startWorkers() error {
	for i, speed := range speeds {
		creds, err := transport.LoadCredentials(transport.DevFiles(c.certDir, transport.RoleAgent))
		if err != nil {
			return err
		}
		w := &worker{name: workerName(i), executions: &standin.Executions{}, metrics: tally.NewTestScope("", nil)}
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
			Services: []string{serviceName}, Speed: speed, Executions: w.executions,
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

// waitReady waits until every entry is ready and connected to all agents, and every
// agent has a backend server.
func (c *cluster) waitReady() error {
	ctx, cancel := context.WithTimeout(c.ctx, readyTimeout)
	defer cancel()
	for _, e := range c.entries {
		for !c.ready(ctx, e) {
			select {
			case <-ctx.Done():
				return errors.Errorf("entry %s is not ready or not connected to all agents after %v; reason not ready: %q", e.entry.CallerAddr(), readyTimeout, e.entry.NotReadyReason())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// ready reports whether the entry is ready and every worker has a backend server
// that is available to it.
func (c *cluster) ready(ctx context.Context, e *entryInstance) bool {
	if e.entry.NotReadyReason() != "" {
		return false
	}
	available := 0
	for _, w := range e.entry.Workers(ctx) {
		if len(w.Services) > 0 && !w.Leaving {
			available++
		}
	}
	return available == len(speeds)
}

// addresses returns the addresses for callers.
func (c *cluster) addresses() []string {
	out := make([]string, len(c.entries))
	for i, e := range c.entries {
		out[i] = e.address
	}
	return out
}

// isolate cuts the entry off from callers, peers, agents and the platform, which
// is what they observe of a crash. The entry itself keeps running, so this also
// covers an entry that was paused and resumed.
func (e *entryInstance) isolate() {
	e.platform.makeUnavailable()
	e.peerProxy.dropAll()
	e.callerProxy.close()
}

// kill ends the agent and the backend server without draining.
func (w *worker) kill() {
	w.agent.Abort()
	w.backend.Kill()
}

// counter returns the sum of a counter over all its tags.
func counter(scope tally.TestScope, name string) int64 {
	var sum int64
	for _, s := range scope.Snapshot().Counters() {
		if s.Name() == name {
			sum += s.Value()
		}
	}
	return sum
}
