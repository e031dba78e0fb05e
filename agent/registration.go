package agent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/table"
)

const (
	// rosterInterval is the time between reads of the roster, plus or minus
	// rosterJitter. Entries push changes; the reads cover a lost push.
	rosterInterval = 30 * time.Second
	rosterJitter   = 6 * time.Second
	// searchInterval replaces rosterInterval while no entry is connected.
	searchInterval = 3 * time.Second
	searchJitter   = time.Second
	// platformTimeout bounds a request to the platform.
	platformTimeout = 5 * time.Second
	// Backoff of requests to a platform that does not answer.
	platformBackoffMin = 200 * time.Millisecond
	platformBackoffMax = 10 * time.Second
)

// follow registers the agent and then follows the roster until ctx ends. The
// order matters: an entry that changed the roster before this agent read it
// finds the registration and sends a Fence.
func (a *Agent) follow(ctx context.Context) error {
	a.registered.Store(a.retry(a.joining, "register", a.register))
	close(a.joinEnded)
	if !a.registered.Load() {
		<-ctx.Done()
		return nil
	}
	a.log.Info("registered")
	for a.retry(ctx, "read the roster", a.readRoster) {
		wait := rosterInterval - rosterJitter + rand.N(2*rosterJitter)
		if a.links.Load() == 0 {
			wait = searchInterval - searchJitter + rand.N(2*searchJitter)
		}
		sleep(ctx, wait)
		a.checkRegistration(ctx)
	}
	return nil
}

// retry repeats f with backoff until it succeeds. It returns false when ctx
// ends.
func (a *Agent) retry(ctx context.Context, what string, f func(context.Context) error) bool {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = platformBackoffMin, platformBackoffMax
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, platformTimeout)
		err := f(attempt)
		cancel()
		if err == nil {
			return true
		}
		a.log.WithError(err).Warnf("cannot %s, trying again", what)
		sleep(ctx, b.NextBackOff())
	}
	return false
}

func (a *Agent) registrationKey() string { return table.PrefixAgents + a.settings.Name }

// parseRegistration returns the registration in a row. A row that cannot be
// parsed counts as one of another incarnation.
func parseRegistration(value []byte) ownership.Registration {
	var r ownership.Registration
	if json.Unmarshal(value, &r) != nil {
		return ownership.Registration{}
	}
	return r
}

// register makes one attempt. It reads the row first, so that a write whose
// reply was lost in an earlier attempt is found by its incarnation.
func (a *Agent) register(ctx context.Context) error {
	_, err := table.Update(ctx, a.options.Platform, a.registrationKey(), "", func(old []byte) ([]byte, error) {
		if parseRegistration(old).Incarnation == a.incarnation {
			return nil, table.ErrUnchanged
		}
		a.attempted.Store(true)
		r := ownership.Registration{
			Worker: a.settings.Name, Incarnation: a.incarnation, Addr: a.AnnounceAddr(), Zone: a.settings.Zone,
		}
		if old != nil {
			r.ReplacedAt = time.Now().UTC()
		}
		return json.Marshal(r)
	})
	return err
}

// checkRegistration notices that another process has registered for the same
// worker, or that an operator has retired it. Entries fence only registered
// incarnations, so this one must not run anything more.
func (a *Agent) checkRegistration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	row, err := a.options.Platform.Get(ctx, a.registrationKey())
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return
	}
	if r := parseRegistration(row.Value); r.Incarnation != a.incarnation || !r.LeftAt.IsZero() {
		a.log.WithField("registered", r.Incarnation).Error("another process has registered for this worker, or it was retired; this agent takes no tasks until it is restarted")
		a.post(replaced{})
	}
}

// markLeft sets LeftAt in the row of this incarnation.
func (a *Agent) markLeft(ctx context.Context) error {
	done := a.retry(ctx, "mark the registration as left", func(ctx context.Context) error {
		_, err := table.Update(ctx, a.options.Platform, a.registrationKey(), "", func(old []byte) ([]byte, error) {
			r := parseRegistration(old)
			if r.Incarnation != a.incarnation || !r.LeftAt.IsZero() {
				return nil, table.ErrUnchanged
			}
			r.LeftAt = time.Now().UTC()
			return json.Marshal(r)
		})
		return err
	})
	if !done {
		return errors.New("drained, but the registration could not be marked as left")
	}
	return nil
}

func (a *Agent) readRoster(ctx context.Context) error {
	row, err := a.options.Platform.Get(ctx, table.RowRoster)
	if errors.Is(err, table.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	r := &ownership.Roster{}
	if err := json.Unmarshal(row.Value, r); err != nil {
		return errors.Wrap(err, "parse the roster")
	}
	a.post(rosterRead{r})
	return nil
}
