package dispatchd

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/cancellation"
	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/intake"
	"github.com/sesamelift/sesamelift/link"
)

const (
	// CancelPath is the path, at an entry's directory address, at which other entries ask it
	// about jobs that callers cancel.
	CancelPath = "/cancel/v1"
	// cancelRequestTimeout limits a request about cancelled jobs. It is then repeated on
	// another connection, since this one may be silent for good.
	cancelRequestTimeout = 500 * time.Millisecond
	// maxCancelJobBytes limits the ID of a job in such a request, and maxCancelBytes the
	// request and its answer.
	maxCancelJobBytes = 64
	maxCancelBytes    = 64 << 10
)

// ErrCancelUnresolved is returned by Cancel if it isn't known whether another entry runs the
// job.
var ErrCancelUnresolved = errors.New("other entries could not be asked whether they run the job")

// cancelRequest asks an entry to cancel those of the jobs that it runs.
type cancelRequest struct {
	Jobs []string `json:"jobs"`
}

type cancelReply struct {
	// Cancelled are the jobs that the entry ran, Repeated those that it has cancelled before.
	Cancelled []string `json:"cancelled,omitempty"`
	Repeated  []string `json:"repeated,omitempty"`
}

// inquirer asks other entries about cancelled jobs.
type inquirer struct {
	client *http.Client

	mu        sync.Mutex
	inquiries *cancellation.Inquiries
	// asking holds the entries for which a goroutine makes requests.
	asking map[string]bool
}

func newInquirer(timeout time.Duration) inquirer {
	return inquirer{
		client: &http.Client{Transport: &http.Transport{
			DialContext: link.Dialer(peerDialTimeout).DialContext, DisableCompression: true, IdleConnTimeout: 2 * time.Second,
		}},
		inquiries: cancellation.New(timeout), asking: map[string]bool{},
	}
}

// Cancel ends a job and reports whether it was in progress at this entry or another one, or
// was cancelled before. arrived is when the request arrived. The error is ErrStopped,
// ErrCancelUnresolved or that of ctx.
func (d *Dispatcher) Cancel(ctx context.Context, id string, arrived time.Duration) (known bool, err error) {
	var repeated bool
	err = d.call(ctx, func(now time.Duration) { known, repeated = d.cancelHere(now, id, "cancelled by its caller") })
	if known || err != nil {
		return known, err
	}
	switch d.askOthers(ctx, id, arrived) {
	case cancellation.Cancelled:
		return true, nil
	case cancellation.NotRunning:
		return repeated, nil
	}
	return false, cmp.Or(ctx.Err(), ErrCancelUnresolved)
}

// cancelHere cancels a job in progress at this entry. repeated says that it was cancelled
// before.
func (d *Dispatcher) cancelHere(now time.Duration, id, message string) (known, repeated bool) {
	if d.scheduler.Cancel(now, id, message) {
		d.cancelledJobs.Add(now, id)
		return true, false
	}
	return false, d.cancelledJobs.Contains(now, id)
}

// askOthers asks the other entries to cancel a job.
func (d *Dispatcher) askOthers(ctx context.Context, id string, arrived time.Duration) cancellation.Outcome {
	q := &d.inquirer
	peers := d.otherEntries()
	done := make(chan struct{})
	q.mu.Lock()
	inquiry := q.inquiries.Begin(clock.SinceBoot(), id, peers, func() { close(done) })
	if inquiry != nil {
		for _, address := range peers {
			if !q.asking[address] {
				q.asking[address] = true
				go d.ask(address)
			}
		}
	}
	q.mu.Unlock()
	if inquiry == nil {
		d.metrics.cancelsUnresolved.Inc(1)
		return cancellation.Unresolved
	}
	d.metrics.cancelInquiries.Inc(1)
	timer := time.NewTimer(d.opts.Timings.CancelTimeout - (clock.SinceBoot() - arrived))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	q.inquiries.End(inquiry)
	outcome := inquiry.Outcome()
	q.mu.Unlock()
	switch outcome {
	case cancellation.Cancelled:
		d.opts.Log.Add(decisions.Info("job cancelled at another entry", "job", id, "took_ms", (clock.SinceBoot() - arrived).Milliseconds()))
	case cancellation.Unresolved:
		d.metrics.cancelsUnresolved.Inc(1)
	}
	return outcome
}

// otherEntries returns the directory addresses of the other entries: those of the members,
// or the seeds while none is known.
func (d *Dispatcher) otherEntries() []string {
	d.cache.mu.Lock()
	defer d.cache.mu.Unlock()
	var addresses []string
	for _, m := range d.cache.members {
		if m.Role == directory.RoleEntry && m.Directory != d.opts.DirectoryAddress {
			addresses = append(addresses, m.Directory)
		}
	}
	if len(addresses) == 0 && !d.cache.membersRead {
		for _, s := range d.opts.Seeds {
			if s != d.opts.DirectoryAddress {
				addresses = append(addresses, s)
			}
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// ask makes requests to another entry, one at a time, until there is nothing to ask.
func (d *Dispatcher) ask(address string) {
	q := &d.inquirer
	for {
		q.mu.Lock()
		jobs, wait := q.inquiries.Next(clock.SinceBoot(), address)
		if len(jobs) == 0 && wait == 0 {
			delete(q.asking, address)
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
			continue
		}
		d.metrics.cancelRequests.Inc(1)
		reply, failure, err := requestCancel(q.client, address, jobs)
		first := false
		q.mu.Lock()
		if err == nil {
			q.inquiries.Answered(address, reply.Cancelled, reply.Repeated)
		} else {
			first = q.inquiries.Failed(clock.SinceBoot(), address, failure)
		}
		q.mu.Unlock()
		if first {
			d.opts.Log.Add(decisions.Warn("no answer of another entry about cancelled jobs", "entry", address, "jobs", len(jobs), "error", err.Error()))
		}
	}
}

// requestCancel asks an entry to cancel jobs.
func requestCancel(client *http.Client, address string, jobs []string) (reply cancelReply, failure cancellation.Failure, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelRequestTimeout)
	defer cancel()
	body, err := json.Marshal(cancelRequest{Jobs: jobs})
	if err != nil {
		return reply, cancellation.Unsupported, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+CancelPath, bytes.NewReader(body))
	if err != nil {
		return reply, cancellation.Unsupported, errors.Wrap(err, "build request")
	}
	resp, err := client.Do(req)
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return reply, cancellation.Unreachable, err
	case err != nil:
		return reply, cancellation.Unanswered, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		err = errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxCancelBytes)).Decode(&reply), "decode answer")
		return reply, cancellation.Unanswered, err
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		// An entry of an earlier release.
		return reply, cancellation.Unsupported, errors.Errorf("status %d", resp.StatusCode)
	}
	return reply, cancellation.Unanswered, errors.Errorf("status %d", resp.StatusCode)
}

// handleCancel cancels the jobs about which another entry asks.
func (d *Dispatcher) handleCancel(c echo.Context) error {
	var request cancelRequest
	err := intake.ReadBody(c.Request(), maxCancelBytes, func(body []byte) error {
		if err := json.Unmarshal(body, &request); err != nil {
			return errors.Wrap(err, "decode request")
		}
		tooLong := func(job string) bool { return len(job) > maxCancelJobBytes }
		if len(request.Jobs) > cancellation.MaxJobs || slices.ContainsFunc(request.Jobs, tooLong) {
			return errors.Errorf("more than %d jobs, or one with more than %d bytes", cancellation.MaxJobs, maxCancelJobBytes)
		}
		return nil
	})
	if status, ok := intake.Status(c.Response(), err); ok {
		return c.NoContent(status)
	}
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	var reply cancelReply
	err = d.call(c.Request().Context(), func(now time.Duration) {
		for _, id := range request.Jobs {
			known, repeated := d.cancelHere(now, id, "cancelled by its caller at another entry")
			if known {
				reply.Cancelled = append(reply.Cancelled, id)
			} else if repeated {
				reply.Repeated = append(reply.Repeated, id)
			}
		}
	})
	if err != nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, reply)
}
