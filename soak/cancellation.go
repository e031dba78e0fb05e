package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// cancelInterval is the time between two jobs that their callers cancel.
	cancelInterval = 150 * time.Millisecond
	// cancelAckTimeout is the time in which a caller must be answered 200 or 410, whatever
	// entries it asks. cancelAttemptTimeout bounds each of its requests.
	cancelAckTimeout     = 4 * time.Second
	cancelAttemptTimeout = 3 * time.Second
	// cancelledWorkMS is the work of a task of such a job, and cancelledTimeout how long its
	// caller waits: a job that isn't cancelled runs beyond the check of the others.
	cancelledWorkMS  = 3000
	cancelledTimeout = 4 * time.Second
)

// cancelJobs sends jobs and cancels each, at another entry than the one that got the job. It
// prints how the cancellations were answered. Without an answer a caller asks the next entry.
func (d *deployment) cancelJobs(o *Options, r *rand.Rand) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	ranOn := 0
	ticker := time.NewTicker(cancelInterval)
	defer ticker.Stop()
	for n := range int(o.trafficTime() / cancelInterval) {
		<-ticker.C
		id := fmt.Sprintf("%08xc%07x", uint32(o.Seed), n)
		first, pause := r.IntN(len(d.entries)), time.Duration(50+r.IntN(300))*time.Millisecond
		wg.Go(func() {
			wg.Go(func() { submit(d.entries[first], id, cancelledTimeout, jobBody(1, cancelledWorkMS, taskMilliCPU/10)) })
			time.Sleep(pause)
			status, runs := d.cancelAtOthers(id, first)
			mu.Lock()
			answers[status]++
			if status == http.StatusGone && runs {
				ranOn++
			}
			mu.Unlock()
		})
	}
	wg.Wait()
	d.printf(o.Out, "seed %d: cancellations by status (0: no answer): %v, jobs that ran on after 410: %d\n", o.Seed, answers, ranOn)
}

// cancelAtOthers cancels a job at the entries after the one that got it. It returns the status
// of the answer, 0 if there was none in time, and whether a task of the job runs some time after
// it. That is a violation if the job has been cancelled according to the answer. After 410 it
// is allowed while two entries can't reach each other, or if the job arrived late.
func (d *deployment) cancelAtOthers(id string, first int) (status int, runs bool) {
	end := time.Now().Add(cancelAckTimeout)
	for attempt := 1; time.Now().Before(end); attempt++ {
		entry := d.entries[(first+attempt)%len(d.entries)]
		status = cancelAt(entry, id, min(cancelAttemptTimeout, time.Until(end)))
		d.trace("job %s cancelled at %s: status %d", id, entry.name, status)
		if status == http.StatusOK || status == http.StatusGone {
			time.Sleep(settleTime)
			n := d.audit.Running(id)
			if n > 0 && status == http.StatusOK {
				d.violation("job %s was cancelled, but %d of its tasks run %v later", id, n, settleTime)
			}
			return status, n > 0
		}
		time.Sleep(min(time.Second, max(time.Until(end), 0)))
	}
	return 0, false
}

// cancelAt returns the status of a request to cancel a job, or 0 if there was no answer.
func cancelAt(p *process, id string, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+p.callerProxy.address()+"/jobs/"+id, nil)
	if err != nil {
		return 0
	}
	req.Host = hostName
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
