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

	// Backoff of dials. The first retry is quick, since a silent connection is
	// replaced this way. The longest one keeps the dials of 890 agents at an
	// entry that comes back below 500 a second.
	dialBackoffMin = 50 * time.Millisecond
	dialBackoffMax = 2 * time.Second
	// confirmTimeout bounds the wait for an entry to confirm the last results
	// of a drain.
	confirmTimeout = 500 * time.Millisecond
)

// link is one connection to an entry. Only the core loop uses its fields
// besides conn, name and incarnation.
type link struct {
	conn        *transport.Conn
	name        string
	incarnation uint64
	expecting   bool
	lastResult  time.Time
}

// endpoint is where an entry listens. An entry that rejoins under a new
// incarnation keeps its connection.
type endpoint struct{ name, addr string }

// syncDials starts and ends dial loops so that they follow the roster. The
// connection to an entry that left the roster stays until the entry closes it,
// since it may still wait for results.
func (c *core) syncDials() {
	want := map[endpoint]bool{}
	for _, m := range chooseEntries(c.roster.Members, c.a.settings.Name, c.a.settings.EntryFanout) {
		want[endpoint{m.Name, m.PeerAddr}] = true
	}
	for e, cancel := range c.dials {
		if !want[e] {
			cancel()
			delete(c.dials, e)
		}
	}
	for e := range want {
		if c.dials[e] == nil {
			ctx, cancel := context.WithCancel(c.a.ctx)
			c.dials[e] = cancel
			c.a.dials.Go(func() { c.a.keepLink(ctx, e) })
		}
	}
	c.probeFormer()
}

// probeFormer probes the connections to incarnations that have left the roster.
// A process that crashed and started again leaves a connection on which nothing
// is expected, and the new one has no worker until it is replaced.
func (c *core) probeFormer() {
	for l := range c.links {
		same := func(m ownership.Member) bool { return m.Incarnation == l.incarnation }
		if !slices.ContainsFunc(c.roster.Members, same) {
			l.conn.Probe()
		}
	}
}

// chooseEntries returns the n members with the highest rendezvous hash for a
// worker; 0 means all.
func chooseEntries(members []ownership.Member, worker string, n int) []ownership.Member {
	if n <= 0 || n >= len(members) {
		return members
	}
	weight := func(m ownership.Member) uint64 { return xxhash.Sum64String(worker + "\x00" + m.Name) }
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b ownership.Member) int { return cmp.Compare(weight(b), weight(a)) })
	return members[:n]
}

// keepLink is the loop that holds one connection to an entry until ctx ends.
func (a *Agent) keepLink(ctx context.Context, e endpoint) {
	log := a.log.WithField("entry", e.name)
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = dialBackoffMin, dialBackoffMax
	tried := false
	for ctx.Err() == nil {
		conn, w, err := a.dial(ctx, e)
		if err != nil {
			// One warning for each loss: an entry that is off is dialed for hours.
			if ctx.Err() == nil && !tried {
				log.WithError(err).Warn("cannot connect to the entry, trying again")
			}
			tried = true
			sleep(ctx, b.NextBackOff())
			continue
		}
		b.Reset()
		tried = false
		l := &link{conn: conn, name: w.Name, incarnation: w.Incarnation}
		log.WithField("entry_incarnation", w.Incarnation).Info("connected to the entry")
		err = a.serveLink(l)
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

// serveLink reads a connection until it closes.
func (a *Agent) serveLink(l *link) error {
	stop := context.AfterFunc(a.ctx, func() { l.conn.Close(nil) })
	defer stop()
	a.post(linkUp{l})
	defer a.post(linkDown{l})
	go l.conn.ServeCalls(a.serveCall)
	for {
		m, err := l.conn.Receive()
		if err != nil {
			return err
		}
		if !a.post(received{l, m}) {
			return context.Canceled
		}
	}
}

// serveCall answers a request that an entry sends on a stream of its own.
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

func (c *core) peer(incarnation uint64) *peer {
	p := c.peers[incarnation]
	if p == nil {
		p = &peer{}
		c.peers[incarnation] = p
	}
	return p
}

func (c *core) linkUp(l *link) {
	c.links[l] = struct{}{}
	c.a.links.Store(int64(len(c.links)))
	c.peer(l.incarnation).link = l
	// The Hello may be out of date by now.
	c.report(l)
}

func (c *core) linkDown(l *link) {
	delete(c.links, l)
	c.a.links.Store(int64(len(c.links)))
	for _, p := range c.peers {
		if p.link == l {
			p.link, p.backlog = nil, 0
		}
	}
}

func (c *core) openLinks() []*link {
	links := make([]*link, 0, len(c.links))
	for l := range c.links {
		links = append(links, l)
	}
	return links
}

// send queues a message and reports whether it was queued. A connection that
// takes no more messages is closed; its entry settles what is in doubt.
func (c *core) send(l *link, m wire.Message) bool {
	err := l.conn.Send(m)
	if err != nil {
		l.conn.Close(err)
	}
	return err == nil
}

// expectFrom makes the transport watch a connection for silence while the entry
// has tasks here or has just got a result. Otherwise a result that is lost on
// the way would only be noticed at the idle timeout.
func (c *core) expectFrom(l *link) {
	if !l.expecting {
		l.expecting = true
		l.conn.Expect(1)
	}
}

// expect ends the watch of connections that have nothing in progress.
func (c *core) expect(now time.Time) {
	open := map[*link]bool{}
	for _, t := range c.tasks {
		for _, l := range c.audience(t) {
			open[l] = true
		}
	}
	for l := range c.links {
		switch {
		case open[l]:
			c.expectFrom(l)
		case l.expecting && now.Sub(l.lastResult) > expectAfterResult:
			l.expecting = false
			l.conn.Expect(-1)
		}
	}
}

// confirmAll waits until the entries have read what was sent to them, or
// confirmTimeout is over.
func confirmAll(links []*link) {
	var g sync.WaitGroup
	for _, l := range links {
		g.Go(func() { confirm(l.conn) })
	}
	g.Wait()
}

// confirm uses that a peer answers a Ping after it has read everything before
// it.
func confirm(c *transport.Conn) {
	c.Flush()
	_, before, _ := c.Counts()
	if c.Send(&wire.Ping{}) != nil {
		return
	}
	for end := time.Now().Add(confirmTimeout); time.Now().Before(end) && c.Err() == nil; time.Sleep(time.Millisecond) {
		if _, received, _ := c.Counts(); received > before {
			return
		}
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
