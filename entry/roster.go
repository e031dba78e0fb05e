package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/table"
)

const (
	rosterInterval  = time.Second
	platformTimeout = 2 * time.Second
	// doubtfulAfter is how old the last reading of the roster may be while a
	// peer is missing. Peers need 3 s of missed pings to remove this entry.
	doubtfulAfter = 2 * time.Second
	// agentsWait bounds how long a joining entry waits for the registered agents
	// to connect before it is ready.
	agentsWait = 3 * time.Second
)

// platformHealth says when the platform was last reached. Safe for concurrent
// use.
type platformHealth struct {
	mu   sync.Mutex
	seen time.Time
	err  error
}

func (h *platformHealth) note(now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err = err; err == nil {
		h.seen = now
	}
}

func (h *platformHealth) get() (seen time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen, h.err
}

func (h *platformHealth) doubtful(now time.Time) bool {
	seen, _ := h.get()
	return now.Sub(seen) > doubtfulAfter
}

// rosterLoop polls the roster, joins it, and removes peers that are missing.
func (e *Entry) rosterLoop(ctx context.Context) error {
	joined := false
	for {
		err := e.pollRoster(ctx, &joined)
		if ctx.Err() != nil {
			return nil
		}
		if _, old := e.health.get(); err != nil && old == nil {
			e.log.WithError(err).Warn("cannot read the roster; requests continue with the last one")
		}
		if seen, old := e.health.get(); err == nil && old != nil && !seen.IsZero() {
			e.log.Info("the roster is read again")
		}
		e.health.note(e.clock.now(), err)
		select {
		case <-ctx.Done():
			return nil
		case <-e.peers.changed:
		case <-time.After(rosterInterval):
		}
	}
}

func (e *Entry) pollRoster(ctx context.Context, joined *bool) error {
	ctx, cancel := context.WithTimeout(ctx, 2*platformTimeout)
	defer cancel()
	began := e.clock.now()
	r, err := e.readRoster(ctx)
	if err != nil {
		return err
	}
	if _, ok := r.Find(e.self.Incarnation); !ok {
		if *joined && r == nil {
			return errors.New("the roster is gone from the platform")
		}
		if *joined {
			e.post(ctx, func(c *core) { c.onRemoved(r) })
			return nil
		}
		if r, err = e.join(ctx); err != nil {
			return errors.Wrap(err, "join the roster")
		}
		*joined = true
		e.log.WithField("roster_version", r.Version).Info("joined the roster")
	}
	e.adopt(ctx, r, began)
	if err := e.readAgents(ctx, r.Version); err != nil {
		return err
	}
	if err := e.confirm(ctx); err != nil {
		return err
	}
	return e.removeMissing(ctx, r)
}

func (e *Entry) readRoster(ctx context.Context) (*ownership.Roster, error) {
	row, err := e.o.Platform.Get(ctx, table.RowRoster)
	if errors.Is(err, table.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the roster")
	}
	return parseRoster(row.Value)
}

func parseRoster(value []byte) (*ownership.Roster, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var r ownership.Roster
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(err, "decode the roster")
	}
	return &r, nil
}

// updateRoster changes the roster by compare-and-set. A lost reply is resolved
// by reading back the operation id.
func (e *Entry) updateRoster(ctx context.Context, change func(r *ownership.Roster, op string) *ownership.Roster) (*ownership.Roster, error) {
	return e.writeRoster(ctx, uuid.NewString(), change)
}

// writeRoster is updateRoster with an operation id that is known already.
func (e *Entry) writeRoster(ctx context.Context, op string, change func(r *ownership.Roster, op string) *ownership.Roster) (*ownership.Roster, error) {
	row, err := table.Update(ctx, e.o.Platform, table.RowRoster, op, func(old []byte) ([]byte, error) {
		r, err := parseRoster(old)
		if err != nil {
			return nil, err
		}
		n := change(r, op)
		if n == nil || n == r {
			return nil, table.ErrUnchanged
		}
		return json.Marshal(n)
	})
	if err != nil {
		return nil, err
	}
	return parseRoster(row.Value)
}

func (e *Entry) join(ctx context.Context) (*ownership.Roster, error) {
	// The configuration is read first, so that a ready entry knows the services.
	if row, err := e.o.Platform.Get(ctx, table.RowConfig); err == nil {
		if c, err := config.Decode(row.Value); err == nil {
			e.config.Adopt(c)
		}
	} else if !errors.Is(err, table.ErrNotFound) {
		return nil, err
	}
	return e.updateRoster(ctx, func(r *ownership.Roster, op string) *ownership.Roster {
		return r.Join(e.self, time.Now(), op)
	})
}

func (e *Entry) leaveRoster(ctx context.Context) error {
	r, err := e.updateRoster(ctx, func(r *ownership.Roster, op string) *ownership.Roster {
		if r == nil {
			return nil
		}
		return r.Remove(e.self.Incarnation, time.Now(), op)
	})
	if err == nil && r != nil {
		e.post(ctx, func(c *core) { c.adopt(r) })
		e.log.WithField("roster_version", r.Version).Info("left the roster")
	}
	return err
}

// removeMissing removes the peers that missed their pings.
func (e *Entry) removeMissing(ctx context.Context, r *ownership.Roster) error {
	for _, m := range e.peers.missing() {
		if _, ok := r.Find(m); !ok {
			continue
		}
		n, err := e.updateRoster(ctx, func(r *ownership.Roster, op string) *ownership.Roster {
			if _, ok := r.Find(e.self.Incarnation); !ok {
				return nil
			}
			return r.Remove(m, time.Now(), op)
		})
		if err != nil {
			return errors.Wrap(err, "remove a peer from the roster")
		}
		e.log.WithField("incarnation", m).WithField("roster_version", n.Version).Warn("removed a peer that does not answer")
		e.post(ctx, func(c *core) { c.adopt(n) })
	}
	return nil
}

// confirm writes what this entry has found complete, so that the history of the
// roster can be dropped.
func (e *Entry) confirm(ctx context.Context) error {
	op := uuid.NewString()
	n, ok := ask(ctx, e, func(c *core) *ownership.Roster { return c.own.Confirm(time.Now(), op) })
	if !ok || n == nil {
		return nil
	}
	written, err := e.writeRoster(ctx, op, func(r *ownership.Roster, _ string) *ownership.Roster {
		if r == nil || r.Version+1 != n.Version {
			return nil // another entry was faster
		}
		return n
	})
	var doubt *table.DoubtError
	switch {
	// In both cases the next poll reads what is there, and the confirmation is
	// made again if it is missing.
	case errors.As(err, &doubt):
		e.log.WithError(err).Info("confirmation of the roster may be written, reading it again")
		return nil
	case err == nil && (written == nil || written.Op != op):
		return nil
	case err == nil:
		e.post(ctx, func(c *core) { c.adopt(n) })
	}
	return errors.Wrap(err, "confirm the roster")
}

// adopt hands a roster that was read from the platform to the core loop.
func (e *Entry) adopt(ctx context.Context, r *ownership.Roster, began time.Time) {
	e.post(ctx, func(c *core) {
		c.adopt(r)
		if began.After(c.suspectAt) && !c.removed {
			c.suspect = false
		}
	})
}

// readAgents reads the registrations when the ownership state asks for them.
func (e *Entry) readAgents(ctx context.Context, version uint64) error {
	need, ok := ask(ctx, e, func(c *core) bool {
		p := c.own.Pending()
		return p.ReadAgents || len(p.Fences) > 0 || !c.agentsRead
	})
	if !ok || !need {
		return nil
	}
	rows, err := e.o.Platform.List(ctx, table.PrefixAgents)
	if err != nil {
		return errors.Wrap(err, "list the agents")
	}
	regs := make([]ownership.Registration, 0, len(rows))
	for _, row := range rows {
		var g ownership.Registration
		if err := json.Unmarshal(row.Value, &g); err != nil {
			return errors.Wrapf(err, "decode row %q", row.Key)
		}
		regs = append(regs, g)
	}
	e.post(ctx, func(c *core) { c.setAgents(regs, version) })
	return nil
}

func (c *core) rosterVersion() uint64 {
	if r := c.own.Roster(); r != nil {
		return r.Version
	}
	return 0
}

// adopt takes a roster and passes it on.
func (c *core) adopt(r *ownership.Roster) {
	if !c.own.Adopt(r, c.now()) {
		return
	}
	c.e.peers.set(r)
	// The next poll reads the agents that have to fence who left.
	signal(c.e.peers.changed)
	c.setTeams()
	for _, ag := range c.agents {
		c.push(ag)
	}
	c.retryBlocked(c.now())
}

func (c *core) setAgents(regs []ownership.Registration, version uint64) {
	c.own.SetAgents(regs, version)
	if !c.agentsRead {
		c.agentsRead, c.readyBy = true, c.now().Add(agentsWait)
		for _, g := range regs {
			if g.LeftAt.IsZero() {
				c.registered++
			}
		}
		c.checkReady()
	}
}

// checkReady makes the entry ready once the registered agents have connected,
// so that a restarted entry does not refuse jobs for want of workers.
func (c *core) checkReady() {
	if c.ready || !c.agentsRead || c.draining || c.removed {
		return
	}
	if len(c.workers) >= c.registered || !c.now().Before(c.readyBy) {
		c.ready = true
		c.e.notReady.Store("")
		c.e.log.WithField("workers", len(c.workers)).Info("ready")
	}
}

// onRemoved handles the removal of this incarnation by its peers: jobs with
// tasks that have not started cannot be completed here, the others finish.
func (c *core) onRemoved(r *ownership.Roster) {
	if c.draining || c.removed {
		return
	}
	c.e.log.Warn("this entry was removed from the roster; it finishes what it started and ends")
	c.removed, c.suspect = true, true
	for _, m := range r.Members {
		if m.Name == c.e.self.Name {
			c.e.replaced.Store(true)
		}
	}
	c.e.notReady.Store("removed from the roster by the other entries")
	c.adopt(r)
	c.failWaiting()
}

func (c *core) failWaiting() {
	for key := range c.active {
		if c.jobs.HasWaiting(key) {
			c.apply(c.jobs.Fail(key, api.ReasonOwnerChange, "the entry was removed from the roster before all tasks had started"))
		}
	}
}
