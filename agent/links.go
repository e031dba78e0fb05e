package agent

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	roleAgent = transport.RoleAgent

	// Backoff between dials. The first retry is quick, since it may replace a
	// connection that was closed because the entry did not answer a probe. At the
	// maximum, 890 agents together make fewer than 500 dials a second to an entry
	// that restarts.
	dialBackoffMin = 50 * time.Millisecond
	dialBackoffMax = 2 * time.Second
	// deliveryTimeout limits the wait for the reply to the Ping that is sent after
	// the last results of a drain.
	deliveryTimeout = 500 * time.Millisecond
)

// entryConn is a connection to an entry. The field monitored says whether the
// transport is told to expect a reply on it, see startMonitoring; lastResult is when
// the last Result of a task was sent on it. Only the event loop may use these two.
type entryConn struct {
	conn        *transport.Conn
	name        string
	incarnation uint64
	monitored   bool
	lastResult  time.Time
}

// endpoint is the name and the address of an entry. It has no incarnation, so that
// an entry that rejoins the roster under a new one keeps its connection.
type endpoint struct{ name, addr string }

// syncDialLoops starts and stops dial loops to match the roster. The connection to
// an entry that left the roster stays open until the entry closes it, since the
// entry may still wait for results.
func (el *eventLoop) syncDialLoops() {
	want := map[endpoint]bool{}
	for _, m := range chooseEntries(el.roster.Members, el.agent.settings.Name, el.agent.settings.EntryFanout) {
		want[endpoint{m.Name, m.PeerAddr}] = true
	}
	for e, cancel := range el.dialLoops {
		if !want[e] {
			cancel()
			delete(el.dialLoops, e)
		}
	}
	for e := range want {
		if el.dialLoops[e] == nil {
			ctx, cancel := context.WithCancel(el.agent.ctx)
			el.dialLoops[e] = cancel
			el.agent.dialLoopWG.Go(func() { el.agent.maintainConn(ctx, e) })
		}
	}
	el.probeFormerMembers()
}

// probeFormerMembers probes the connections to incarnations that have left the
// roster. When an entry crashes and restarts, its old connection stays open on this
// side until a probe fails, and the restarted entry cannot use this worker until
// that connection is replaced. If no reply is expected on the connection, the next
// regular probe comes only after transport.IdleProbeInterval.
func (el *eventLoop) probeFormerMembers() {
	for ec := range el.conns {
		sameIncarnation := func(m ownership.Member) bool { return m.Incarnation == ec.incarnation }
		if !slices.ContainsFunc(el.roster.Members, sameIncarnation) {
			ec.conn.Probe()
		}
	}
}

// chooseEntries returns the n members with the highest rendezvous hash for a
// worker, or all members if n is 0.
func chooseEntries(members []ownership.Member, worker string, n int) []ownership.Member {
	if n <= 0 || n >= len(members) {
		return members
	}
	weight := func(m ownership.Member) uint64 { return xxhash.Sum64String(worker + "\x00" + m.Name) }
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b ownership.Member) int { return cmp.Compare(weight(b), weight(a)) })
	return members[:n]
}

// maintainConn keeps a connection to an entry open until ctx is done. It dials
// again with backoff whenever the connection is lost.
func (a *Agent) maintainConn(ctx context.Context, e endpoint) {
	log := a.log.WithField("entry", e.name)
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = dialBackoffMin, dialBackoffMax
	warned := false
	for ctx.Err() == nil {
		conn, welcome, err := a.dial(ctx, e)
		if err != nil {
			// Warn only once for each lost connection, since an entry that is down
			// may be dialed for hours.
			if ctx.Err() == nil && !warned {
				log.WithError(err).Warn("cannot connect to the entry; retrying")
			}
			warned = true
			sleep(ctx, b.NextBackOff())
			continue
		}
		b.Reset()
		warned = false
		ec := &entryConn{conn: conn, name: welcome.Name, incarnation: welcome.Incarnation}
		log.WithField("entry_incarnation", welcome.Incarnation).Info("connected to the entry")
		err = a.serveConn(ec)
		log.WithError(err).Info("connection to the entry closed")
		sleep(ctx, rand.N(dialBackoffMin))
	}
}

func (a *Agent) dial(ctx context.Context, e endpoint) (*transport.Conn, *wire.Welcome, error) {
	reply := make(chan *wire.Hello, 1)
	if !a.post(helloRequest{reply}) {
		return nil, nil, context.Canceled
	}
	select {
	case hello := <-reply:
		return transport.Dial(ctx, e.addr, a.options.Credentials, hello)
	case <-a.ctx.Done():
		return nil, nil, context.Canceled
	}
}

// serveConn passes the messages of a connection to the event loop until the
// connection closes.
func (a *Agent) serveConn(ec *entryConn) error {
	stop := context.AfterFunc(a.ctx, func() { ec.conn.Close(nil) })
	defer stop()
	a.post(connOpened{ec})
	defer a.post(connClosed{ec})
	go ec.conn.ServeCalls(a.serveCall)
	for {
		m, err := ec.conn.Receive()
		if err != nil {
			return err
		}
		if !a.post(messageReceived{ec, m}) {
			return context.Canceled
		}
	}
}

// serveCall answers a request that an entry sent on a separate stream. The only such
// request is Fence.
func (a *Agent) serveCall(ctx context.Context, m wire.Message) wire.Message {
	f, ok := m.(*wire.Fence)
	if !ok {
		return nil
	}
	reply := make(chan wire.Message, 1)
	if !a.post(fenceRequest{f, reply}) {
		return nil
	}
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
	case <-a.ctx.Done():
	}
	return nil
}

// peer returns the state kept for an incarnation and creates it if there is none.
func (el *eventLoop) peer(incarnation uint64) *peer {
	p := el.peers[incarnation]
	if p == nil {
		p = &peer{}
		el.peers[incarnation] = p
	}
	return p
}

func (el *eventLoop) addConn(ec *entryConn) {
	el.conns[ec] = struct{}{}
	el.agent.openConns.Store(int64(len(el.conns)))
	el.peer(ec.incarnation).conn = ec
	// The load may have changed since the Hello was sent.
	el.sendLoadReport(ec)
}

func (el *eventLoop) removeConn(ec *entryConn) {
	delete(el.conns, ec)
	el.agent.openConns.Store(int64(len(el.conns)))
	for _, p := range el.peers {
		if p.conn == ec {
			p.conn, p.backlog = nil, 0
		}
	}
}

func (el *eventLoop) listConns() []*entryConn {
	conns := make([]*entryConn, 0, len(el.conns))
	for ec := range el.conns {
		conns = append(conns, ec)
	}
	return conns
}

// send queues a message and reports whether it was queued. A connection that
// accepts no more messages is closed; the entry then sends a Settle for each task
// whose state it does not know.
func (el *eventLoop) send(ec *entryConn, m wire.Message) bool {
	err := ec.conn.Send(m)
	if err != nil {
		ec.conn.Close(err)
	}
	return err == nil
}

// startMonitoring makes the transport probe a connection on which nothing is
// received while the entry has tasks here or has just been sent a result. Otherwise
// the loss of a result would only be detected by the probe of an idle connection,
// after transport.IdleProbeInterval.
func (el *eventLoop) startMonitoring(ec *entryConn) {
	if !ec.monitored {
		ec.monitored = true
		ec.conn.AddPendingReplies(1)
	}
}

// updateMonitoring starts to monitor the connections on which a result is due, and
// stops monitoring the others once monitorAfterResult has passed.
func (el *eventLoop) updateMonitoring(now time.Time) {
	awaited := map[*entryConn]bool{}
	for _, t := range el.tasks {
		for _, ec := range el.recipients(t) {
			awaited[ec] = true
		}
	}
	for ec := range el.conns {
		switch {
		case awaited[ec]:
			el.startMonitoring(ec)
		case ec.monitored && now.Sub(ec.lastResult) > monitorAfterResult:
			ec.monitored = false
			ec.conn.AddPendingReplies(-1)
		}
	}
}

// waitForDelivery waits until the entries have read all messages sent to them. For
// each entry, the wait is limited by Flush and then by deliveryTimeout.
func waitForDelivery(conns []*entryConn) {
	var g sync.WaitGroup
	for _, ec := range conns {
		g.Go(func() { waitForPingReply(ec.conn) })
	}
	g.Wait()
}

// waitForPingReply sends a Ping and waits for the reply. The entry has then read all
// messages sent before the Ping, since it reads in order. Any other message that
// arrives first also ends the wait.
func waitForPingReply(c *transport.Conn) {
	c.Flush()
	_, receivedBefore, _ := c.Counts()
	if c.Send(&wire.Ping{}) != nil {
		return
	}
	for end := time.Now().Add(deliveryTimeout); time.Now().Before(end) && c.Err() == nil; time.Sleep(time.Millisecond) {
		if _, received, _ := c.Counts(); received > receivedBefore {
			return
		}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
