package entry

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/table"
)

const (
	rosterPollInterval = time.Second
	platformTimeout    = 2 * time.Second
	// rosterStaleAfter is the age of the last successful roster poll beyond which
	// this entry may have been removed, if a peer does not answer pings either.
	// Peers remove an entry at the earliest after 3 s of missed pings.
	rosterStaleAfter = 2 * time.Second
)

// platformHealth records when a roster poll last succeeded, and the error of the
// last poll. It is safe for concurrent use.
type platformHealth struct {
	mu          sync.Mutex
	lastSuccess time.Time
	err         error
}

func (h *platformHealth) record(now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err = err; err == nil {
		h.lastSuccess = now
	}
}

func (h *platformHealth) last() (lastSuccess time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastSuccess, h.err
}

func (h *platformHealth) stale(now time.Time) bool {
	lastSuccess, _ := h.last()
	return now.Sub(lastSuccess) > rosterStaleAfter
}

// rosterLoop joins the roster, polls it, and removes unresponsive peers.
func (e *Entry) rosterLoop(ctx context.Context) error {
	joined := false
	for {
		err := e.pollRoster(ctx, &joined)
		if ctx.Err() != nil {
			return nil
		}
		if _, old := e.health.last(); err != nil && old == nil {
			e.log.WithError(err).Warn("roster poll failed; requests continue with the last roster")
		}
		if lastSuccess, old := e.health.last(); err == nil && old != nil && !lastSuccess.IsZero() {
			e.log.Info("roster polls succeed again")
		}
		e.health.record(e.clock.now(), err)
		select {
		case <-ctx.Done():
			return nil
		case <-e.peers.pollNow:
		case <-time.After(rosterPollInterval):
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
			return errors.New("the platform has no roster row")
		}
		if *joined {
			e.post(ctx, func(ls *loopState) { ls.handleRemoval(r) })
			return nil
		}
		if r, err = e.joinRoster(ctx); err != nil {
			return errors.Wrap(err, "join the roster")
		}
		*joined = true
		e.log.WithField("roster_version", r.Version).Info("joined the roster")
	}
	e.adoptPolledRoster(ctx, r, began)
	if err := e.readAgents(ctx, r.Version); err != nil {
		return err
	}
	if err := e.confirmRoster(ctx); err != nil {
		return err
	}
	return e.removeUnresponsive(ctx, r)
}

func (e *Entry) readRoster(ctx context.Context) (*ownership.Roster, error) {
	row, err := e.options.Platform.Get(ctx, table.RowRoster)
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

// updateRoster changes the roster by compare-and-set. It writes nothing if change
// returns nil or r. If the reply is lost, the operation id in the stored roster
// shows whether the write took place.
func (e *Entry) updateRoster(ctx context.Context, change func(r *ownership.Roster, op string) *ownership.Roster) (*ownership.Roster, error) {
	return e.writeRoster(ctx, uuid.NewString(), change)
}

// writeRoster is updateRoster with a given operation id.
func (e *Entry) writeRoster(ctx context.Context, op string, change func(r *ownership.Roster, op string) *ownership.Roster) (*ownership.Roster, error) {
	row, err := table.Update(ctx, e.options.Platform, table.RowRoster, op, func(old []byte) ([]byte, error) {
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

func (e *Entry) joinRoster(ctx context.Context) (*ownership.Roster, error) {
	// The configuration is read first, so that a ready entry knows the services.
	if row, err := e.options.Platform.Get(ctx, table.RowConfig); err == nil {
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
		e.post(ctx, func(ls *loopState) { ls.adoptRoster(r) })
		e.log.WithField("roster_version", r.Version).Info("left the roster")
		e.reportDeparture(ctx, r)
	}
	return err
}

// removeUnresponsive removes the peers that missed their pings from the roster.
func (e *Entry) removeUnresponsive(ctx context.Context, r *ownership.Roster) error {
	for _, m := range e.peers.unresponsive() {
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
		e.post(ctx, func(ls *loopState) { ls.adoptRoster(n) })
	}
	return nil
}

// confirmRoster records in the roster the joins and fences that this entry has
// completed, so that the roster history can be dropped.
func (e *Entry) confirmRoster(ctx context.Context) error {
	op := uuid.NewString()
	n, ok := postAndWait(ctx, e, func(ls *loopState) *ownership.Roster { return ls.resolver.Confirm(time.Now(), op) })
	if !ok || n == nil {
		return nil
	}
	written, err := e.writeRoster(ctx, op, func(r *ownership.Roster, _ string) *ownership.Roster {
		if r == nil || r.Version+1 != n.Version {
			return nil // another entry has written a newer version
		}
		return n
	})
	var unknown *table.UnknownOutcomeError
	switch {
	// In the first two cases the next poll reads the stored roster, and the confirmation
	// is repeated if it is missing there.
	case errors.As(err, &unknown):
		e.log.WithError(err).Info("unclear whether the roster confirmation was written; reading the roster again")
		return nil
	case err == nil && (written == nil || written.Op != op):
		return nil
	case err == nil:
		e.post(ctx, func(ls *loopState) { ls.adoptRoster(n) })
	}
	return errors.Wrap(err, "confirm the roster")
}

// adoptPolledRoster passes a roster that was read from the platform to the
// event loop. A read that began after maybeRemoved was set clears it.
func (e *Entry) adoptPolledRoster(ctx context.Context, r *ownership.Roster, began time.Time) {
	e.post(ctx, func(ls *loopState) {
		ls.adoptRoster(r)
		if began.After(ls.maybeRemovedAt) && !ls.removed {
			ls.maybeRemoved = false
		}
	})
}

// readAgents reads the agent registrations at the start and whenever the
// resolver needs them.
func (e *Entry) readAgents(ctx context.Context, version uint64) error {
	need, ok := postAndWait(ctx, e, func(ls *loopState) bool {
		p := ls.resolver.Pending()
		return p.AgentsStale || len(p.Fences) > 0 || !ls.agentsRead
	})
	if !ok || !need {
		return nil
	}
	rows, err := e.options.Platform.List(ctx, table.PrefixAgents)
	if err != nil {
		return errors.Wrap(err, "list the agents")
	}
	regs := e.registrations.decode(rows, e.log)
	e.post(ctx, func(ls *loopState) { ls.setAgents(regs, version) })
	return nil
}

// registrations holds the last usable registration of each worker. Only rosterLoop uses
// it.
type registrations struct {
	known    map[string]ownership.Registration
	rejected directory.Rejected
}

// decode decodes the registrations in rows. A worker whose row can't be used keeps its
// last usable registration. If there is none, its agent counts as one that has not
// answered: it may hold records, and only the operator can tell that it is gone.
func (r *registrations) decode(rows []table.Row, log *logrus.Entry) []ownership.Registration {
	known := make(map[string]ownership.Registration, len(rows))
	regs := make([]ownership.Registration, 0, len(rows))
	for _, row := range rows {
		worker := strings.TrimPrefix(row.Key, table.PrefixAgents)
		reg, err := ownership.DecodeRegistration(worker, row.Value)
		if err != nil {
			if r.rejected.Add(row.Key, row.Value) {
				log.WithError(err).Warn("cannot use the registration of a worker; the last usable one stays in use")
			}
			if last, ok := r.known[worker]; ok {
				reg = last
			} else {
				reg = ownership.Registration{Worker: worker}
			}
		} else {
			r.rejected.Remove(row.Key)
		}
		if reg.Incarnation != 0 {
			known[worker] = reg
		}
		regs = append(regs, reg)
	}
	r.known = known
	return regs
}

func (ls *loopState) rosterVersion() uint64 {
	if r := ls.resolver.Roster(); r != nil {
		return r.Version
	}
	return 0
}

// adoptRoster adopts a newer roster and passes it to the peers, the agents and
// admission.
func (ls *loopState) adoptRoster(r *ownership.Roster) {
	if !ls.resolver.Adopt(r, ls.now()) {
		return
	}
	ls.e.peers.setRoster(r)
	// Poll again at once: the poll reads which agents have to fence the members
	// that left.
	notify(ls.e.peers.pollNow)
	ls.setTeams()
	for _, ag := range ls.agents {
		ls.pushUpdates(ag)
	}
	ls.retryBlocked(ls.now())
}

func (ls *loopState) setAgents(regs []ownership.Registration, version uint64) {
	ls.resolver.SetAgents(regs, version)
	if !ls.agentsRead {
		ls.agentsRead, ls.readyDeadline = true, ls.now().Add(agentConnectTimeout)
		for _, g := range regs {
			if g.LeftAt.IsZero() {
				ls.registeredAgents++
			}
		}
		ls.checkReady()
	}
}

// handleRemoval handles the removal of this incarnation by its peers. Jobs with
// tasks that have not started fail, since they cannot be completed here; the
// others finish.
func (ls *loopState) handleRemoval(r *ownership.Roster) {
	if ls.draining || ls.removed {
		return
	}
	ls.e.log.Warn("this entry was removed from the roster; finishing started tasks, then exiting")
	ls.removed, ls.maybeRemoved = true, true
	for _, m := range r.Members {
		if m.Name == ls.e.self.Name {
			ls.e.replaced.Store(true)
		}
	}
	ls.e.notReady.Store("removed from the roster by the other entries")
	ls.adoptRoster(r)
	ls.failUnstartedJobs()
}

func (ls *loopState) failUnstartedJobs() {
	for key := range ls.activeJobs {
		if ls.jobs.HasUnstartedTasks(key) {
			ls.apply(ls.jobs.Fail(key, api.ReasonOwnerChange, "the entry was removed from the roster before all tasks had started"))
		}
	}
}
