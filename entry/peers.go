package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/telemetry"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	// A peer is pinged every minPingInterval; with many peers less often, up to
	// maxPingInterval at 20, so that the pings of an entry stay below 5 KB/s
	// by estimate (200 bytes a ping and reply).
	minPingInterval = time.Second
	maxPingInterval = 2 * time.Second
	pingsPerSecond  = 10
	// pingTimeout is far above the latency between zones. With the interval it
	// gives 3 to 5 s until a peer is removed, and 5 to 7 s with many peers.
	pingTimeout = time.Second
	// missedPings is how many pings in a row a peer may miss.
	missedPings = 3
	dialRetry   = 200 * time.Millisecond
)

// peers holds the connections to the other entries. Safe for concurrent use.
type peers struct {
	e       *Entry
	changed chan struct{}
	updates chan struct{}

	mu    sync.Mutex
	want  *ownership.Roster
	links map[uint64]*peer
}

// peer is another entry incarnation.
type peer struct {
	member ownership.Member
	cancel context.CancelFunc
	// kick asks for a ping at once.
	kick chan struct{}

	mu       sync.Mutex
	conn     *transport.Conn
	missed   int
	lastMiss time.Time
}

func (p *peers) init(e *Entry) {
	p.e, p.links = e, map[uint64]*peer{}
	p.changed, p.updates = make(chan struct{}, 1), make(chan struct{}, 1)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// set changes the members to connect to, and pings the peers so that they see
// the new version at once.
func (p *peers) set(r *ownership.Roster) {
	p.mu.Lock()
	p.want = r
	for _, l := range p.links {
		signal(l.kick)
	}
	p.mu.Unlock()
	signal(p.updates)
}

// loop keeps one goroutine per other member.
func (p *peers) loop(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.updates:
		}
		p.mu.Lock()
		for id, l := range p.links {
			if _, ok := p.want.Find(id); !ok {
				l.cancel()
				delete(p.links, id)
			}
		}
		for _, m := range p.want.Members {
			if m.Incarnation == p.e.self.Incarnation || p.links[m.Incarnation] != nil {
				continue
			}
			ctx, cancel := context.WithCancel(ctx)
			l := &peer{member: m, cancel: cancel, kick: make(chan struct{}, 1)}
			p.links[m.Incarnation] = l
			wg.Go(func() { p.linkLoop(ctx, l) })
		}
		p.mu.Unlock()
	}
}

// linkLoop dials a peer and pings it.
func (p *peers) linkLoop(ctx context.Context, l *peer) {
	defer l.set(nil)
	for ctx.Err() == nil {
		conn, err := p.dial(ctx, l.member)
		if err == nil {
			l.set(conn)
			p.pingLoop(ctx, l, conn)
			l.set(nil)
			conn.Close(nil)
			continue
		}
		l.miss(p)
		sleepFor(ctx, dialRetry)
	}
}

func (p *peers) dial(ctx context.Context, m ownership.Member) (*transport.Conn, error) {
	e := p.e
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	conn, _, err := transport.Dial(ctx, m.PeerAddr, e.o.Credentials, &wire.Hello{
		Role: transport.RoleEntry, Name: e.self.Name, Incarnation: e.self.Incarnation, Zone: e.self.Zone,
	})
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			if _, err := conn.Receive(); err != nil {
				return
			}
		}
	}()
	return conn, nil
}

// pingLoop returns when the connection is closed or a ping is missed, so that
// the next ping uses a new connection.
func (p *peers) pingLoop(ctx context.Context, l *peer, conn *transport.Conn) {
	for {
		version, ok := ask(ctx, p.e, func(c *core) uint64 { return c.rosterVersion() })
		if !ok {
			return
		}
		call, cancel := context.WithTimeout(ctx, pingTimeout)
		m, err := conn.Call(call, &wire.Ping{RosterVersion: version, ConfigVersion: p.e.configVersion()})
		cancel()
		pong, isPong := m.(*wire.Pong)
		if err != nil || !isPong {
			l.miss(p)
			return
		}
		l.heard()
		if pong.RosterVersion > version {
			signal(p.changed)
		}
		if pong.ConfigVersion > p.e.configVersion() {
			p.e.fetchConfig(ctx, conn)
		}
		select {
		case <-ctx.Done():
			return
		case <-conn.Done():
			return
		case <-l.kick:
		case <-time.After(p.pingInterval()):
		}
	}
}

func (l *peer) set(c *transport.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
}

func (l *peer) heard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missed = 0
}

// pingInterval returns the time between pings of one peer.
func (p *peers) pingInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(minPingInterval, time.Duration(len(p.links))*time.Second/pingsPerSecond), maxPingInterval)
}

// miss counts a ping or dial without an answer, at most one per ping interval,
// since a dial may fail at once.
func (l *peer) miss(p *peers) {
	interval := p.pingInterval()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.lastMiss) >= interval {
		l.missed++
		l.lastMiss = now
	}
	if l.missed >= missedPings {
		signal(p.changed)
	}
}

func (l *peer) gone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.missed >= missedPings
}

// missing lists the peers that missed their pings.
func (p *peers) missing() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []uint64
	for id, l := range p.links {
		if l.gone() {
			out = append(out, id)
		}
	}
	return out
}

// anyMissing reports whether a peer did not answer its last ping.
func (p *peers) anyMissing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.mu.Lock()
		missed := l.missed > 0
		l.mu.Unlock()
		if missed {
			return true
		}
	}
	return false
}

// conn returns the connection to a peer, or nil.
func (p *peers) conn(incarnation uint64) *transport.Conn {
	p.mu.Lock()
	l := p.links[incarnation]
	p.mu.Unlock()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// forward sends a request to the owner of its key. It returns nil when there is
// no answer and the owner is to be looked up again.
func (p *peers) forward(ctx context.Context, r *request, to ownership.Member, version uint64) *api.Answer {
	conn := p.conn(to.Incarnation)
	left := r.deadline.Sub(p.e.clock.now())
	if conn == nil {
		return nil
	}
	ctx, span := p.e.o.Tracer.Start(ctx, "forward")
	defer span.End()
	m := &wire.Forward{
		Op: r.op, Key: r.key, RosterVersion: version, Wait: r.wait, Trace: telemetry.Traceparent(ctx),
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
	conn.Expect(1)
	defer conn.Expect(-1)
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

// serve answers the requests of another entry.
func (p *peers) serve(ctx context.Context, pending *transport.Pending) {
	conn, err := pending.Accept(&wire.Welcome{Name: p.e.self.Name, Incarnation: p.e.self.Incarnation, ConfigVersion: p.e.configVersion()})
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { conn.Close(nil) })
	defer stop()
	go func() {
		for {
			if _, err := conn.Receive(); err != nil {
				return
			}
		}
	}()
	conn.ServeCalls(p.handle)
}

func (p *peers) handle(ctx context.Context, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.Ping:
		version, ok := ask(ctx, p.e, func(c *core) uint64 { return c.rosterVersion() })
		if !ok {
			return nil
		}
		if m.RosterVersion > version {
			signal(p.changed)
		}
		return &wire.Pong{Seq: m.Seq, RosterVersion: version, ConfigVersion: p.e.configVersion()}
	case *wire.Forward:
		if m.Op == wire.OpConfig {
			return p.e.configReply()
		}
		return p.forwarded(ctx, m)
	case *wire.Handover:
		return p.handover(ctx, m)
	}
	return nil
}

// forwarded answers a request that a peer sent here.
func (p *peers) forwarded(ctx context.Context, m *wire.Forward) wire.Message {
	var sub api.Submission
	if json.Unmarshal(m.Submission, &sub) != nil {
		return nil
	}
	p.e.forwarded.Add(1)
	defer p.e.forwarded.Add(-1)
	ctx, span := p.e.o.Tracer.Start(telemetry.WithTraceparent(ctx, m.Trace), "forwarded")
	defer span.End()
	r := &request{op: m.Op, key: m.Key, team: sub.Team, wait: m.Wait, peer: true, ctx: ctx}
	r.deadline = p.e.clock.now().Add(time.Duration(m.TimeLeftMS) * time.Millisecond)
	if m.Op == wire.OpSubmit {
		r.sub, r.digest = &sub, sub.Digest()
	}
	got, ok := p.e.local(ctx, r)
	if !ok {
		return nil
	}
	a := got.answer
	if a == nil && got.to != nil {
		a = p.forward(ctx, r, *got.to, got.version)
	}
	if a == nil {
		return &wire.ForwardReply{NotOwner: true, RosterVersion: got.version}
	}
	b, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	return &wire.ForwardReply{RosterVersion: got.version, Answer: b}
}

// handover adopts the roster of the asker and names the keys that this entry
// keeps although the asker owns them.
func (p *peers) handover(ctx context.Context, m *wire.Handover) wire.Message {
	r, err := parseRoster(m.Roster)
	if err != nil || r == nil || r.Version != m.RosterVersion {
		return nil
	}
	owned := r.OwnedBy(m.Asker)
	ack, ok := ask(ctx, p.e, func(c *core) *wire.HandoverAck {
		c.adopt(r)
		keys := c.jobs.Keys(owned)
		a := &wire.HandoverAck{Incarnation: p.e.self.Incarnation, RosterVersion: r.Version, Keys: make([]wire.Key, len(keys))}
		for i, k := range keys {
			a.Keys[i] = k
		}
		return a
	})
	if !ok {
		return nil
	}
	return ack
}
