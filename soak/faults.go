package soak

import (
	"fmt"
	"math/rand/v2"
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
		d.crashWorker(p, 0.5+r.Float64())
		return p.name, noUndo
	}},
}

func workerFault(name string, f func(*rand.Rand) site.WorkerFaults) fault {
	return fault{name, func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		// undo reads p.worker again, because the worker may have crashed and been
		// replaced by a new instance in the meantime.
		p.worker.worker.SetFaults(f(r))
		return p.name, func() { p.worker.worker.SetFaults(site.WorkerFaults{}) }
	}}
}
