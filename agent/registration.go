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
	// rosterJitter. Entries push changes; the reads make up for lost pushes.
	rosterInterval = 30 * time.Second
	rosterJitter   = 6 * time.Second
	// disconnectedInterval is used instead of rosterInterval while no entry is
	// connected.
	disconnectedInterval = 3 * time.Second
	disconnectedJitter   = time.Second
	// platformTimeout limits a request to the platform.
	platformTimeout = 5 * time.Second
	// Backoff between failed requests to the platform.
	platformBackoffMin = 200 * time.Millisecond
	platformBackoffMax = 10 * time.Second
)

// registerAndFollowRoster registers the agent, then reads the roster at intervals
// until ctx is done. The order matters: an entry that changes the roster before
// this agent reads it must find the registration, so that it sends a Fence.
func (a *Agent) registerAndFollowRoster(ctx context.Context) error {
	a.registered.Store(a.retry(a.registerCtx, "register", a.register))
	close(a.registerEnded)
	if !a.registered.Load() {
		<-ctx.Done()
		return nil
	}
	a.log.Info("registered")
	for a.retry(ctx, "read the roster", a.readRoster) {
		wait := rosterInterval - rosterJitter + rand.N(2*rosterJitter)
		if a.openConns.Load() == 0 {
			wait = disconnectedInterval - disconnectedJitter + rand.N(2*disconnectedJitter)
		}
		sleep(ctx, wait)
		a.checkRegistration(ctx)
	}
	return nil
}

// retry calls f with backoff until it succeeds. It returns false if ctx is done
// first. action names the call in warnings, of which there is one for each change of
// the error.
func (a *Agent) retry(ctx context.Context, action string, f func(context.Context) error) bool {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = platformBackoffMin, platformBackoffMax
	logged := ""
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, platformTimeout)
		err := f(attemptCtx)
		cancel()
		if err == nil {
			return true
		}
		if err.Error() != logged {
			logged = err.Error()
			a.log.WithError(err).Warnf("cannot %s; retrying", action)
		}
		sleep(ctx, b.NextBackOff())
	}
	return false
}

func (a *Agent) registrationKey() string { return table.PrefixAgents + a.settings.Name }

// parseRegistration returns the registration in the row of this agent's worker. A row
// that cannot be used gives incarnation 0, which no agent has.
func (a *Agent) parseRegistration(value []byte) ownership.Registration {
	r, err := ownership.DecodeRegistration(a.settings.Name, value)
	if err != nil {
		return ownership.Registration{}
	}
	return r
}

// register makes one attempt to write the registration. It reads the row first: if
// an earlier attempt wrote it but the reply was lost, the row already has this
// incarnation.
func (a *Agent) register(ctx context.Context) error {
	_, err := table.Update(ctx, a.options.Platform, a.registrationKey(), "", func(old []byte) ([]byte, error) {
		if r := a.parseRegistration(old); r.Incarnation == a.incarnation {
			a.registration = r
			return nil, table.ErrUnchanged
		}
		a.registrationAttempted.Store(true)
		r := ownership.Registration{
			Worker: a.settings.Name, Incarnation: a.incarnation, Addr: a.AnnounceAddr(), Zone: a.settings.Zone,
		}
		if old != nil {
			r.ReplacedAt = time.Now().UTC()
		}
		a.registration = r
		return json.Marshal(r)
	})
	return err
}

// checkRegistration makes the agent refuse new tasks if another process has
// registered for the same worker, an operator has retired the worker, or its row is
// missing. Entries send a Fence only to registered incarnations, so this one must
// start no more tasks. A row that cannot be used was left by another writer, since
// agents write only registrations; it is restored.
func (a *Agent) checkRegistration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	row, err := a.options.Platform.Get(ctx, a.registrationKey())
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return
	}
	if err == nil && a.parseRegistration(row.Value).Incarnation == 0 {
		a.restoreRegistration(ctx)
		return
	}
	if r := a.parseRegistration(row.Value); r.Incarnation != a.incarnation || !r.LeftAt.IsZero() {
		a.log.WithField("registered", r.Incarnation).Error("another process has registered for this worker, or the worker was retired; refusing new tasks until this agent is restarted")
		a.post(registrationReplaced{})
	}
}

// restoreRegistration writes the registration of this agent again, unless the row can
// be used in the meantime.
func (a *Agent) restoreRegistration(ctx context.Context) {
	_, err := table.Update(ctx, a.options.Platform, a.registrationKey(), "", func(old []byte) ([]byte, error) {
		if a.parseRegistration(old).Incarnation != 0 {
			return nil, table.ErrUnchanged
		}
		return json.Marshal(a.registration)
	})
	if err != nil {
		a.log.WithError(err).Warn("cannot restore the registration, which another writer has overwritten; retrying")
		return
	}
	a.log.Warn("restored the registration, which another writer had overwritten")
}

// markLeft sets LeftAt in the registration row, unless the row belongs to another
// incarnation.
func (a *Agent) markLeft(ctx context.Context) error {
	done := a.retry(ctx, "mark the registration as left", func(ctx context.Context) error {
		_, err := table.Update(ctx, a.options.Platform, a.registrationKey(), "", func(old []byte) ([]byte, error) {
			r := a.parseRegistration(old)
			if r.Incarnation != a.incarnation || !r.LeftAt.IsZero() {
				return nil, table.ErrUnchanged
			}
			r.LeftAt = time.Now().UTC()
			return json.Marshal(r)
		})
		return err
	})
	if !done {
		return errors.New("drain complete, but the registration was not marked as left")
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
