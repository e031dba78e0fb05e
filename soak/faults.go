package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sesamelift/sesamelift/standin/site"
	"github.com/sesamelift/sesamelift/standin/store"
)

// fault is something that is done to a deployment and undone after a while.
type fault struct {
	name string
	// apply does it to what r draws, and returns how to undo it.
	apply func(d *deployment, r *rand.Rand) (what string, undo func())
}

func pick(r *rand.Rand, list []*process) *process { return list[r.IntN(len(list))] }

func any2(d *deployment, r *rand.Rand) *process {
	if r.IntN(2) == 0 {
		return pick(r, d.entries)
	}
	return pick(r, d.agents)
}

func nothing() {}

// faults are those that a seed draws from.
var faults = []fault{
	{"kill", func(d *deployment, r *rand.Rand) (string, func()) {
		p := any2(d, r)
		p.signal(syscall.SIGKILL)
		return p.name, nothing
	}},
	{"kill all", func(d *deployment, r *rand.Rand) (string, func()) {
		for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
			p.signal(syscall.SIGKILL)
		}
		return "all", nothing
	}},
	{"terminate", func(d *deployment, r *rand.Rand) (string, func()) {
		p := any2(d, r)
		p.signal(syscall.SIGTERM)
		return p.name, nothing
	}},
	{"reload", func(d *deployment, r *rand.Rand) (string, func()) {
		p := any2(d, r)
		p.signal(syscall.SIGHUP)
		return p.name, nothing
	}},
	{"pause", func(d *deployment, r *rand.Rand) (string, func()) {
		p := any2(d, r)
		p.signal(syscall.SIGSTOP)
		return p.name, func() { p.signal(syscall.SIGCONT) }
	}},
	{"cut agent", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		silent, mute := r.IntN(3) != 0, r.IntN(3) != 0
		p.link.set(0, silent, mute)
		return fmt.Sprint(p.name, silent, mute), func() { p.link.set(0, false, false) }
	}},
	{"delay agent", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		p.link.set(time.Duration(r.IntN(200))*time.Millisecond, false, false)
		return p.name, func() { p.link.set(0, false, false) }
	}},
	{"reset agent", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		p.link.reset()
		return p.name, nothing
	}},
	{"reset callers", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.entries)
		p.front.reset()
		return p.name, nothing
	}},
	{"cut store", func(d *deployment, r *rand.Rand) (string, func()) {
		p := any2(d, r)
		k := d.stores[p.name]
		k.set(0, true, r.IntN(2) == 0)
		return p.name, func() { k.set(0, false, false) }
	}},
	{"store refuses", func(d *deployment, r *rand.Rand) (string, func()) {
		d.store.SetFaults(store.Faults{Unavailable: true})
		return "", func() { d.store.SetFaults(store.Faults{}) }
	}},
	{"store loses answers", func(d *deployment, r *rand.Rand) (string, func()) {
		d.store.SetFaults(store.Faults{LoseReplies: -1, DelayMS: r.IntN(300)})
		return "", func() { d.store.SetFaults(store.Faults{}) }
	}},
	{"store forgets", func(d *deployment, r *rand.Rand) (string, func()) { d.store.Forget(); return "", nothing }},
	{"configure", func(d *deployment, r *rand.Rand) (string, func()) {
		d.configure()
		return fmt.Sprint(d.version), nothing
	}},
	workerFault("worker fails", func(*rand.Rand) site.WorkerFaults { return site.WorkerFaults{Fail: true} }),
	workerFault("worker stalls", func(*rand.Rand) site.WorkerFaults { return site.WorkerFaults{Stall: true} }),
	workerFault("worker slow", func(*rand.Rand) site.WorkerFaults { return site.WorkerFaults{Slow: 6} }),
	workerFault("worker loses orders", func(*rand.Rand) site.WorkerFaults { return site.WorkerFaults{LoseOrders: true} }),
	workerFault("worker delays orders", func(r *rand.Rand) site.WorkerFaults {
		return site.WorkerFaults{DelayOrders: time.Duration(200+r.IntN(3000)) * time.Millisecond}
	}),
	workerFault("worker silent", func(*rand.Rand) site.WorkerFaults { return site.WorkerFaults{Silent: true} }),
	{"worker crashes", func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		d.crashWorker(p, 0.5+r.Float64())
		return p.name, nothing
	}},
}

func workerFault(name string, f func(*rand.Rand) site.WorkerFaults) fault {
	return fault{name, func(d *deployment, r *rand.Rand) (string, func()) {
		p := pick(r, d.agents)
		// The fault is undone for the life that is there then: a worker may have
		// crashed meanwhile.
		p.worker.worker.SetFaults(f(r))
		return p.name, func() { p.worker.worker.SetFaults(site.WorkerFaults{}) }
	}}
}
