package interleaving

import (
	"fmt"
	"math/rand/v2"
	"time"
)

type faultKind uint8

const (
	cutPair faultKind = iota
	cutHost
	silentConns
	resetConns
	delays
	killEntry
	killAgent
	freezeEntry
	freezeAgent
	slowEntry
	slowAgent
	callerReset
	lossyWorker
	slowAnswers
	restartWorker
	bornBack
	callsCrossLives
	changeWorker
	leaveWorker
	// faultKinds is the number of kinds that newScenario draws together.
	faultKinds
)

// These are drawn apart, so that a seed keeps the kinds that it had before.
const (
	evacuateZone = faultKinds + iota
	holdListener
)

var kindNames = []string{
	"cut-pair", "cut-host", "silent-conns", "reset-conns", "delays", "kill-entry", "kill-agent", "freeze-entry", "freeze-agent", "slow-entry", "slow-agent",
	"caller-reset", "lossy-worker", "slow-answers", "restart-worker", "born-back", "calls-cross-lives", "change-worker", "leave-worker", "evacuate-zone",
	"hold-listener",
}

func (k faultKind) String() string { return kindNames[k] }

// faultSchedule draws the faults of one kind from a generator of its own, so that a
// scenario without some of the faults keeps the others.
type faultSchedule struct {
	*rand.Rand
}

func (r faultSchedule) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}

func (w *world) scheduleFaults() {
	index := 0
	for _, k := range w.kinds {
		r := faultSchedule{rand.New(rand.NewPCG(w.seed, 100+uint64(k)))}
		for range 2 + r.IntN(6) {
			index++
			at := r.between(faultsFrom, faultsUntil)
			text, begin := w.drawFault(k, r)
			if w.only != nil && !w.only[index] {
				continue
			}
			w.faults = append(w.faults, fmt.Sprintf("#%d at %v: %s", index, at, text))
			w.after(at-w.now, func() {
				w.note("", "fault", "%s", text)
				begin()
			})
		}
	}
}

// drawFault returns a fault of a kind, drawn from r.
func (w *world) drawFault(k faultKind, r faultSchedule) (text string, begin func()) {
	e, a := w.entries[r.IntN(len(w.entries))], w.agents[r.IntN(len(w.agents))]
	length := r.between(50*ms, 600*ms)
	if r.IntN(2) == 0 {
		length = r.between(300*ms, 3*time.Second)
	}
	toAgent, both := r.IntN(2) == 0, r.IntN(2) == 0
	onEntry := r.IntN(2) == 0
	repeats := 1 + r.IntN(4)
	factor := float64(5 + r.IntN(16))
	switch k {
	case cutPair, cutHost:
		key := cutKey{entry: e.name, agent: a.name}
		if k == cutHost && onEntry {
			key.agent = ""
		} else if k == cutHost {
			key.entry = ""
		}
		from := []side{entrySide, agentSide}
		if !both {
			from = from[:1]
			if !toAgent {
				from = []side{agentSide}
			}
		}
		return fmt.Sprintf("cut %q-%q from %v for %v", key.entry, key.agent, from, length), func() {
			w.setCut(key, from, 1)
			w.after(length, func() {
				w.setCut(key, from, -1)
				w.note("", "fault", "cut %q-%q ends", key.entry, key.agent)
				w.releaseHeld()
			})
		}
	case silentConns:
		return fmt.Sprintf("connections %s-%s go silent", e.name, a.name), func() {
			w.eachConn(e, a, func(c *conn) { c.silent = true })
		}
	case resetConns:
		return fmt.Sprintf("connections %s-%s are reset", e.name, a.name), func() {
			w.eachConn(e, a, func(c *conn) {
				for _, x := range c.ends {
					x.out = nil
					x.arrive(item{kind: rst})
				}
			})
		}
	case delays:
		d := r.between(50*ms, 400*ms)
		key := [2]string{e.name, a.name}
		return fmt.Sprintf("delay %v %s-%s for %v", d, e.name, a.name, length), func() {
			w.cuts.delays[key] += d
			w.after(length, func() { w.cuts.delays[key] -= d })
		}
	case killEntry:
		down := r.between(20*ms, 300*ms)
		up := r.between(20*ms, 300*ms)
		return fmt.Sprintf("kill %s %d times, down %v, up %v", e.name, repeats, down, up), func() { w.killRepeatedly(&e.process, repeats, down, up, e.kill, e.begin) }
	case killAgent:
		down := r.between(20*ms, 300*ms)
		up := r.between(20*ms, 300*ms)
		return fmt.Sprintf("kill %s %d times, down %v, up %v", a.name, repeats, down, up), func() { w.killRepeatedly(&a.process, repeats, down, up, a.kill, a.begin) }
	case freezeEntry, freezeAgent:
		p := &e.process
		if k == freezeAgent {
			p = &a.process
		}
		return fmt.Sprintf("freeze %s for %v", p.name, length), func() {
			p.freeze()
			w.after(length, func() {
				w.note("", "fault", "thaw %s", p.name)
				p.thaw()
			})
		}
	case slowEntry, slowAgent:
		p := &e.process
		if k == slowAgent {
			p = &a.process
		}
		return fmt.Sprintf("slow %s x%v for %v", p.name, factor, length), func() {
			p.slow(factor, true)
			w.after(length, func() { p.slow(factor, false) })
		}
	case callerReset:
		return fmt.Sprintf("reset callers for %v", length), func() {
			w.callerResets += 0.6
			w.after(length, func() { w.callerResets -= 0.6 })
		}
	case lossyWorker:
		share := 0.2 + 0.7*r.Float64()
		return fmt.Sprintf("calls to the worker of %s are disturbed by %.2f for %v", a.name, share, length), func() {
			a.worker.lossy += share
			w.after(length, func() { a.worker.lossy -= share })
		}
	case slowAnswers:
		return "slow answers of workers", func() { w.slowAnswers = true }
	case restartWorker:
		down := r.between(20*ms, 200*ms)
		newID := r.IntN(3) == 0
		return fmt.Sprintf("restart the worker of %s, new id %v, down %v", a.name, newID, down), func() {
			if k := a.worker; k.alive {
				k.crash()
				w.after(down, func() { k.start(newID) })
			}
		}
	case bornBack:
		step := -r.between(100*ms, 3*time.Second)
		return fmt.Sprintf("step the clock of the worker of %s by %v", a.name, step), func() { a.worker.bornShift += step.Milliseconds() }
	case callsCrossLives:
		return "calls of former lives are carried out", func() { w.callsCrossLives = true }
	case leaveWorker:
		stays := r.between(200*ms, 2500*ms)
		if r.IntN(4) == 0 {
			length = stays / 2
		} else {
			length = stays + r.between(0, 100*ms)
		}
		down := r.between(20*ms, 200*ms)
		return fmt.Sprintf("the worker of %s leaves in %v, announces %v, down %v", a.name, length, stays, down), func() {
			k, life := a.worker, a.worker.life
			if !k.alive || k.leavesAt > 0 {
				return
			}
			k.leavesAt = w.now + stays
			k.announce()
			w.after(length, func() {
				if k.alive && k.life == life {
					k.crash()
					w.after(down, func() { k.start(true) })
				}
			})
		}
	case changeWorker:
		down := r.between(20*ms, 200*ms)
		labels, capacity := labelSets[r.IntN(len(labelSets))], int64(taskNeed*(2+r.IntN(5)))
		return fmt.Sprintf("the worker of %s restarts under its id with labels %q and capacity %d, down %v", a.name, labels, capacity, down), func() {
			if k := a.worker; k.alive {
				k.crash()
				w.after(down, func() {
					k.labels, k.capacity = labels, capacity
					k.start(false)
				})
			}
		}
	}
	if k == holdListener {
		down := r.between(700*ms, 1500*ms)
		return fmt.Sprintf("the worker of %s restarts under its id with its listener open, down %v", a.name, down), func() {
			w.heldListeners = true
			if k := a.worker; k.alive {
				k.crash()
				w.after(down, func() { k.start(false) })
			}
		}
	}
	if k == evacuateZone {
		if r.IntN(2) == 0 {
			length += evacuationBound
		}
		return fmt.Sprintf("evacuate zone %s for %v", evacuatedZone, length), func() { w.evacuate(length) }
	}
	panic("unknown fault")
}

func (w *world) setCut(key cutKey, from []side, change int) {
	for _, s := range from {
		key.from = s
		w.cuts.count[key] += change
	}
}

func (w *world) eachConn(e *entry, a *agent, do func(c *conn)) {
	for _, c := range w.conns {
		if c.ends[entrySide].p == &e.process && c.ends[agentSide].p == &a.process {
			do(c)
		}
	}
}

func (w *world) killRepeatedly(p *process, times int, down, up time.Duration, kill, begin func()) {
	if times == 0 || !p.alive {
		return
	}
	kill()
	w.after(down, func() {
		begin()
		w.note("", "fault", "%s is back", p.name)
		w.after(up, func() {
			w.note("", "fault", "kill %s again if %d > 1", p.name, times)
			w.killRepeatedly(p, times-1, down, up, kill, begin)
		})
	})
}
