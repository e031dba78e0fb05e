package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/ledger"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/standin"
	"github.com/sesamelift/sesamelift/table"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	teamToken     = "token-of-team-kiln"
	otherToken    = "token-of-team-press"
	operatorToken = "token-of-the-operator"
)

// cluster is a platform stand-in with entries and fake agents on the loopback
// interface.
type cluster struct {
	t        testing.TB
	platform *standin.Platform
	entryTLS *transport.Credentials
	agentTLS *transport.Credentials
}

func newCluster(t testing.TB) *cluster {
	dir := t.TempDir()
	qt.Assert(t, transport.WriteDevCertificates(dir), qt.IsNil)
	c := &cluster{t: t}
	var err error
	c.entryTLS, err = transport.LoadCredentials(transport.DevFiles(dir, transport.RoleEntry))
	qt.Assert(t, err, qt.IsNil)
	c.agentTLS, err = transport.LoadCredentials(transport.DevFiles(dir, transport.RoleAgent))
	qt.Assert(t, err, qt.IsNil)
	c.platform, err = standin.NewPlatform(standin.PlatformOptions{})
	qt.Assert(t, err, qt.IsNil)
	cfg := &config.Config{
		Version:  1,
		Services: []config.Service{{Name: "cleft-assessor", Types: []config.RequestType{{Name: "grain", DeadlineMS: 5000, Idempotent: true}}}},
		Teams:    []config.Team{{Name: "kiln", Quota: 1000, Weight: 1}, {Name: "press", Quota: 1000, Weight: 1}},
		Workers:  []config.Worker{{Name: "w1", Services: []string{"cleft-assessor"}}, {Name: "w2", Services: []string{"cleft-assessor"}}},
	}
	b, err := config.Encode(cfg)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.platform.CompareAndSet(context.Background(), table.RowConfig, 0, b)
	qt.Assert(t, err, qt.IsNil)
	return c
}

// node is a running entry.
type node struct {
	t testing.TB
	*Entry
	platform *faultyPlatform
	stop     context.CancelFunc
	ended    chan error
}

// faultyPlatform is the platform as seen by one entry. While unavailable is set,
// Get fails for that entry only.
type faultyPlatform struct {
	table.Platform
	unavailable atomic.Bool
}

func (p *faultyPlatform) Get(ctx context.Context, key string) (table.Row, error) {
	if p.unavailable.Load() {
		return table.Row{}, table.ErrUnavailable
	}
	return p.Platform.Get(ctx, key)
}

func (p *faultyPlatform) Await(ctx context.Context, key string, wait time.Duration) (table.Row, error) {
	if p.unavailable.Load() {
		return table.Row{}, table.ErrUnavailable
	}
	return p.Platform.Await(ctx, key, wait)
}

// start runs an entry until it is ready.
func (c *cluster) start(name string) *node {
	c.t.Helper()
	n := c.launch(name)
	eventually(c.t, "the entry is ready", func() bool { return n.NotReadyReason() == "" })
	return n
}

// launch runs an entry and does not wait until it is ready.
func (c *cluster) launch(name string) *node {
	c.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(c.t.Output())
	}
	platform := &faultyPlatform{Platform: c.platform}
	e, err := New(Options{
		Settings: &settings.Entry{
			Name: name, Zone: "salalah-kiln", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
			OperatorToken: operatorToken, TeamTokens: map[string]string{"kiln": teamToken, "press": otherToken},
			Policy: "estimate", MaxQueuedTasks: 1000, MaxAnswerBytes: 1 << 20, CallerRequestsPerSecond: 1000, DrainTimeoutMS: 5000,
		},
		Credentials: c.entryTLS, Platform: platform, Log: logrus.NewEntry(log), Metrics: tally.NoopScope,
		Tracer: noop.NewTracerProvider().Tracer(""),
	})
	qt.Assert(c.t, err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	n := &node{t: c.t, Entry: e, platform: platform, stop: stop, ended: make(chan error, 1)}
	go func() { n.ended <- e.Run(ctx) }()
	c.t.Cleanup(func() {
		stop()
		select {
		case <-n.ended:
		case <-time.After(10 * time.Second):
			c.t.Error("the entry did not stop")
		}
	})
	return n
}

func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

// call sends an HTTP request and returns the status code and the answer.
func (n *node) call(method, path, token string, key any, body any) (int, *api.Answer) {
	n.t.Helper()
	var b []byte
	switch v := body.(type) {
	case nil:
	case string:
		b = []byte(v)
	default:
		b, _ = json.Marshal(v)
	}
	req, err := http.NewRequest(method, "http://"+n.CallerAddr()+path, bytes.NewReader(b))
	qt.Assert(n.t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+token)
	if key != nil {
		req.Header.Set("Idempotency-Key", fmt.Sprint(key))
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	var a api.Answer
	_ = json.NewDecoder(res.Body).Decode(&a)
	return res.StatusCode, &a
}

func (n *node) submit(key api.Key, s any) (int, *api.Answer) {
	n.t.Helper()
	return n.call("POST", "/v1/jobs", teamToken, key, s)
}

type submitResult struct {
	code   int
	answer *api.Answer
}

func (n *node) submitAsync(key api.Key, s any) <-chan submitResult {
	out := make(chan submitResult, 1)
	go func() {
		code, a := n.submit(key, s)
		out <- submitResult{code, a}
	}()
	return out
}

func job(tasks int) *api.Submission {
	s := &api.Submission{Service: "cleft-assessor", Type: "grain", Team: "kiln"}
	for i := range tasks {
		s.Tasks = append(s.Tasks, json.RawMessage(fmt.Sprintf(`{"n":%d}`, i)))
	}
	return s
}

func newKey(t *testing.T) api.Key {
	k, err := api.NewKey()
	qt.Assert(t, err, qt.IsNil)
	return k
}

// fakeAgent is an agent with the real ledger and real QUIC connections. Tests
// can hold back the results of its tasks.
type fakeAgent struct {
	t           testing.TB
	c           *cluster
	worker      string
	incarnation uint64

	mu     sync.Mutex
	ledger *ledger.Ledger
	conns  map[string]*transport.Conn
	// run answers a start. If it is nil or returns nil, the task is held until
	// finish.
	run  func(s *wire.Start) *wire.Result
	held []*wire.Start
	// runs counts the runs by key and task, and closes counts the requests to
	// close a key.
	runs   map[string]int
	closes int
	// ignoreClose makes the agent ignore requests to close a key.
	ignoreClose bool
	config      wire.WorkerConfig
	// services are those that the agent names when it connects.
	services []string
}

// newAgent returns an agent that is registered with the platform and not
// connected to an entry.
func (c *cluster) newAgent(worker string, incarnation uint64, run func(*wire.Start) *wire.Result) *fakeAgent {
	a := &fakeAgent{
		t: c.t, c: c, worker: worker, incarnation: incarnation, run: run, runs: map[string]int{},
		conns: map[string]*transport.Conn{}, services: []string{"cleft-assessor"},
		ledger: ledger.New(incarnation, ledger.Options{MaxRecords: 1_000_000, MaxResultBytes: 1 << 20}),
	}
	reg := ownership.Registration{Worker: worker, Incarnation: incarnation, Addr: "127.0.0.1:1", Zone: "salalah-kiln"}
	b, _ := json.Marshal(reg)
	_, err := table.Update(context.Background(), c.platform, table.PrefixAgents+worker, "", func([]byte) ([]byte, error) { return b, nil })
	qt.Assert(c.t, err, qt.IsNil)
	return a
}

func echoResult(s *wire.Start) *wire.Result {
	body, _ := json.Marshal(map[string]any{"task": s.Task, "echo": json.RawMessage(s.Body)})
	return &wire.Result{Outcome: wire.OutcomeOK, Ran: wire.RanYes, RunTimeUS: 1000, Body: body}
}

func (a *fakeAgent) load() wire.Load { return wire.Load{Slots: 8} }

// connect dials an entry, at addr if it is not empty.
func (a *fakeAgent) connect(n *node, addr string) *transport.Conn {
	a.t.Helper()
	if addr == "" {
		addr = n.PeerAddr()
	}
	hello := &wire.Hello{Role: transport.RoleAgent, Name: a.worker, Incarnation: a.incarnation, Zone: "salalah-kiln", Services: a.services, Load: a.load()}
	conn, _, err := transport.Dial(context.Background(), addr, a.c.agentTLS, hello)
	qt.Assert(a.t, err, qt.IsNil)
	a.mu.Lock()
	a.conns[n.self.Name] = conn
	a.mu.Unlock()
	go a.receive(conn)
	go conn.ServeCalls(a.fence)
	a.t.Cleanup(func() { conn.Close(nil) })
	eventually(a.t, "the entry has accepted the agent", func() bool {
		id, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) uint64 {
			if ag := ls.agents[ls.agentByWorker[a.worker]]; ag != nil && ag.conn != nil {
				return ag.id
			}
			return 0
		})
		return id == a.incarnation
	})
	return conn
}

func (a *fakeAgent) receive(conn *transport.Conn) {
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		a.mu.Lock()
		switch m := m.(type) {
		case *wire.RosterUpdate:
			a.adopt(m.Roster)
		case *wire.WorkerConfig:
			a.config = *m
		case *wire.Start:
			a.start(conn, m)
		case *wire.Settle:
			a.settle(conn, m)
		}
		a.mu.Unlock()
	}
}

func (a *fakeAgent) adopt(roster []byte) *ownership.Roster {
	var r ownership.Roster
	if json.Unmarshal(roster, &r) != nil {
		return nil
	}
	a.ledger.AdoptRoster(r.Version, r.Incarnations())
	return &r
}

func (a *fakeAgent) start(conn *transport.Conn, s *wire.Start) {
	d := a.ledger.Check(time.Now(), s)
	if !d.Run {
		_ = conn.Send(&wire.Result{Key: s.Key, Task: s.Task, Outcome: wire.OutcomeRefused, Ran: wire.RanNo, Reason: d.Refusal, Load: a.load()})
		return
	}
	var r *wire.Result
	if a.run != nil {
		if r = a.run(s); r != nil && (r.Outcome == wire.OutcomeBusy || r.Outcome == wire.OutcomeRefused) {
			a.send(conn, s, r)
			return
		}
	}
	a.ledger.Start(time.Now(), s)
	a.runs[fmt.Sprint(s.Key, s.Task)]++
	if r == nil {
		a.held = append(a.held, s)
		return
	}
	a.ledger.Finish(s.Key, s.Task, *r)
	a.send(conn, s, r)
}

func (a *fakeAgent) send(conn *transport.Conn, s *wire.Start, r *wire.Result) {
	m := *r
	m.Key, m.Task, m.Load = s.Key, s.Task, a.load()
	_ = conn.Send(&m)
}

func (a *fakeAgent) settle(conn *transport.Conn, m *wire.Settle) {
	if m.Task == ledger.WholeKey {
		if a.closes++; a.ignoreClose {
			return
		}
		s := a.ledger.Close(time.Now(), m.Owner, m.Key)
		_ = conn.Send(&s)
		return
	}
	s := a.ledger.Settle(time.Now(), m.Key, m.Task)
	s.Load = a.load()
	_ = conn.Send(&s)
}

func (a *fakeAgent) fence(_ context.Context, m wire.Message) wire.Message {
	f, isFence := m.(*wire.Fence)
	if !isFence {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.adopt(f.Roster)
	return &wire.FenceAck{
		Incarnation: f.Incarnation, Agent: a.incarnation, RosterVersion: f.RosterVersion,
		Records: a.ledger.Records(f.Incarnation, r.OwnedBy(f.Requester)),
	}
}

// finish ends all held tasks, the last one first, and sends their results to an
// entry.
func (a *fakeAgent) finish(entry string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(a.held) - 1; i >= 0; i-- {
		s := a.held[i]
		r := echoResult(s)
		a.ledger.Finish(s.Key, s.Task, *r)
		a.send(a.conns[entry], s, r)
	}
	a.held = nil
}

func (a *fakeAgent) waitHeld(n int) {
	a.t.Helper()
	eventually(a.t, fmt.Sprintf("the agent holds %d tasks", n), func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.held) == n
	})
}

// started returns the number of tasks that ran and the largest number of runs
// of one task.
func (a *fakeAgent) started() (tasks, maxRuns int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.runs {
		maxRuns = max(maxRuns, n)
	}
	return len(a.runs), maxRuns
}

func drainW1(c *config.Config) { c.Workers[0].Drain = true }

// withNextVersion returns the changed configuration with the next version.
func withNextVersion(t *testing.T, value []byte, change func(*config.Config)) []byte {
	c, err := config.Decode(value)
	qt.Assert(t, err, qt.IsNil)
	c.Version++
	change(c)
	b, err := config.Encode(c)
	qt.Assert(t, err, qt.IsNil)
	return b
}
