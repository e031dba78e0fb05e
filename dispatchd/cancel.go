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
	// noticeTimeout limits how long the answer to a caller waits until the other entries know
	// that its job is cancelled. An entry that doesn't answer by then is told later.
	noticeTimeout = 50 * time.Millisecond
	// maxCancelJobBytes limits the ID of a job in such a request, and maxCancelBytes the
	// request and its answer.
	maxCancelJobBytes = 64
	maxCancelBytes    = 64 << 10
	// maxCancelledMS limits cancelledJob.ForMS, in milliseconds: a bit more than the longest
	// time that a caller may wait, a day.
	maxCancelledMS = 2 * 24 * 60 * 60 * 1000
)

// ErrCancelUnresolved is returned by Cancel if it isn't known whether another entry runs the
// job.
var ErrCancelUnresolved = errors.New("other entries could not be asked whether they run the job")

// Messages of the answer to a request of a job that its caller has cancelled here or at
// another entry.
const (
	cancelledMessage          = "the job was cancelled by its caller"
	cancelledElsewhereMessage = "the job was cancelled by its caller at another entry"
)

// cancelRequest asks an entry to cancel those of Jobs that it runs, and tells it that the
// Cancelled ones have been cancelled, which it isn't to start any more either.
type cancelRequest struct {
	Jobs      []string       `json:"jobs,omitempty"`
	Cancelled []cancelledJob `json:"cancelled,omitempty"`
}

// cancelledJob is a job of which requests may arrive for ForMS milliseconds.
type cancelledJob struct {
	Job   string `json:"job"`
	ForMS int64  `json:"for_ms"`
}

// odd reports whether the job can't be one of those that entries tell each other of.
func (j *cancelledJob) odd() bool {
	return len(j.Job) > maxCancelJobBytes || j.ForMS <= 0 || j.ForMS > maxCancelledMS
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
	// asking holds the entries for which a goroutine makes requests. A value in the channel says
	// that there may be something to ask before the time for which the goroutine waits.
	asking map[string]chan struct{}
}

func newInquirer(timeout time.Duration) inquirer {
	return inquirer{
		client: &http.Client{Transport: &http.Transport{
			DialContext: link.Dialer(peerDialTimeout).DialContext, DisableCompression: true, IdleConnTimeout: 2 * time.Second,
		}},
		inquiries: cancellation.New(timeout), asking: map[string]chan struct{}{},
	}
}

// Cancel ends a job and reports whether it was in progress at this entry or another one, or
// was cancelled before. arrived is when the request arrived. The error is ErrStopped,
// ErrCancelUnresolved or that of ctx.
func (d *Dispatcher) Cancel(ctx context.Context, id string, arrived time.Duration) (known bool, err error) {
	var retention time.Duration
	var repeated bool
	err = d.call(ctx, func(now time.Duration) {
		if retention, repeated = d.cancelHere(now, id, cancelledMessage); retention == 0 {
			d.rememberUnseen(now, id)
		}
	})
	switch {
	case err != nil:
		return false, err
	case retention > 0:
		d.awaitNotices(ctx, d.tellOthers(id, retention))
		return true, nil
	}
	switch d.askOthers(ctx, id, arrived) {
	case cancellation.Cancelled:
		return true, nil
	case cancellation.NotRunning:
		return repeated, nil
	}
	return false, cmp.Or(ctx.Err(), ErrCancelUnresolved)
}

// cancelHere cancels a job in progress at this entry. retention is for how long requests of
// the job may still arrive; 0 if it isn't in progress. repeated says that it was cancelled
// before.
func (d *Dispatcher) cancelHere(now time.Duration, id, message string) (retention time.Duration, repeated bool) {
	deadline, ok := d.scheduler.Deadline(id)
	if !ok || !d.scheduler.CancelByCaller(now, id, message) {
		return 0, d.cancelledJobs.Contains(now, id)
	}
	retention = max(deadline-now, 0) + d.opts.Timings.LateArrival
	d.cancelledJobs.Add(now, id, retention)
	return retention, false
}

// rememberUnseen records that a job which isn't in progress here has been cancelled. Its request
// may arrive yet, or again. A job that has ended keeps its answer.
func (d *Dispatcher) rememberUnseen(now time.Duration, id string) {
	if !d.scheduler.HasAnswer(now, id) {
		d.cancelledUnseen.Add(now, id, d.routes.LongestTimeout()+d.opts.Timings.LateArrival)
	}
}

// tellOthers lets the other entries know that a job has been cancelled. A caller may have
// submitted it there as well, and its request may arrive there yet. The channel is closed once
// all of them know it but those that fail to answer.
func (d *Dispatcher) tellOthers(id string, retention time.Duration) <-chan struct{} {
	q := &d.inquirer
	peers := d.otherEntries()
	told := make(chan struct{})
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inquiries.Tell(clock.SinceBoot(), id, retention, peers, func() { close(told) }) {
		d.askEach(peers)
	} else {
		d.metrics.cancelsUnresolved.Inc(1)
		close(told)
	}
	return told
}

// awaitNotices waits until the other entries know of cancelled jobs, for up to noticeTimeout:
// this entry may be killed right after its answer.
func (d *Dispatcher) awaitNotices(ctx context.Context, notices ...<-chan struct{}) {
	timer := time.NewTimer(noticeTimeout)
	defer timer.Stop()
	for _, told := range notices {
		select {
		case <-told:
		case <-timer.C:
			d.metrics.cancelNoticesLate.Inc(1)
			return
		case <-ctx.Done():
			return
		}
	}
}

// askEach starts the requests to other entries. The caller holds inquirer.mu.
func (d *Dispatcher) askEach(peers []string) {
	for _, address := range peers {
		if wake, ok := d.inquirer.asking[address]; ok {
			select {
			case wake <- struct{}{}:
			default:
			}
			continue
		}
		wake := make(chan struct{}, 1)
		d.inquirer.asking[address] = wake
		go d.ask(address, wake)
	}
}

// askOthers asks the other entries to cancel a job.
func (d *Dispatcher) askOthers(ctx context.Context, id string, arrived time.Duration) cancellation.Outcome {
	q := &d.inquirer
	peers := d.otherEntries()
	done := make(chan struct{})
	q.mu.Lock()
	inquiry := q.inquiries.Begin(clock.SinceBoot(), id, peers, func() { close(done) })
	if inquiry != nil {
		d.askEach(peers)
	}
	q.mu.Unlock()
	if inquiry == nil {
		d.metrics.cancelsUnresolved.Inc(1)
		return cancellation.Unresolved
	}
	d.metrics.cancelInquiries.Inc(1)
	timer := time.NewTimer(d.opts.Timings.CancelTimeout - (clock.SinceBoot() - arrived))
	defer timer.Stop()
	ending := false
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	case <-d.ending:
		ending = true
	}
	q.mu.Lock()
	outcome := inquiry.Outcome()
	q.inquiries.End(inquiry)
	if !ending {
		outcome = inquiry.Outcome()
	} else if outcome == cancellation.Open {
		// The others haven't had their time to answer.
		outcome = cancellation.Unresolved
	}
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
func (d *Dispatcher) ask(address string, wake <-chan struct{}) {
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
			select {
			case <-time.After(wait):
			case <-wake:
			}
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
func requestCancel(client *http.Client, address string, jobs []cancellation.Request) (reply cancelReply, failure cancellation.Failure, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelRequestTimeout)
	defer cancel()
	var request cancelRequest
	for _, j := range jobs {
		if j.Retention > 0 {
			request.Cancelled = append(request.Cancelled, cancelledJob{j.Job, j.Retention.Milliseconds()})
		} else {
			request.Jobs = append(request.Jobs, j.Job)
		}
	}
	body, err := json.Marshal(request)
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
		odd := func(j cancelledJob) bool { return j.odd() }
		if len(request.Jobs)+len(request.Cancelled) > cancellation.MaxJobs || slices.ContainsFunc(request.Jobs, tooLong) ||
			slices.ContainsFunc(request.Cancelled, odd) {
			return errors.Errorf("more than %d jobs, one with more than %d bytes, or one without a time of up to %d ms", cancellation.MaxJobs, maxCancelJobBytes, maxCancelledMS)
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
	var retentions []time.Duration
	err = d.call(c.Request().Context(), func(now time.Duration) {
		for _, id := range request.Jobs {
			retention, repeated := d.cancelHere(now, id, cancelledElsewhereMessage)
			if retention > 0 {
				reply.Cancelled, retentions = append(reply.Cancelled, id), append(retentions, retention)
			} else if repeated {
				reply.Repeated = append(reply.Repeated, id)
			} else {
				d.rememberUnseen(now, id)
			}
		}
		for _, j := range request.Cancelled {
			d.scheduler.CancelByCaller(now, j.Job, cancelledElsewhereMessage)
			d.cancelledJobs.Add(now, j.Job, time.Duration(j.ForMS)*time.Millisecond)
		}
	})
	if err != nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	var notices []<-chan struct{}
	for i, id := range reply.Cancelled {
		notices = append(notices, d.tellOthers(id, retentions[i]))
	}
	d.awaitNotices(c.Request().Context(), notices...)
	return c.JSON(http.StatusOK, reply)
}
