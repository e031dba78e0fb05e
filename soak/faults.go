package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/sesamelift/sesamelift/standin/site"
	"github.com/sesamelift/sesamelift/standin/store"
)

// fault is a fault that is injected into a deployment and later undone.
type fault struct {
	name string
	// apply injects the fault into a target chosen with r. It returns a description
	// of the target and a function that undoes the fault.
	apply func(d *deployment, r *rand.Rand) (target string, undo func())
}

func pick(r *rand.Rand, list []*process) *process { return list[r.IntN(len(list))] }

func pickAny(d *deployment, r *rand.Rand) *process {
	if r.IntN(2) == 0 {
		return pick(r, d.entries)
	}
	return pick(r, d.agents)
}

func noUndo() {}

// faults are the faults that injectFaults selects from.
var faults = []fault{
	{"kill", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pickAny(d, r)
		p.signal(syscall.SIGKILL)
		return p.name, noUndo
	}},
	{"kill all", func(d *deployment, r *rand.Rand) (string, func()) {
		for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
			p.signal(syscall.SIGKILL)
		}
		return "all", noUndo
	}},
	{"terminate", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pickAny(d, r)
		p.signal(syscall.SIGTERM)
		return p.name, noUndo
	}},
	{"reload", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pickAny(d, r)
		p.signal(syscall.SIGHUP)
		return p.name, noUndo
	}},
	{"pause", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pickAny(d, r)
		p.signal(syscall.SIGSTOP)
		return p.name, func() { p.signal(syscall.SIGCONT) }
	}},
	{"drop agent traffic", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		dropFromClient, dropFromTarget := r.IntN(3) != 0, r.IntN(3) != 0
		p.agentProxy.setFaults(0, dropFromClient, dropFromTarget)
		return fmt.Sprint(p.name, dropFromClient, dropFromTarget), func() { p.agentProxy.setFaults(0, false, false) }
	}},
	{"delay agent", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		p.agentProxy.setFaults(time.Duration(r.IntN(200))*time.Millisecond, false, false)
		return p.name, func() { p.agentProxy.setFaults(0, false, false) }
	}},
	{"reset agent connections", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		p.agentProxy.reset()
		return p.name, noUndo
	}},
	{"reset caller connections", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.entries)
		p.callerProxy.reset()
		return p.name, noUndo
	}},
	{"drop store traffic", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pickAny(d, r)
		proxy := d.storeProxies[p.name]
		proxy.setFaults(0, true, r.IntN(2) == 0)
		return p.name, func() { proxy.setFaults(0, false, false) }
	}},
	{"store unavailable", func(d *deployment, r *rand.Rand) (string, func()) {
		d.store.SetFaults(store.Faults{Unavailable: true})
		return "", func() { d.store.SetFaults(store.Faults{}) }
	}},
	{"store loses replies", func(d *deployment, r *rand.Rand) (string, func()) {
		d.store.SetFaults(store.Faults{LoseReplies: -1, DelayMS: r.IntN(300)})
		return "", func() { d.store.SetFaults(store.Faults{}) }
	}},
	{"store drops history", func(d *deployment, r *rand.Rand) (string, func()) { d.store.DropHistory(); return "", noUndo }},
	{"configure", func(d *deployment, r *rand.Rand) (string, func()) {
		d.publishConfig()
		return fmt.Sprint(d.version), noUndo
	}},
	workerFault("worker fails", func(*rand.Rand) site.WorkerFaults { return site.WorkerFaults{Fail: true} }),
	workerFault("worker stalls", func(*rand.Rand) site.WorkerFaults { return site.WorkerFaults{Stall: true} }),
	workerFault("worker slow", func(*rand.Rand) site.WorkerFaults { return site.WorkerFaults{SlowFactor: 6} }),
	workerFault("worker loses replies", func(*rand.Rand) site.WorkerFaults { return site.WorkerFaults{LoseReplies: true} }),
	workerFault("worker delays requests", func(r *rand.Rand) site.WorkerFaults {
		return site.WorkerFaults{DelayRequests: time.Duration(200+r.IntN(3000)) * time.Millisecond}
	}),
	workerFault("worker silent", func(*rand.Rand) site.WorkerFaults { return site.WorkerFaults{Silent: true} }),
	{"worker crashes", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		d.replaceWorker(p, false, false, 0.5+r.Float64(), 0)
		return p.name, noUndo
	}},
}

// lifeFaults are faults in which one life of a worker, an agent or a connection meets the
// next, or another writer's. They take effect beside those of faults.
var lifeFaults = []fault{
	{"heartbeats of other writers", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		d.sendForeignHeartbeats(p, r)
		return p.name, noUndo
	}},
	{"worker restarts at once", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		downTime := time.Duration(20+r.IntN(180)) * time.Millisecond
		d.replaceWorker(p, r.IntN(4) != 0, false, p.currentWorker().speed, downTime)
		return fmt.Sprint(p.name, " after ", downTime), noUndo
	}},
	{"worker shuts down", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		w, keepID := p.currentWorker(), r.IntN(2) == 0
		_ = w.server.Close()
		if l := w.listener.Load(); l != nil {
			_ = l.Release()
		}
		return p.name, func() { d.replaceWorker(p, keepID, false, w.speed, 0) }
	}},
	{"worker restarts behind an open listener", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		// The lease of its runs passes meanwhile, and their tasks start elsewhere.
		downTime := time.Duration(900+r.IntN(400)) * time.Millisecond
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.replaceWorker(p, true, true, p.currentWorker().speed, downTime)
		}()
		return fmt.Sprint(p.name, " after ", downTime), func() { <-done }
	}},
	{"late leave", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		d.postToAgent(p, p.currentWorker().id, "leave", "")
		return p.name, noUndo
	}},
	{"kill again and again", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pickAny(d, r)
		for range 2 + r.IntN(2) {
			p.signal(syscall.SIGKILL)
			time.Sleep(restartDelay + time.Duration(20+r.IntN(280))*time.Millisecond)
		}
		return p.name, noUndo
	}},
	{"reset connections of a burst", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.entries)
		d.sendBurst(p, r)
		return p.name, noUndo
	}},
}

// sendForeignHeartbeats sends heartbeats that don't come from the worker of an agent.
func (d *deployment) sendForeignHeartbeats(p *process, r *rand.Rand) {
	w := p.currentWorker()
	born := w.worker.Born()
	capacity := `"capacity":{"cpu":32000,"mem_mb":131072},"state":"ready"`
	for range 1 + r.IntN(3) {
		id := fmt.Sprintf("i-%08x", r.Uint32())
		switch r.IntN(5) {
		case 0:
			d.postToAgent(p, id, "heartbeat", fmt.Sprintf(`{"service":"unnamed","zone":"z1","seq_no":1,"born":%d,%s}`, born+r.Int64N(5000), capacity))
		case 1:
			d.postToAgent(p, id, "heartbeat", fmt.Sprintf(`{"service":"s","zone":"z1","seq_no":1,"born":%d,%s}`, born, capacity))
		case 2:
			d.postToAgent(p, w.id, "heartbeat", fmt.Sprintf(`{"service":"s","zone":"z1","seq_no":1,"born":%d,%s}`, born+1+r.Int64N(5000), capacity))
		case 3:
			d.postToAgent(p, id, "heartbeat", `{"service":"s","zone":7,"state":"ready"}`)
		case 4:
			d.postToAgent(p, w.id, "heartbeat", `{"service":"s","state":"resting"`)
		}
	}
}

// postToAgent sends a message in the name of a worker instance. Whether it is acknowledged
// doesn't matter.
func (d *deployment) postToAgent(p *process, instance, message, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.controlAddr+"/-/instances/"+instance+"/"+message, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if resp, err := client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// sendBurst sends large jobs to an entry at once and resets the connections of half of them
// 0 to 10 ms later. These are sent to another entry after resendDelay.
func (d *deployment) sendBurst(p *process, r *rand.Rand) {
	const (
		jobs, tasks, workMS = 12, 24, 1500
		// milliCPU lets the tasks of all jobs run at the same time.
		milliCPU = 200
	)
	other := pick(r, d.entries)
	for n := range jobs {
		id, resetDelay := fmt.Sprintf("%016x", r.Uint64()), time.Duration(r.IntN(10000))*time.Microsecond
		body := jobBody(tasks, workMS, milliCPU)
		go func() {
			if n%2 == 0 {
				_, _ = submit(p, id, callerTimeout, body)
				return
			}
			d.trace("job %s sent to %s, reset after %v", id, p.name, resetDelay)
			_, _ = submit(p, id, resetDelay, body)
			d.trace("job %s was reset; sent to %s in %v", id, other.name, resendDelay)
			time.Sleep(resendDelay)
			_, _ = submit(other, id, callerTimeout, body)
		}()
	}
}

// hostFaults slow down or cut off the processes of one host, or overlap there. They take
// effect beside those of faults.
var hostFaults = []fault{
	{"slow process", func(d *deployment, r *rand.Rand) (string, func()) { return d.slowDown(pickAny(d, r), r) }},
	{"pauses in a row", func(d *deployment, r *rand.Rand) (string, func()) { return d.pauseRepeatedly(pickAny(d, r), r) }},
	{"hold traffic", func(d *deployment, r *rand.Rand) (string, func()) { return d.holdTraffic(pickAny(d, r), r) }},
	workerFault("worker loses some replies", func(r *rand.Rand) site.WorkerFaults {
		return site.WorkerFaults{LoseReplies: true, Share: 0.3 + 0.7*r.Float64()}
	}),
	workerFault("worker answers late", func(r *rand.Rand) site.WorkerFaults {
		return site.WorkerFaults{DelayReplies: time.Duration(20+r.IntN(400)) * time.Millisecond, Share: 0.3 + 0.7*r.Float64()}
	}),
	workerFault("worker executes some requests late", executesLate),
	{"agent killed before starts are executed", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		w := p.currentWorker().worker
		w.SetFaults(site.WorkerFaults{DelayRequests: time.Duration(500+r.IntN(300)) * time.Millisecond})
		time.Sleep(time.Duration(10+r.IntN(60)) * time.Millisecond)
		p.signal(syscall.SIGKILL)
		return p.name, func() { w.SetFaults(site.WorkerFaults{}) }
	}},
	{"faults at once", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pickAny(d, r)
		// Each entry is a fault at the host of p.
		list := []func() (string, func()){
			func() (string, func()) { return d.slowDown(p, r) },
			func() (string, func()) { return d.pauseRepeatedly(p, r) },
			func() (string, func()) { return d.holdTraffic(p, r) },
			func() (string, func()) { return d.killRepeatedly(p, r) },
		}
		if p.callerProxy != nil {
			reset := func() (string, func()) { p.callerProxy.reset(); return "reset callers", noUndo }
			list = append(list, reset, reset, reset)
		} else {
			list = append(list,
				func() (string, func()) { p.agentProxy.reset(); return "reset entries", noUndo },
				func() (string, func()) { return d.killRepeatedly(pick(r, d.entries), r) },
				func() (string, func()) {
					p.currentWorker().worker.SetFaults(executesLate(r))
					return "worker executes some requests late", func() { p.currentWorker().worker.SetFaults(site.WorkerFaults{}) }
				},
				func() (string, func()) {
					w := p.currentWorker()
					d.replaceWorker(p, true, false, w.speed, time.Duration(20+r.IntN(180))*time.Millisecond)
					return "worker restarts", noUndo
				})
		}
		target := p.name
		var undos []func()
		for range 2 + r.IntN(3) {
			name, undo := list[r.IntN(len(list))]()
			target += ": " + name
			undos = append(undos, undo)
			time.Sleep(time.Duration(r.IntN(330)) * time.Millisecond)
		}
		return target, func() {
			for _, undo := range undos {
				undo()
			}
		}
	}},
}

func executesLate(r *rand.Rand) site.WorkerFaults {
	return site.WorkerFaults{DelayRequests: time.Duration(200+r.IntN(4800)) * time.Millisecond, Share: 0.3 + 0.7*r.Float64()}
}

// slowDown leaves a process 10 to 55% of its time for 1 to 4 s.
func (d *deployment) slowDown(p *process, r *rand.Rand) (string, func()) {
	stopped, end := time.Duration(90+r.IntN(90))*time.Millisecond, time.Duration(1000+r.IntN(3000))*time.Millisecond
	done := make(chan struct{})
	go func() {
		defer close(done)
		for began := time.Now(); time.Since(began) < end; time.Sleep(200*time.Millisecond - stopped) {
			d.pauseFor(p, stopped)
		}
	}()
	return fmt.Sprintf("slow %s (%v of 200ms) for %v", p.name, stopped, end), func() { <-done }
}

// pauseRepeatedly pauses a process several times, with 1 to 60 ms in between.
func (d *deployment) pauseRepeatedly(p *process, r *rand.Rand) (string, func()) {
	var pauses, gaps []time.Duration
	for range 2 + r.IntN(4) {
		pause := 50 + r.IntN(850)
		if r.IntN(6) == 0 {
			pause = 1000 + r.IntN(2000)
		}
		pauses, gaps = append(pauses, time.Duration(pause)*time.Millisecond), append(gaps, time.Duration(1+r.IntN(60))*time.Millisecond)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range pauses {
			d.pauseFor(p, pauses[i])
			time.Sleep(gaps[i])
		}
	}()
	return fmt.Sprint("pause ", p.name, " ", pauses, " with gaps ", gaps), func() { <-done }
}

func (d *deployment) pauseFor(p *process, duration time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
}

// holdTraffic holds the traffic of a process in one direction or both.
func (d *deployment) holdTraffic(p *process, r *rand.Rand) (string, func()) {
	proxy := p.agentProxy
	if proxy == nil {
		proxy = p.callerProxy
	}
	n := r.IntN(3)
	proxy.setHold(n != 0, n != 1)
	return fmt.Sprint("hold ", p.name, n != 0, n != 1), func() { proxy.setHold(false, false) }
}

// killRepeatedly kills a process, and again 20 to 300 ms after each return.
func (d *deployment) killRepeatedly(p *process, r *rand.Rand) (string, func()) {
	var delays []time.Duration
	for range 1 + r.IntN(3) {
		delays = append(delays, restartDelay+time.Duration(20+r.IntN(280))*time.Millisecond)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, delay := range delays {
			p.signal(syscall.SIGKILL)
			time.Sleep(delay)
		}
	}()
	return fmt.Sprint("kill ", p.name, " ", delays), func() { <-done }
}

func workerFault(name string, f func(*rand.Rand) site.WorkerFaults) fault {
	return fault{name, func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		// undo reads the worker again, because it may have crashed and been replaced by a
		// new instance in the meantime.
		p.currentWorker().worker.SetFaults(f(r))
		return p.name, func() { p.currentWorker().worker.SetFaults(site.WorkerFaults{}) }
	}}
}
