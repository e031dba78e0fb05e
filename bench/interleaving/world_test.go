package interleaving

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/timing"
)

const (
	resendAfter = 1300 * ms
	callerDelay = time.Millisecond
	faultsFrom  = 2 * time.Second
	faultsUntil = 9 * time.Second
	loadUntil   = 10 * time.Second
	duration    = 13 * time.Second
	maxSends    = 4
)

// scenario is the input of a simulation.
type scenario struct {
	seed  uint64
	kinds []faultKind
	// only holds the indexes of the faults that take effect; nil means all.
	only map[int]bool
	// listStopping says whether runs that are being stopped are listed as running.
	listStopping bool
	// eventCost is the processor time that an event takes.
	eventCost time.Duration
}

func newScenario(seed uint64) scenario {
	random := rand.New(rand.NewPCG(seed, 1))
	s := scenario{seed: seed, listStopping: random.IntN(2) == 0, eventCost: time.Duration(100+random.IntN(900)) * time.Microsecond}
	for n := 2 + random.IntN(4); len(s.kinds) < n; {
		if k := faultKind(random.IntN(int(faultKinds))); !slices.Contains(s.kinds, k) {
			s.kinds = append(s.kinds, k)
		}
	}
	if rand.New(rand.NewPCG(seed, 3)).IntN(4) == 0 {
		s.kinds = append(s.kinds, evacuateZone)
	}
	if rand.New(rand.NewPCG(seed, 4)).IntN(4) == 0 {
		s.kinds = append(s.kinds, holdListener)
	}
	slices.Sort(s.kinds)
	return s
}

// job is a job and its caller.
type job struct {
	id       string
	work     []time.Duration
	label    string
	deadline time.Duration
	sends    int
	lastTo   *entry
}

func (j *job) submission(receivedAt time.Duration) dispatch.Job {
	return dispatch.Job{
		ID: j.id, Queue: "q", Service: "s", Spec: "x", ReceivedAt: receivedAt, Deadline: receivedAt + j.deadline, MaxAttempts: 3,
		LatencyFactor: 4, LatencyAllowance: 500 * ms, Priority: 1,
		Steps: []dispatch.Step{{Tasks: len(j.work), Need: link.Resources{MilliCPU: taskNeed}, Estimate: 300 * ms, RequiredLabel: j.label}},
	}
}

type traceLine struct {
	at   time.Duration
	job  string
	who  string
	text string
}

type execution struct {
	worker  *worker
	life    int
	run     *workerRun
	started time.Duration
}

type violation struct {
	at      time.Duration
	job     string
	text    string
	overlap time.Duration
	class   string
}

type world struct {
	engine
	scenario
	timings         timing.Timings
	entries         []*entry
	agents          []*agent
	conns           []*conn
	lastConn        uint64
	cuts            cuts
	callersHeld     []func()
	slowAnswers     bool
	callsCrossLives bool
	// heldListeners says that the sockets of workers stay open while their process is down:
	// new connections wait for the next process.
	heldListeners   bool
	jobs            map[string]*job
	executing       map[link.TaskID][]execution
	callerResets    float64
	violations      []violation
	trace           []traceLine
	faults          []string
	completed, sent int
	runsStarted     int
	starts          map[startKey]startInfo
	// evacuations is the version of evacuatedSince, which is 0 while no zone is evacuated.
	evacuations    uint64
	evacuatedSince time.Duration
	// labels draws the labels that jobs need. It is a generator of its own, so that the
	// other properties of a seed don't depend on it.
	labels *rand.Rand
	// lateOnOtherLabels counts the starts on a worker without the required label by late
	// calls to a previous process, which nothing prevents (docs/platform.md, question 7).
	lateOnOtherLabels int
}

// startKey is an agent, or an entry and an agent, and a run.
type startKey struct {
	at string
	runKey
}

func newWorld(s scenario) *world {
	t, err := timing.Derive(timing.Bounds{MaxLease: time.Second, MaxStopTime: maxStopTime, ResendAfter: resendAfter})
	if err != nil {
		panic(err)
	}
	w := &world{
		engine: engine{random: rand.New(rand.NewPCG(s.seed, 2))}, scenario: s, timings: t,
		cuts: cuts{count: map[cutKey]int{}, delays: map[[2]string]time.Duration{}}, jobs: map[string]*job{}, executing: map[link.TaskID][]execution{},
		starts: map[startKey]startInfo{}, labels: rand.New(rand.NewPCG(s.seed, 3)),
	}
	w.now = time.Second
	for i := range 2 + int(s.seed%2) {
		w.entries = append(w.entries, &entry{process: w.newProcess(fmt.Sprintf("e%d", i)), w: w})
	}
	labelled := slices.Contains(s.kinds, changeWorker)
	for i := range 3 {
		a := &agent{process: w.newProcess(fmt.Sprintf("a%d", i)), w: w}
		a.worker = &worker{w: w, agent: a, capacity: workerCapacity}
		if labelled {
			a.worker.labels = labelSets[i]
		}
		w.agents = append(w.agents, a)
	}
	for _, a := range w.agents {
		a.begin()
		a.worker.start(true)
	}
	for _, e := range w.entries {
		e.begin()
	}
	w.scheduleFaults()
	w.after(500*ms, w.nextJob)
	return w
}

func (w *world) newProcess(name string) process {
	return process{engine: &w.engine, name: name, slowdown: 1, eventCost: w.eventCost}
}

func (w *world) note(job, who, format string, args ...any) {
	w.trace = append(w.trace, traceLine{w.now, job, who, fmt.Sprintf(format, args...)})
}

func (w *world) log(who string, lines []decisions.Line) {
	for _, l := range lines {
		id := ""
		var b strings.Builder
		b.WriteString(l.Message)
		for i := 0; i+1 < len(l.Fields); i += 2 {
			if l.Fields[i] == "job" {
				id, _ = l.Fields[i+1].(string)
				continue
			}
			fmt.Fprintf(&b, " %v=%v", l.Fields[i], l.Fields[i+1])
		}
		w.trace = append(w.trace, traceLine{w.now, id, who, b.String()})
	}
}

func (w *world) nextJob() {
	if w.now > loadUntil {
		return
	}
	j := &job{id: fmt.Sprintf("%016x", len(w.jobs)+1), deadline: w.between(1500*ms, 2500*ms)}
	for range 1 + w.random.IntN(4) {
		j.work = append(j.work, w.between(50*ms, 800*ms))
	}
	if slices.Contains(w.kinds, changeWorker) {
		j.label = []string{"", "a", "b"}[w.labels.IntN(3)]
	}
	w.jobs[j.id] = j
	w.send(j)
	w.after(w.between(20*ms, 280*ms), w.nextJob)
}

// send sends a job to another entry than the last time.
func (w *world) send(j *job) {
	if j.sends++; j.sends > maxSends {
		return
	}
	w.sent++
	var others []*entry
	for _, e := range w.entries {
		if e != j.lastTo {
			others = append(others, e)
		}
	}
	e := others[w.random.IntN(len(others))]
	j.lastTo = e
	s := &submission{job: j, entry: e, epoch: -1}
	w.note(j.id, "caller", "sends to %s", e.name)
	w.toEntry(e, func() {
		if !e.alive {
			w.after(callerDelay, func() { w.broken(s) })
			return
		}
		e.arrive(s)
	})
	w.after(j.deadline, func() { w.giveUp(s, "no answer by the deadline") })
	if w.chance(w.callerResets) {
		w.after(w.between(0, 10*ms), func() { w.giveUp(s, "connection reset") })
	}
}

// toEntry carries out do once what a caller sends now has reached the host of an entry.
func (w *world) toEntry(e *entry, do func()) {
	w.after(callerDelay, func() { w.unlessBlocked(func() bool { return w.cuts.toEntryBlocked(e.name) }, do) })
}

// unlessBlocked carries out do now, or when a cut is over.
func (w *world) unlessBlocked(blocked func() bool, do func()) {
	if !blocked() {
		do()
		return
	}
	done := false
	w.callersHeld = append(w.callersHeld, func() {
		if !done && !blocked() {
			done = true
			do()
		}
	})
}

// giveUp ends the wait of a caller, which sends its job again later.
func (w *world) giveUp(s *submission, why string) {
	if s.ended {
		return
	}
	s.ended = true
	w.note(s.job.id, "caller", "%s at %s; sends again in %v", why, s.entry.name, resendAfter)
	w.after(resendAfter, func() { w.send(s.job) })
	w.toEntry(s.entry, func() {
		if s.entry.alive && s.epoch == s.entry.epoch {
			s.entry.callerGone(s)
		}
	})
}

// broken handles the end of the connection at the entry's end.
func (w *world) broken(s *submission) {
	e := s.entry
	w.after(callerDelay, func() {
		w.unlessBlocked(func() bool { return w.cuts.fromEntryBlocked(e.name) }, func() { w.giveUp(s, "connection broken") })
	})
}

func (w *world) deliverAnswer(s *submission, v *api.Verdict) {
	e := s.entry
	w.after(callerDelay, func() {
		w.unlessBlocked(func() bool { return w.cuts.fromEntryBlocked(e.name) }, func() {
			switch {
			case s.ended:
			case v.Outcome == api.Complete, v.Reason == api.ReasonTaskFailed:
				s.ended = true
				w.completed++
				w.note(s.job.id, "caller", "answered by %s", e.name)
			case v.Ran == api.RanNo:
				s.ended = true
				w.note(s.job.id, "caller", "refused by %s", e.name)
			default:
				w.giveUp(s, "504")
			}
		})
	})
}

func (w *world) started(k *worker, r *workerRun) {
	w.runsStarted++
	w.note(r.task.Job, k.agent.name, "RUN BEGINS %d.%d attempt %d life %d", r.task.Step, r.task.Index, r.attempt, k.life)
	for _, o := range w.executing[r.task] {
		w.violations = append(w.violations, violation{w.now, r.task.Job, fmt.Sprintf("task %d.%d: attempt %d begins on %s life %d while attempt %d runs on %s life %d since %v",
			r.task.Step, r.task.Index, r.attempt, k.agent.name, k.life, o.run.attempt, o.worker.agent.name, o.life, o.started), 0, classify(o.run, r)})
	}
	if k.zone() == evacuatedZone && w.evacuatedSince > 0 && w.now-w.evacuatedSince > evacuationBound {
		w.violations = append(w.violations, violation{w.now, r.task.Job, fmt.Sprintf("EVACUATED: run on %s, zone evacuated since %v", k.agent.name, w.evacuatedSince), 0, "evacuated"})
	}
	w.executing[r.task] = append(w.executing[r.task], execution{k, k.life, r, w.now})
	if label := w.jobs[r.task.Job].label; label != "" && !slices.Contains(k.labels, label) {
		if r.formerLife {
			w.lateOnOtherLabels++
		} else {
			w.violations = append(w.violations, violation{w.now, r.task.Job, fmt.Sprintf("LABEL: a task that needs %q begins on %s life %d with labels %q", label, k.agent.name, k.life, k.labels), 0, "label"})
		}
	}
	if n := len(k.runs); int64(n*taskNeed) > k.capacity {
		w.violations = append(w.violations, violation{w.now, r.task.Job, fmt.Sprintf("CAPACITY: %d runs on %s", n, k.agent.name), 0, "capacity"})
	}
}

// classify says what two runs at the same time have in common.
func classify(older, newer *workerRun) string {
	var words []string
	add := func(condition bool, word string) {
		if condition {
			words = append(words, word)
		}
	}
	add(older.entry == newer.entry, "same entry")
	add(older.entry != newer.entry, "other entry")
	for _, r := range []*workerRun{older, newer} {
		name := "newer"
		if r == older {
			name = "older"
		}
		add(r.stopping, name+" is being stopped")
		add(r.formerLife, name+" by a call to a former life")
		add(r.late && !r.formerLife, name+" by a late call")
		add(r.handled-r.sentAt > 300*ms, name+" by a start that was held up")
	}
	return strings.Join(words, ", ")
}

func (w *world) ended(k *worker, r *workerRun, how string) {
	w.note(r.task.Job, k.agent.name, "RUN ENDS %d.%d attempt %d: %s", r.task.Step, r.task.Index, r.attempt, how)
	if len(w.executing[r.task]) > 1 {
		for i := range w.violations {
			if v := &w.violations[i]; v.job == r.task.Job && v.overlap == 0 {
				v.overlap = w.now - v.at
			}
		}
	}
	w.executing[r.task] = slices.DeleteFunc(w.executing[r.task], func(x execution) bool { return x.run == r })
}

// report describes the first violation.
func (w *world) report() string {
	v := w.violations[0]
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d kinds %v listStopping %v\nat %v job %s: %s (overlap %v)\nclass %s\n", w.seed, w.kinds, w.listStopping, v.at, v.job, v.text, v.overlap, v.class)
	for _, f := range w.faults {
		fmt.Fprintf(&b, "  fault %s\n", f)
	}
	for _, l := range w.trace {
		own := l.job == v.job
		if own || l.job == "" && l.at > v.at-2500*ms && l.at < v.at+200*ms {
			fmt.Fprintf(&b, "  %9.1f %-6s %s\n", float64(l.at)/float64(ms), l.who, l.text)
		}
	}
	return b.String()
}
