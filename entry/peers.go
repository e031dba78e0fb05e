package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/telemetry/tracing"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	// A peer is pinged every minPingInterval. With more than 10 peers the
	// interval grows so that an entry sends pingsPerSecond pings a second, up to
	// maxPingInterval at 20 peers. At an estimated 200 bytes for a ping and its
	// reply, the pings of an entry stay within 5 KB/s with up to 50 peers.
	minPingInterval = time.Second
	maxPingInterval = 2 * time.Second
	pingsPerSecond  = 10
	// pingTimeout is far above the latency between zones. With the ping
	// interval, an unresponsive peer is removed after 3 to 5 s, and after 5 to
	// 7 s with many peers.
	pingTimeout = time.Second
	// maxMissedPings is the number of missed pings in a row after which a peer
	// is removed.
	maxMissedPings = 3
	dialRetryDelay = 200 * time.Millisecond
)

// peers holds the connections to the other entries. It is safe for concurrent
// use.
type peers struct {
	e *Entry
	// pollNow makes rosterLoop poll the roster at once.
	pollNow chan struct{}
	// membersChanged makes loop compare byIncarnation with the roster.
	membersChanged chan struct{}

	mu            sync.Mutex
	roster        *ownership.Roster
	byIncarnation map[uint64]*peer
}

// peer is another entry incarnation.
type peer struct {
	member ownership.Member
	cancel context.CancelFunc
	// pingNow requests a ping before the interval has passed.
	pingNow chan struct{}

	mu   sync.Mutex
	conn *transport.Conn
	// missed is the number of missed pings in a row, and lastMissAt is when the
	// last of them was counted.
	missed     int
	lastMissAt time.Time
}

func (p *peers) init(e *Entry) {
	p.e, p.byIncarnation = e, map[uint64]*peer{}
	p.pollNow, p.membersChanged = make(chan struct{}, 1), make(chan struct{}, 1)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// setRoster sets the members to connect to, and pings the peers so that they
// learn of the new version at once.
func (p *peers) setRoster(r *ownership.Roster) {
	p.mu.Lock()
	p.roster = r
	for _, pr := range p.byIncarnation {
		notify(pr.pingNow)
	}
	p.mu.Unlock()
	notify(p.membersChanged)
}

// loop runs one goroutine for each other member of the roster.
func (p *peers) loop(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.membersChanged:
		}
		p.mu.Lock()
		for id, pr := range p.byIncarnation {
			if _, ok := p.roster.Find(id); !ok {
				pr.cancel()
				delete(p.byIncarnation, id)
			}
		}
		for _, m := range p.roster.Members {
			if m.Incarnation == p.e.self.Incarnation || p.byIncarnation[m.Incarnation] != nil {
				continue
			}
			ctx, cancel := context.WithCancel(ctx)
			pr := &peer{member: m, cancel: cancel, pingNow: make(chan struct{}, 1)}
			p.byIncarnation[m.Incarnation] = pr
			wg.Go(func() { p.peerLoop(ctx, pr) })
		}
		p.mu.Unlock()
	}
}

// peerLoop dials a peer and pings it until ctx ends.
func (p *peers) peerLoop(ctx context.Context, pr *peer) {
	defer pr.setConn(nil)
	for ctx.Err() == nil {
		conn, err := p.dial(ctx, pr.member)
		if err == nil {
			pr.setConn(conn)
			p.pingLoop(ctx, pr, conn)
			pr.setConn(nil)
			conn.Close(nil)
			continue
		}
		pr.recordMiss(p)
		sleepFor(ctx, dialRetryDelay)
	}
}

func (p *peers) dial(ctx context.Context, m ownership.Member) (*transport.Conn, error) {
	e := p.e
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	conn, _, err := transport.Dial(ctx, m.PeerAddr, e.options.Credentials, &wire.Hello{
		Role: transport.RoleEntry, Name: e.self.Name, Incarnation: e.self.Incarnation, Zone: e.self.Zone,
	})
	if err != nil {
		return nil, err
	}
	// Entries exchange only calls. Receive handles the probes of the connection
	// and closes it after an error.
	go func() {
		for {
			if _, err := conn.Receive(); err != nil {
				return
			}
		}
	}()
	return conn, nil
}

// pingLoop pings a peer. It returns when the connection is closed or a ping is
// missed, so that the next ping uses a new connection.
func (p *peers) pingLoop(ctx context.Context, pr *peer, conn *transport.Conn) {
	for {
		version, ok := postAndWait(ctx, p.e, func(ls *loopState) uint64 { return ls.rosterVersion() })
		if !ok {
			return
		}
		call, cancel := context.WithTimeout(ctx, pingTimeout)
		m, err := conn.Call(call, &wire.Ping{RosterVersion: version, ConfigVersion: p.e.configVersion()})
		cancel()
		pong, isPong := m.(*wire.Pong)
		if err != nil || !isPong {
			pr.recordMiss(p)
			return
		}
		pr.recordPong()
		if pong.RosterVersion > version {
			notify(p.pollNow)
		}
		if pong.ConfigVersion > p.e.configVersion() {
			p.e.fetchConfig(ctx, conn)
		}
		select {
		case <-ctx.Done():
			return
		case <-conn.Done():
			return
		case <-pr.pingNow:
		case <-time.After(p.pingInterval()):
		}
	}
}

func (pr *peer) setConn(c *transport.Conn) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.conn = c
}

func (pr *peer) recordPong() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.missed = 0
}

// pingInterval returns the time between pings of one peer.
func (p *peers) pingInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(minPingInterval, time.Duration(len(p.byIncarnation))*time.Second/pingsPerSecond), maxPingInterval)
}

// recordMiss counts a ping or dial without an answer. It counts at most one per
// ping interval, since a dial may fail at once.
func (pr *peer) recordMiss(p *peers) {
	interval := p.pingInterval()
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if now := time.Now(); now.Sub(pr.lastMissAt) >= interval {
		pr.missed++
		pr.lastMissAt = now
	}
	if pr.missed >= maxMissedPings {
		notify(p.pollNow)
	}
}

func (pr *peer) unresponsive() bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.missed >= maxMissedPings
}

// unresponsive lists the peers that have missed maxMissedPings pings in a row.
func (p *peers) unresponsive() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []uint64
	for id, pr := range p.byIncarnation {
		if pr.unresponsive() {
			out = append(out, id)
		}
	}
	return out
}

// anyMissedPing reports whether a peer did not answer its last ping.
func (p *peers) anyMissedPing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pr := range p.byIncarnation {
		pr.mu.Lock()
		missed := pr.missed > 0
		pr.mu.Unlock()
		if missed {
			return true
		}
	}
	return false
}

// conn returns the connection to a peer, or nil when there is none.
func (p *peers) conn(incarnation uint64) *transport.Conn {
	p.mu.Lock()
	pr := p.byIncarnation[incarnation]
	p.mu.Unlock()
	if pr == nil {
		return nil
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.conn
}

// forward sends a request to the owner of its key. It returns nil when there is
// no answer and the owner has to be looked up again.
func (p *peers) forward(ctx context.Context, r *request, to ownership.Member, version uint64) *api.Answer {
	conn := p.conn(to.Incarnation)
	left := r.deadline.Sub(p.e.clock.now())
	if conn == nil {
		return nil
	}
	ctx, span := p.e.options.Tracer.Start(ctx, "forward")
	defer span.End()
	m := &wire.Forward{
		Op: r.op, Key: r.key, RosterVersion: version, Wait: r.wait, Trace: tracing.Traceparent(ctx),
		TimeLeftMS: uint32(max(0, left.Milliseconds())),
	}
	sub := r.sub
	if sub == nil {
		sub = &api.Submission{Team: r.team}
	}
	var err error
	if m.Submission, err = encodeSubmission(sub); err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, max(0, left)+answerGrace)
	defer cancel()
	p.e.metrics.forwards.Inc(1)
	conn.AddPendingReplies(1)
	defer conn.AddPendingReplies(-1)
	reply, err := conn.Call(ctx, m)
	f, ok := reply.(*wire.ForwardReply)
	if err != nil || !ok || f.NotOwner {
		return nil
	}
	var a api.Answer
	if json.Unmarshal(f.Answer, &a) != nil {
		return nil
	}
	return &a
}

// serveConn accepts a connection from another entry and answers its calls.
func (p *peers) serveConn(ctx context.Context, pending *transport.Pending) {
	conn, err := pending.Accept(&wire.Welcome{Name: p.e.self.Name, Incarnation: p.e.self.Incarnation, ConfigVersion: p.e.configVersion()})
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { conn.Close(nil) })
	defer stop()
	// As in dial, Receive only handles probes and closes the connection after an
	// error.
	go func() {
		for {
			if _, err := conn.Receive(); err != nil {
				return
			}
		}
	}()
	conn.ServeCalls(p.handleCall)
}

func (p *peers) handleCall(ctx context.Context, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.Ping:
		version, ok := postAndWait(ctx, p.e, func(ls *loopState) uint64 { return ls.rosterVersion() })
		if !ok {
			return nil
		}
		if m.RosterVersion > version {
			notify(p.pollNow)
		}
		return &wire.Pong{Seq: m.Seq, RosterVersion: version, ConfigVersion: p.e.configVersion()}
	case *wire.Forward:
		if m.Op == wire.OpConfig {
			return p.e.configReply()
		}
		return p.handleForward(ctx, m)
	case *wire.Handover:
		return p.handleHandover(ctx, m)
	case *wire.Departure:
		return p.handleDeparture(ctx, m)
	}
	return nil
}

// handleForward answers a request that a peer forwarded.
func (p *peers) handleForward(ctx context.Context, m *wire.Forward) wire.Message {
	var sub api.Submission
	if json.Unmarshal(m.Submission, &sub) != nil {
		return nil
	}
	p.e.forwardsInProgress.Add(1)
	defer p.e.forwardsInProgress.Add(-1)
	ctx, span := p.e.options.Tracer.Start(tracing.WithTraceparent(ctx, m.Trace), "forwarded")
	defer span.End()
	r := &request{op: m.Op, key: m.Key, team: sub.Team, wait: m.Wait, fromPeer: true, ctx: ctx}
	r.deadline = p.e.clock.now().Add(time.Duration(m.TimeLeftMS) * time.Millisecond)
	if m.Op == wire.OpSubmit {
		r.sub, r.digest, r.idempotent = &sub, sub.Digest(), p.e.idempotent(&sub)
	}
	got, ok := p.e.callEventLoop(ctx, r)
	if !ok {
		return nil
	}
	a := got.answer
	if a == nil && got.forwardTo != nil {
		a = p.forward(ctx, r, *got.forwardTo, got.rosterVersion)
	}
	if a == nil {
		return &wire.ForwardReply{NotOwner: true, RosterVersion: got.rosterVersion}
	}
	b, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	return &wire.ForwardReply{RosterVersion: got.rosterVersion, Answer: b}
}

// handleHandover adopts the roster of the requesting entry and returns what this entry
// knows of the keys that the requesting entry owns under it.
func (p *peers) handleHandover(ctx context.Context, m *wire.Handover) wire.Message {
	r, err := parseRoster(m.Roster)
	if err != nil || r == nil || r.Version != m.RosterVersion {
		return nil
	}
	ack, ok := postAndWait(ctx, p.e, func(ls *loopState) *wire.HandoverAck {
		ls.adoptRoster(r)
		return &wire.HandoverAck{Incarnation: p.e.self.Incarnation, RosterVersion: r.Version, Report: ls.reportKeys(r, m.Requester)}
	})
	if !ok {
		return nil
	}
	return ack
}

// handleDeparture adopts the roster of an entry that has left and records its report.
func (p *peers) handleDeparture(ctx context.Context, m *wire.Departure) wire.Message {
	r, err := parseRoster(m.Roster)
	if err != nil || r == nil || r.Version != m.RosterVersion {
		return nil
	}
	report := decodeReport(&m.Report)
	ack, ok := postAndWait(ctx, p.e, func(ls *loopState) *wire.DepartureAck {
		ls.adoptRoster(r)
		ls.resolver.RecordHandover(m.Incarnation, r.Version, report)
		ls.retryBlocked(ls.now())
		return &wire.DepartureAck{RosterVersion: r.Version}
	})
	if !ok {
		return nil
	}
	return ack
}
