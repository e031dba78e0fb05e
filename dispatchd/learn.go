package dispatchd

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/cancellation"
	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/decisions"
)

// An entry that has just started doesn't know which jobs callers have cancelled before. It asks
// other entries, and holds back the jobs that arrive until one has answered.
const (
	// learnTimeout limits how long jobs are held back after the start.
	learnTimeout = 200 * time.Millisecond
	// learnRequestTimeout limits a request for the cancelled jobs, and learnRetryInterval is the
	// time between two of them while no entry has answered.
	learnRequestTimeout = 100 * time.Millisecond
	learnRetryInterval  = 5 * time.Millisecond
	// learnPeers is the number of entries that are asked at once.
	learnPeers = 4
	// maxListed limits the cancelled jobs of each kind in an answer; the last ones are listed.
	// maxListBytes limits the answer.
	maxListed    = 8192
	maxListBytes = 2 << 20
)

// learnAgainAfter are the times after the first answer at which an entry asks once more: the
// others send it no notices until they have read its row in the directory.
var learnAgainAfter = []time.Duration{time.Second, 2 * time.Second}

// cancelledList are the jobs that an entry remembers as cancelled.
type cancelledList struct {
	// Complete says that the entry has been told of those before its own start, as far as any
	// entry knew them.
	Complete bool           `json:"complete"`
	Ran      []cancelledJob `json:"ran,omitempty"`
	Unseen   []cancelledJob `json:"unseen,omitempty"`
}

// handleCancelledList answers an entry that asks for the cancelled jobs.
func (d *Dispatcher) handleCancelledList(c echo.Context) error {
	var list cancelledList
	err := d.call(c.Request().Context(), func(now time.Duration) {
		list = cancelledList{d.cancelledComplete.Load(), listed(now, d.cancelledJobs), listed(now, d.cancelledUnseen)}
	})
	if err != nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, list)
}

func listed(now time.Duration, jobs *cancellation.Recent) (list []cancelledJob) {
	for _, r := range jobs.List(now, maxListed) {
		// A time below a millisecond counts as none.
		if ms := r.Retention.Milliseconds(); ms > 0 {
			list = append(list, cancelledJob{r.Job, ms})
		}
	}
	return list
}

// learnCancelled asks other entries for the cancelled jobs, until one that knows them has
// answered, all have just started themselves, or learnTimeout has passed. Submissions wait for it.
func (d *Dispatcher) learnCancelled(ctx context.Context) {
	end := d.startedAt + learnTimeout
	uninformed := map[string]bool{}
	done, err := d.learnFromSome(ctx, uninformed)
	for !done && clock.SinceBoot() < end && sleep(ctx, learnRetryInterval) {
		done, err = d.learnFromSome(ctx, uninformed)
	}
	if !done {
		reason := "no other entry is known"
		if err != nil {
			reason = err.Error()
		}
		d.opts.Log.Add(decisions.Warn("jobs are accepted without knowing the cancelled ones", "asked_entries", len(uninformed), "reason", reason))
	}
	d.cancelledComplete.Store(true)
	close(d.cancelledLearnt)
	for _, wait := range learnAgainAfter {
		if !sleep(ctx, wait) {
			return
		}
		if done, err := d.learnFromSome(ctx, map[string]bool{}); !done && err != nil {
			d.opts.Log.Add(decisions.Warn("cannot ask for the cancelled jobs again", "error", err.Error()))
		}
	}
}

// learnFromSome asks a few entries at random, apart from those that are known to be uninformed,
// to which it adds. It reports whether nothing more is to be learnt: an informed entry has
// answered, or no other one remains. The error is that of an entry that has not answered.
func (d *Dispatcher) learnFromSome(ctx context.Context, uninformed map[string]bool) (done bool, err error) {
	addresses := slices.DeleteFunc(d.otherEntries(), func(address string) bool { return uninformed[address] })
	if len(addresses) == 0 {
		d.cache.mu.Lock()
		defer d.cache.mu.Unlock()
		return d.cache.membersRead, nil
	}
	rand.Shuffle(len(addresses), func(i, k int) { addresses[i], addresses[k] = addresses[k], addresses[i] })
	addresses = addresses[:min(len(addresses), learnPeers)]
	ctx, cancel := context.WithTimeout(ctx, learnRequestTimeout)
	defer cancel()
	type answer struct {
		address              string
		informed, uninformed bool
		err                  error
	}
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() {
			list, err := d.requestCancelledList(ctx, address)
			known := err == nil && d.rememberCancelled(ctx, address, list)
			// An entry that refuses connections is down, and knows nothing once it is back.
			answers <- answer{address, known && list.Complete, known && !list.Complete || errors.Is(err, syscall.ECONNREFUSED), err}
		}()
	}
	for range addresses {
		a := <-answers
		if a.informed {
			return true, nil
		}
		if uninformed[a.address] = a.uninformed; a.err != nil {
			err = a.err
		}
	}
	return false, err
}

func (d *Dispatcher) requestCancelledList(ctx context.Context, address string) (list cancelledList, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+CancelPath, nil)
	if err != nil {
		return list, errors.Wrap(err, "build request")
	}
	resp, err := d.inquirer.client.Do(req)
	if err != nil {
		return list, errors.Wrap(err, "request the cancelled jobs of an entry")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return list, errors.Errorf("request the cancelled jobs of an entry: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list)
	return list, errors.Wrap(err, "decode the cancelled jobs of an entry")
}

// rememberCancelled takes over the cancelled jobs of another entry, and ends those that are in
// progress here. It reports whether that is done.
func (d *Dispatcher) rememberCancelled(ctx context.Context, address string, list cancelledList) bool {
	err := d.call(ctx, func(now time.Duration) {
		for _, j := range list.Ran {
			if !j.odd() {
				d.scheduler.CancelByCaller(now, j.Job, cancelledElsewhereMessage)
				d.cancelledJobs.Add(now, j.Job, time.Duration(j.ForMS)*time.Millisecond)
			}
		}
		for _, j := range list.Unseen {
			if !j.odd() {
				d.cancelledUnseen.Add(now, j.Job, time.Duration(j.ForMS)*time.Millisecond)
			}
		}
	})
	if err == nil {
		d.opts.Log.Add(decisions.Info("learnt of cancelled jobs", "entry", address, "ran", len(list.Ran), "unseen", len(list.Unseen), "complete", list.Complete,
			"after_start_ms", (clock.SinceBoot() - d.startedAt).Milliseconds()))
	}
	return err == nil
}

// awaitCancelled waits until an entry that has just started knows the cancelled jobs.
func (d *Dispatcher) awaitCancelled(ctx context.Context) {
	left := d.startedAt + learnTimeout - clock.SinceBoot()
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-d.cancelledLearnt:
	case <-timer.C:
	case <-ctx.Done():
	case <-d.stopped:
	}
}
