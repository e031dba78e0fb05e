package dispatchd

import (
	"context"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/dispatch"
)

// Explain returns what would happen to a job that was submitted now, and changes nothing. The
// event loop only copies its state; the rest is done in the goroutine of the caller. The
// error is ErrStopped or that of ctx.
func (d *Dispatcher) Explain(ctx context.Context, job dispatch.Job) (dispatch.Explanation, error) {
	if d.refusing.Load() {
		return dispatch.Explanation{Decision: dispatch.Refused, Reason: api.ReasonDraining, Message: "the entry is ending", Queue: job.Queue, Service: job.Service}, nil
	}
	var snapshot *dispatch.Snapshot
	var at time.Duration
	if err := d.call(ctx, func(now time.Duration) { snapshot, at = d.scheduler.Snapshot(job.ID), now }); err != nil {
		return dispatch.Explanation{}, err
	}
	return snapshot.Explain(at, job), nil
}

// Name is the name of the entry.
func (d *Dispatcher) Name() string { return d.opts.Name }

// Zone is the availability zone of the entry.
func (d *Dispatcher) Zone() string { return d.opts.Zone }
