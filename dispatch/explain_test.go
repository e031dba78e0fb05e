package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/interference"
	"github.com/sesamelift/sesamelift/link"
)

// graph walks all that is reachable from a value. It writes each value once, and notes the
// addresses of what can be changed through the references found.
type graph struct {
	text strings.Builder
	refs map[unsafe.Pointer]string
}

func walk(v any) *graph {
	g := &graph{refs: map[unsafe.Pointer]string{}}
	g.visit(reflect.ValueOf(v), "")
	return g
}

func (g *graph) visit(v reflect.Value, path string) {
	if k := v.Kind(); (k == reflect.Pointer || k == reflect.Map || k == reflect.Slice) && !v.IsNil() && (k != reflect.Slice || v.Cap() > 0) {
		if first, seen := g.refs[v.UnsafePointer()]; seen {
			fmt.Fprintf(&g.text, "%s = %s\n", path, first)
			return
		}
		g.refs[v.UnsafePointer()] = path
	}
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			g.visit(v.Elem(), path)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			g.visit(v.Field(i), path+"."+v.Type().Field(i).Name)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			g.visit(v.Index(i), fmt.Sprint(path, "[", i, "]"))
		}
	case reflect.Map:
		keys := v.MapKeys()
		sort.Slice(keys, func(i, k int) bool { return fmt.Sprint(keys[i]) < fmt.Sprint(keys[k]) })
		for _, key := range keys {
			g.visit(v.MapIndex(key), fmt.Sprint(path, "{", key, "}"))
		}
	case reflect.Interface:
		fmt.Fprintf(&g.text, "%s: %v\n", path, v.Elem())
	default:
		fmt.Fprintf(&g.text, "%s: %v\n", path, v)
	}
}

// loadedPair drives two schedulers with the same random events: workers of three zones and
// different speeds, some with a label or a rack, jobs of three priorities, failures, refused
// starts, lost connections, workers that leave and evacuated zones.
type loadedPair struct {
	*qt.C
	rnd  *rand.Rand
	now  time.Duration
	both [2]*Scheduler
	jobs int
}

func newLoadedPair(t *testing.T, seed uint64) *loadedPair {
	p := &loadedPair{C: qt.New(t), rnd: rand.New(rand.NewPCG(seed, 0)), now: time.Hour}
	for i := range p.both {
		p.both[i] = New(Options{RestartDelay: 900 * ms, RackSlowdown: 1.5, Seed: 1, Zone: "z1", MaxWaitingJobs: 40})
	}
	for i := range 24 {
		name := fmt.Sprint("w", i)
		labels := []string{fmt.Sprint("rack", i%3)}
		if i%5 == 0 {
			labels = append(labels, "special")
		}
		state := &link.WorkerState{ID: name, Service: "service", Zone: fmt.Sprint("z", i%3), Labels: labels, Capacity: link.Resources{MilliCPU: 12000, MemoryMB: 1 << 20}}
		speed := float32(0.5 + p.rnd.Float64())
		p.each(func(s *Scheduler) {
			s.AgentConnected(p.now, name, 1)
			s.AgentReported(p.now, name, &link.Report{Accepting: true, Speed: speed, Free: state.Capacity, Worker: state})
		})
	}
	return p
}

func (p *loadedPair) each(f func(*Scheduler)) {
	for _, s := range p.both {
		f(s)
	}
}

func (p *loadedPair) newJob() Job {
	p.jobs++
	estimate := time.Duration(20+p.rnd.IntN(300)) * ms
	j := Job{
		ID: fmt.Sprint("j", p.jobs), Queue: "queue", Service: "service", ReceivedAt: p.now, Deadline: p.now + 2400*ms, Priority: p.rnd.IntN(3), MaxAttempts: 2, LatencyFactor: 1.6, LatencyAllowance: 60 * ms,
		Steps: []Step{{Tasks: 1 + p.rnd.IntN(6), Need: fourCores, Estimate: estimate}},
	}
	switch p.rnd.IntN(6) {
	case 0:
		j.Steps[0].RequiredLabel = "special"
	case 1:
		j.Steps[0].DataRack = "rack1"
	case 2:
		j.Steps[0].MaxPerWorker = 1
	case 3:
		j.Steps = append(j.Steps, Step{Tasks: 2, Need: fourCores, DependsOn: []int{0}})
	case 4:
		j.Waited = time.Duration(p.rnd.IntN(400)) * ms
	}
	return j
}

// step passes some time and lets one worker report, answer a start, or be lost, or changes
// the evacuated zones.
func (p *loadedPair) step() {
	p.now += time.Duration(p.rnd.IntN(12)) * ms
	name := fmt.Sprint("w", p.rnd.IntN(24))
	kind, choice := p.rnd.IntN(40), p.rnd.IntN(10)
	p.each(func(s *Scheduler) {
		s.TakeActions(p.now)
		w := s.workers[name]
		r := &link.Report{Accepting: choice != 9, Speed: float32(w.speed), FailureRate: float32(choice) / 20, Free: w.state.Capacity}
		for i, t := range w.sortedTasks() {
			switch {
			case t.phase == starting && choice == 0:
				r.Answers = append(r.Answers, link.StartAnswer{Task: t.id, Attempt: t.attempt, Result: link.Busy})
				continue
			case t.phase == starting:
				r.Answers = append(r.Answers, link.StartAnswer{Task: t.id, Attempt: t.attempt, Result: link.Started})
			case t.phase == running && i == 0:
				outcome := uint8(link.Done)
				if choice == 1 {
					outcome = link.Failed
				}
				r.Ends = append(r.Ends, link.End{Task: t.id, Attempt: t.attempt, Outcome: outcome})
				continue
			}
			r.Free = r.Free.Sub(t.step().Need)
		}
		switch kind {
		case 0:
			s.AgentDisconnected(p.now, name, "test")
			s.AgentConnected(p.now, name, 1)
			r.Worker = &w.state
		case 1:
			s.SetEvacuated(p.now, uint64(p.now), []string{fmt.Sprint("z", choice%3)})
		case 2:
			s.SetEvacuated(p.now, uint64(p.now), nil)
		case 3:
			s.Tick(p.now)
		case 4, 5:
			r.Accepting, r.LeavesMS = false, 100
		}
		s.AgentReported(p.now, name, r)
	})
}

// Guards against an explanation that names another worker, or another verdict, than the
// submission of the same job at the same time, and against a scheduler that decides
// differently or holds another state because it was asked.
func TestExplanationMatchesSubmission(t *testing.T) {
	decisions := map[Decision]int{}
	rules := map[string]int{}
	for seed := range uint64(10) {
		p := newLoadedPair(t, seed)
		asked, twin := p.both[0], p.both[1]
		for n := range 120 {
			for range p.rnd.IntN(3) {
				p.step()
			}
			sub := p.newJob()
			if p.rnd.IntN(10) == 0 {
				sub.ID = fmt.Sprint("j", 1+p.rnd.IntN(p.jobs))
			}
			_, known := asked.jobs[sub.ID]
			e := asked.Explain(p.now, sub)
			// Comparing all is slow; a difference that asking makes stays.
			if n%20 == 19 {
				p.Assert(walk(asked).text.String() == walk(twin).text.String(), qt.IsTrue, qt.Commentf("asking changed the state, seed %d", seed))
			}
			verdict := asked.Submit(p.now, sub)
			twin.Submit(p.now, sub)
			decisions[e.Decision]++
			comment := qt.Commentf("seed %d job %s: %+v", seed, sub.ID, e)
			switch {
			case known:
				p.Assert(e.Decision, qt.Equals, InProgress, comment)
			case verdict == nil:
				p.Assert(e.Decision == Placed || e.Decision == Waits, qt.IsTrue, comment)
				p.Assert(asked.jobs[sub.ID].hasReadyTasks(), qt.Equals, e.Decision == Waits, comment)
				for i, view := range e.Tasks {
					name := ""
					if w := asked.jobs[sub.ID].tasks[i].worker; w != nil {
						name = w.name
					}
					p.Assert(view.Worker, qt.Equals, name, comment)
					p.Assert(view.Excluded["not considered"], qt.Equals, 0, comment)
					for _, c := range view.Candidates {
						p.Assert(c.Excluded, qt.Not(qt.Equals), "not considered", comment)
						p.Assert(c.Chosen, qt.Equals, c.Worker == name, comment)
					}
					rules[view.Rule]++
				}
			default:
				p.Assert(e.Decision == Refused || e.Decision == Answered, qt.IsTrue, comment)
				p.Assert(e.Message, qt.Equals, verdict.Message, comment)
				p.Assert(e.RetryAfterMS, qt.Equals, verdict.RetryAfter.Milliseconds(), comment)
			}
		}
	}
	t.Log(decisions, rules)
	for _, d := range []Decision{Placed, Waits, Refused, InProgress, Answered} {
		qt.Check(t, decisions[d] > 0, qt.IsTrue, qt.Commentf("no case of %q", d))
	}
}

// Guards against state that a Snapshot shares with its Scheduler although one of them changes
// it, such as a map that is added later.
func TestSnapshotSharesNothingThatChanges(t *testing.T) {
	p := newLoadedPair(t, 7)
	s := p.both[0]
	moving := 0
	for n := range 400 {
		p.step()
		if n%8 == 0 {
			// Moves need free capacity.
			s.Submit(p.now, p.newJob())
		}
		moves := slices.ContainsFunc(s.sortedJobs(), func(j *job) bool {
			return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.movesTo != nil })
		})
		if moves {
			moving++
		} else if n%20 != 0 {
			continue
		}
		original := walk(s).refs
		for ref, path := range walk(s.Snapshot("j1").s).refs {
			if from, shared := original[ref]; shared {
				// What these fields refer to doesn't change.
				fixed := slices.ContainsFunc([]string{".Steps", ".DependsOn", ".Labels", ".verdict"}, func(suffix string) bool { return strings.HasSuffix(path, suffix) })
				qt.Assert(t, fixed, qt.IsTrue, qt.Commentf("%s is shared with %s", path, from))
			}
		}
	}
	qt.Check(t, moving > 0, qt.IsTrue)
}

// Guards against a field that refers to state which changes, and which Snapshot doesn't copy
// although the events of the test above don't set it.
func TestSnapshotKnowsAllReferences(t *testing.T) {
	known := map[reflect.Type]string{
		// The options don't change.
		reflect.TypeFor[Scheduler](): "opts jobs workers workersByName byActivation waiting firstSubmissions lastUrgent cachedAnswers cacheOrder lastAttempts attemptOrder commands pending pairs maxSpeeds largestCapacities evacuation rates queues spareSpeeds spareWorkers onCandidate onPick",
		reflect.TypeFor[worker]():    "state tasks running",
		reflect.TypeFor[job]():       "Job tasks unfinished",
		// The steps and the spec of a job don't change.
		reflect.TypeFor[Job]():               "Steps",
		reflect.TypeFor[task]():              "job worker failedOn movesTo",
		reflect.TypeFor[evacuation]():        "since unchecked runnableUntil",
		reflect.TypeFor[interference.Pool](): "pairs learned keptApart counted",
		// Labels don't change; a report brings new ones.
		reflect.TypeFor[link.WorkerState](): "Labels",
		reflect.TypeFor[Command]():          "Starts Stops Claims KnownSpeed CountKinds",
	}
	for typ, names := range known {
		var found []string
		for i := range typ.NumField() {
			field := typ.Field(i)
			if !refersToNothing(field.Type) {
				found = append(found, field.Name)
			}
		}
		qt.Check(t, strings.Join(found, " "), qt.Equals, names, qt.Commentf("%v: copy the fields in Snapshot, then list them here", typ))
	}
}

// refersToNothing reports whether an assignment copies all of a value of the type.
func refersToNothing(typ reflect.Type) bool {
	switch typ.Kind() {
	case reflect.Struct:
		for i := range typ.NumField() {
			if !refersToNothing(typ.Field(i).Type) {
				return false
			}
		}
		return true
	case reflect.Array:
		return refersToNothing(typ.Elem())
	case reflect.Pointer, reflect.Map, reflect.Slice, reflect.Func, reflect.Interface, reflect.Chan, reflect.UnsafePointer:
		return false
	}
	return true
}

// Guards against a term that is missing or wrong: the factors must give the cost.
func TestExplanationHasEachTerm(t *testing.T) {
	h := newHarness(t)
	h.s.opts.Zone = "z1"
	h.addWorkerInZone("z1", "w1", 4, 0.5)
	h.addWorkerInZone("z2", "w2", 4, 1)
	h.addWorkerInZone("z3", "w3", 4, 2)
	h.report("w2", 4, 1, &link.Report{FailureRate: 0.25})
	h.s.SetEvacuated(h.now, 5, []string{"z3"})
	h.now += 30 * ms
	h.report("w1", 2, 0.5, &link.Report{})
	sub := h.newJob("a", 40, 100*ms)
	sub.Steps[0].DataRack = "rack"
	e := h.s.Explain(h.now, sub)
	h.Assert(e.Decision, qt.Equals, Waits)
	h.Assert(e.Evacuation, qt.DeepEquals, EvacuationView{Version: 5, Zones: []string{"z3"}})
	h.Assert(e.TotalTasks, qt.Equals, 40)
	h.Assert(e.Tasks, qt.HasLen, maxExplainedTasks)
	h.Assert(e.Tasks[31].Rule, qt.Equals, "waits for an earlier task of the job")
	first := e.Tasks[0]
	h.Assert(first.Worker, qt.Equals, "w2")
	h.Assert(first.Candidates, qt.HasLen, 3)
	for _, c := range first.Candidates {
		cost := 100 * c.SpeedFactor * c.RackFactor * c.FailureFactor * c.OtherFactor * (1 + c.LoadTerm + c.PreferenceTerm + c.ZoneTerm)
		h.Check(math.Abs(cost/c.CostMS-1) < 2e-4, qt.IsTrue, qt.Commentf("%v: %+v", cost, c))
	}
	w2, w1, w3 := first.Candidates[0], first.Candidates[1], first.Candidates[2]
	h.Check(w2.ZoneTerm, qt.Equals, DefaultPolicy.ZoneWeight)
	h.Check(w2.FailureFactor, qt.Equals, 1/0.75)
	h.Check(w2.ReportAgeMS, qt.Equals, int64(30))
	h.Check(w1.ReportAgeMS, qt.Equals, int64(0))
	h.Check(w1.LoadTerm, qt.Equals, DefaultPolicy.LoadWeight/2)
	h.Check(w1.RackFactor, qt.Equals, 1.5)
	h.Check(w3.Excluded, qt.Equals, "evacuated zone")
}

func benchmarkExplain(b *testing.B, workers int) {
	s := New(Options{RestartDelay: time.Second, RackSlowdown: 1.5, MaxWaitingJobs: 2000})
	now := time.Hour
	for i := range workers {
		name := fmt.Sprint("w", i)
		s.AgentConnected(now, name, 1)
		capacity := link.Resources{MilliCPU: 16000, MemoryMB: 1 << 20}
		s.AgentReported(now, name, &link.Report{Accepting: true, Speed: 1, Free: capacity, Worker: &link.WorkerState{ID: name, Service: "service", Capacity: capacity}})
	}
	job := func(id string, tasks int) Job {
		return Job{
			ID: id, Queue: "q", Service: "service", ReceivedAt: now, Deadline: now + time.Hour, LatencyFactor: 100,
			Steps: []Step{{Tasks: tasks, Need: fourCores, Estimate: 100 * time.Millisecond}},
		}
	}
	// Half of the capacity is used, by four tasks a job.
	for i := range workers / 2 {
		s.Submit(now, job(fmt.Sprint("j", i), 4))
	}
	s.TakeActions(now)
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			s.Snapshot("x")
		}
	})
	b.Run("explain", func(b *testing.B) {
		for b.Loop() {
			s.Explain(now, job("x", 8))
		}
	})
}

// The time that one explanation takes, and the part of it that the event loop waits for.
func BenchmarkExplain64Workers(b *testing.B)  { benchmarkExplain(b, 64) }
func BenchmarkExplain160Workers(b *testing.B) { benchmarkExplain(b, 160) }
