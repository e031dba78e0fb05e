package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// trafficTime is how long jobs come, startTime how long the deployment has to
	// get ready.
	trafficTime = 6 * time.Second
	startTime   = 5 * time.Second
	// resendAfter is how long a caller waits before it sends a job again that had
	// no answer (the platform's bound).
	resendAfter = 1300 * time.Millisecond
	// callerDeadline is how long a caller waits for an answer, maxTries how often
	// it sends a job.
	callerDeadline = 2400 * time.Millisecond
	maxTries       = 3
	// recoveryTime is how long after the last fault everything must be served
	// again: the redial of lost agents and one announcement.
	recoveryTime = 4 * time.Second
	// settleTime is how long runs may go on after the last answer: the silence
	// after which an entry is given up, and the lease.
	settleTime = 2 * time.Second
	jobsPerSec = 40
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Programs is the folder with the programs, Dir takes settings and logs.
	Programs, Dir    string
	Entries, Agents  int
	FaultsPerSecond  float64
	Out              io.Writer
	completed, tried int
}

// Run plays one seed and returns what broke a promise.
func Run(o Options) ([]string, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create folder")
	}
	d, err := newDeployment(o.Dir, o.Programs, o.Entries, o.Agents)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if !d.allServe(startTime) {
		return []string{"not every entry serves at the start"}, nil
	}
	var wg sync.WaitGroup
	wg.Go(func() { d.injectFaults(&o) })
	d.traffic(&o)
	wg.Wait()
	if !d.allServe(recoveryTime) {
		d.violation("not every entry serves within %v after the last fault", recoveryTime)
	}
	d.checkConfiguration()
	time.Sleep(settleTime)
	for _, p := range d.agents {
		if n := p.worker.worker.Running(); n > 0 {
			d.violation("%d runs go on at %s after all answers", n, p.name)
		}
	}
	fmt.Fprintf(o.Out, "seed %d: %d of %d jobs completed\n", o.Seed, o.completed, o.tried)
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(d.violations, d.audit.Violations()...), nil
}

// injectFaults draws faults in overlapping series and undoes each.
func (d *deployment) injectFaults(o *Options) {
	r := rand.New(rand.NewPCG(o.Seed, 1))
	var wg sync.WaitGroup
	end := time.Now().Add(trafficTime)
	for {
		pause := time.Duration(r.ExpFloat64() / o.FaultsPerSecond * float64(time.Second))
		if time.Now().Add(pause).After(end) {
			break
		}
		time.Sleep(pause)
		f := faults[r.IntN(len(faults))]
		what, undo := f.apply(d, r)
		lasts := time.Duration(100+r.IntN(2000)) * time.Millisecond
		fmt.Fprintf(o.Out, "seed %d: %s %s %s for %v\n", o.Seed, time.Now().UTC().Format("05.000"), f.name, what, lasts)
		wg.Go(func() { time.Sleep(lasts); undo() })
	}
	wg.Wait()
}

// traffic sends jobs as callers do and checks their answers.
func (d *deployment) traffic(o *Options) {
	r := rand.New(rand.NewPCG(o.Seed, 2))
	var wg sync.WaitGroup
	var mu sync.Mutex
	ticker := time.NewTicker(time.Second / jobsPerSec)
	defer ticker.Stop()
	for n := range int(trafficTime/time.Second) * jobsPerSec {
		<-ticker.C
		id := fmt.Sprintf("%08x%08x", uint32(o.Seed), n)
		tasks, workMS := 1+r.IntN(4), 20+r.IntN(400)
		first := r.IntN(len(d.entries))
		wg.Go(func() {
			done := d.caller(id, first, body(tasks, workMS))
			mu.Lock()
			defer mu.Unlock()
			o.tried++
			if done {
				o.completed++
			}
		})
	}
	wg.Wait()
}

// caller sends a job, again after a broken connection or an answer that allows
// it, and checks that a refused job never ran.
func (d *deployment) caller(id string, entry int, job []byte) bool {
	refusedOnly := true
	begin := time.Now()
	for try := range maxTries {
		sent := time.Now()
		status, text := submit(d.entries[(entry+try)%len(d.entries)], id, callerDeadline, job)
		switch status {
		case http.StatusOK:
			return text == "{\"state\":\"completed\"}\n"
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if refusedOnly {
				d.checkNeverRan(id)
			}
			return false
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			refusedOnly = false
		default:
			d.violation("job %s: status %d: %s", id, status, text)
			return false
		}
		if time.Since(sent) >= callerDeadline || time.Since(begin) > 2*callerDeadline {
			return false
		}
		time.Sleep(resendAfter)
	}
	return false
}

func (d *deployment) checkNeverRan(id string) {
	time.Sleep(resendAfter)
	if n := d.audit.Started(id); n > 0 {
		d.violation("job %s was refused as not run, and %d tasks of it ran", id, n)
	}
}

// allServe waits until every entry completes a job.
func (d *deployment) allServe(within time.Duration) bool {
	end := time.Now().Add(within)
	for i, p := range d.entries {
		for n := 0; ; n++ {
			id := fmt.Sprintf("ffff%04x%08x", i, uint32(time.Now().UnixNano()))
			if status, _ := submit(p, id, time.Second, body(1, 10)); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

// checkConfiguration checks that the newest version is in force everywhere.
func (d *deployment) checkConfiguration() {
	for _, p := range d.entries {
		path := fmt.Sprintf("/v%d/", d.version)
		end := time.Now().Add(2 * time.Second)
		for status(p, path) != http.StatusOK {
			if time.Now().After(end) {
				d.violation("version %d isn't in force at %s", d.version, p.name)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func status(p *process, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.front.address()+path, nil)
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
