package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

var scenes = map[string]func(rec *record, trouble bool) (code int, message string){
	"cancel":    cancelScene,
	"drain":     drainScene,
	"pipelined": pipelinedScene,
	"twice":     twiceScene,
	"route":     routeScene,
}

const (
	cancelBound = 3000 * time.Millisecond
	stopBound   = 50 * time.Millisecond
)

// retransmitAfter is how long after a 504 a request with the same ID arrives again, and lateBy
// how long after the acknowledgement of the cancelling a late copy arrives.
const (
	retransmitAfter = 1300 * time.Millisecond
	lateBy          = cancelBound + 700*time.Millisecond
)

// cancelled is a job, and when its cancelling was acknowledged.
type cancelled struct {
	id    string
	acked time.Duration
}

// cancelScene cancels jobs, whose requests then arrive again: one after each 504, one seconds
// later at the same entry, and one seconds later at another entry.
func cancelScene(rec *record, trouble bool) (int, string) {
	d, err := newDeployment(rec, 2, 3)
	if err != nil {
		return couldNot, err.Error()
	}
	defer d.stopAll()
	if err := d.startAll(); err != nil {
		return couldNot, err.Error()
	}
	var jobs []cancelled
	var others sync.WaitGroup
	defer others.Wait()
	for i, again := range [][]*process{{d.entries[1], d.entries[0]}, {d.entries[0]}, {d.entries[1]}} {
		id := fmt.Sprintf("%016x", 0xc0ffee00+i)
		// A task of the first job takes longer than its caller waits.
		work, pause := "2500", retransmitAfter
		if i > 0 {
			work, pause = "900", lateBy
		}
		others.Go(func() { d.otherJobs(i) })
		status, acked, err := d.cancelJob(id, work)
		if err != nil {
			return couldNot, err.Error()
		}
		jobs = append(jobs, cancelled{id, acked})
		for _, entry := range again {
			time.Sleep(pause)
			if trouble && (i > 0 || status == http.StatusGatewayTimeout || status == 0) {
				status, _ = d.post(entry, id, work, 2, 900, 1500)
			}
		}
		time.Sleep(time.Second)
	}
	late := 0
	for _, j := range jobs {
		for _, w := range d.workers {
			for task := range 2 {
				for _, at := range rec.find("worker", w.id, "start", fmt.Sprintf("%s.0.0.%d", j.id, task)) {
					if at > j.acked+cancelBound {
						late++
						rec.add("judge", "UNASKED", j.id, "task", task, "started", (at - j.acked).Milliseconds(), "ms after its cancelling was acknowledged")
					}
				}
			}
		}
	}
	if late > 0 {
		return broken, fmt.Sprintf("UNASKED: %d tasks were started later than cancel_ms after the cancelling of their job was acknowledged", late)
	}
	return held, "no task was started later than cancel_ms after the cancelling of its job was acknowledged"
}

// otherJobs submits the jobs of the same seconds that nobody cancels: four for each cancelled
// one, so that a fifth of the jobs are cancelled.
func (d *deployment) otherJobs(round int) {
	for n := range 4 {
		d.post(d.entries[n%2], fmt.Sprintf("%016x", 0x0dd0000+16*round+n), "100", 2, 100, 1500)
	}
}

// cancelJob submits a job and cancels it at the same entry while its tasks run. It returns the
// answer to the submission, and when the cancelling was acknowledged.
func (d *deployment) cancelJob(id, work string) (status int, acked time.Duration, err error) {
	answered := make(chan int, 1)
	go func() {
		status, _ := d.post(d.entries[0], id, work, 2, 900, 1500)
		answered <- status
	}()
	time.Sleep(200 * time.Millisecond)
	ack, _ := d.call(d.entries[0], http.MethodDelete, id, "", 1500)
	acked = d.rec.now()
	if ack/100 != 2 && ack != http.StatusGone {
		return 0, 0, fmt.Errorf("the cancelling of %s was not acknowledged", id)
	}
	return <-answered, acked, nil
}
