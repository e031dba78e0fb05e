package jobs

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/api"
)

// Table is the job table. Not safe for concurrent use.
type Table struct {
	o       Options
	records map[api.Key]*record
	running int
	// tasks holds the started and unknown tasks of running jobs by agent.
	tasks map[uint64]map[ref]struct{}
	// lost holds when an agent with unknown tasks was lost.
	lost      map[uint64]time.Time
	deadlines deadlineHeap
	expiries  map[int64][]api.Key
	expired   int64
	// kept lists the keys of complete answers, oldest first.
	kept      []api.Key
	keptBytes int
	// runningBytes is the size of the bodies and results of running jobs.
	runningBytes int
}

// record is what the table knows of a key.
type record struct {
	digest     uint64
	team       string
	idempotent bool
	// job is nil once there is a verdict.
	job *Job
	// answer is nil while the job runs. Its results are dropped when the memory
	// for answers is full.
	answer *api.Answer
	bytes  int
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	if o.MaxKeys == 0 {
		o.MaxKeys = DefaultMaxKeys
	}
	return &Table{
		o: o, records: map[api.Key]*record{}, tasks: map[uint64]map[ref]struct{}{},
		lost: map[uint64]time.Time{}, expiries: map[int64][]api.Key{},
	}
}

// Running returns the number of jobs without a verdict.
func (t *Table) Running() int { return t.running }

// RunningBytes returns the size of the bodies and results of running jobs, in
// bytes.
func (t *Table) RunningBytes() int { return t.runningBytes }

// Full reports whether no further key can be remembered.
func (t *Table) Full() bool { return len(t.records) >= t.o.MaxKeys }

// Job returns the running job of a key, or nil.
func (t *Table) Job(key api.Key) *Job {
	if r := t.records[key]; r != nil {
		return r.job
	}
	return nil
}

// Idempotent reports whether the submission of the key was marked idempotent.
func (t *Table) Idempotent(key api.Key) bool {
	r := t.records[key]
	return r != nil && r.idempotent
}

// HasWaiting reports whether a running job has tasks that have not started.
func (t *Table) HasWaiting(key api.Key) bool {
	j := t.Job(key)
	return j != nil && slices.ContainsFunc(j.tasks, func(k task) bool { return k.state == waiting })
}

// Keys returns the keys that the table remembers and that sel selects.
func (t *Table) Keys(sel func(api.Key) bool) []api.Key {
	var keys []api.Key
	for k := range t.records {
		if sel(k) {
			keys = append(keys, k)
		}
	}
	return keys
}

// Known reports whether the table remembers the key.
func (t *Table) Known(key api.Key) bool { return t.records[key] != nil }

// Get returns the answer of a key as it is now and the team that submitted it.
// The answer is nil for a key that is not known.
func (t *Table) Get(key api.Key, now time.Time) (a *api.Answer, team string) {
	r := t.records[key]
	switch {
	case r != nil && r.answer != nil:
		return r.answer, r.team
	case r != nil:
		return &api.Answer{Key: key, State: api.StateRunning, Tasks: len(r.job.tasks), Finished: r.job.finished}, r.team
	case key.Expired(now):
		return expiredKey().Answer(key, false), ""
	}
	return nil, ""
}

// Check looks up a submission before it is admitted. It returns the answer of
// a finished, refused, conflicting, expired or premature key; a running answer
// for a job in progress; or nil for a key that is new.
func (t *Table) Check(key api.Key, s *api.Submission, digest uint64, now time.Time) *api.Answer {
	r := t.records[key]
	switch {
	case r != nil && r.digest != digest:
		return conflict().Answer(key, false)
	case r != nil:
		a, _ := t.Get(key, now)
		return a
	case key.Expired(now):
		return expiredKey().Answer(key, s.Idempotent)
	case key.FromFuture(now):
		v := api.Refuse(api.ReasonKeyFromFuture, fmt.Sprintf("the key was created at %s, which is more than %s ahead of this host's clock", key.Created().UTC().Format(time.RFC3339), api.ClockSkew))
		return t.Refuse(key, s, digest, v, now)
	}
	return nil
}

func conflict() *api.Verdict {
	return api.Refuse(api.ReasonKeyConflict, "the key belongs to a submission with another content")
}

func expiredKey() *api.Verdict {
	return api.Fail(api.RanMaybe, api.ReasonKeyExpired, "the key has expired; whether its job ran is no longer known")
}

// Refuse closes a key that is not in the table with the verdict v. If v says
// that nothing ran and no tombstone can be kept, the answer says maybe: a later
// copy of the submission could run.
func (t *Table) Refuse(key api.Key, s *api.Submission, digest uint64, v *api.Verdict, now time.Time) *api.Answer {
	if t.Full() || key.Created().Sub(now) > api.KeyLifetime {
		w := *v
		w.Ran = v.Ran.Join(api.RanMaybe)
		return w.Answer(key, s.Idempotent)
	}
	a := v.Answer(key, s.Idempotent)
	t.records[key] = &record{digest: digest, team: s.Team, idempotent: s.Idempotent, answer: a}
	t.expireLater(key)
	return a
}

// Add records a job. The caller has called Check, which returned nil, and Full,
// which returned false.
func (t *Table) Add(n New, now time.Time) []Action {
	for _, s := range n.Started {
		if s.Digest != n.Digest {
			// The records of the agents hold the first submission; it stays as it is.
			return []Action{{Kind: Done, Key: n.Key, Answer: conflict().Answer(n.Key, false)}}
		}
	}
	j := &Job{
		Key: n.Key, Submission: n.Submission, Digest: n.Digest, Deadline: n.Deadline, Arrived: now,
		Recovered: len(n.Started) > 0, tasks: make([]task, len(n.Submission.Tasks)),
	}
	// The table and the ledgers forget the key when it expires, so the job must
	// have its verdict by then.
	if e := n.Key.Expires(); j.Deadline.After(e) {
		j.Deadline = e
	}
	for _, b := range n.Submission.Tasks {
		j.bytes += len(b)
	}
	t.records[n.Key] = &record{digest: n.Digest, team: n.Submission.Team, idempotent: n.Submission.Idempotent, job: j}
	t.running++
	t.runningBytes += j.bytes
	t.expireLater(n.Key)
	heap.Push(&t.deadlines, deadline{j.Deadline, n.Key})
	return t.begin(j, n)
}

// begin settles what an earlier owner started and queues the rest.
func (t *Table) begin(j *Job, n New) []Action {
	var actions []Action
	for _, s := range n.Started {
		if int(s.Task) >= len(j.tasks) || j.tasks[s.Task].state != waiting {
			continue
		}
		t.hold(j, s.Task, s.Agent, unknown)
		actions = append(actions, Action{Kind: Settle, Key: j.Key, Task: s.Task, Agent: s.Agent, Watch: true})
	}
	for i := range j.tasks {
		if j.tasks[i].state != waiting {
			continue
		}
		if n.Unknown {
			j.tasks[i] = task{state: finished, ran: api.RanMaybe}
			return t.fail(j, api.ReasonTaskInDoubt, fmt.Sprintf("an earlier owner of the key may have started task %d, and its agent has lost the record", i))
		}
		actions = append(actions, Action{Kind: Queue, Key: j.Key, Task: uint16(i)})
	}
	return actions
}

// Tick fails jobs at their deadline, fails jobs whose tasks stayed unknown for
// SettleWait, and forgets expired keys.
func (t *Table) Tick(now time.Time) []Action {
	var actions []Action
	for len(t.deadlines) > 0 && !now.Before(t.deadlines[0].at) {
		d := heap.Pop(&t.deadlines).(deadline)
		if r := t.records[d.key]; r != nil && r.job != nil {
			actions = append(actions, t.fail(r.job, api.ReasonDeadlineExceeded, "the deadline passed before all tasks had a result")...)
		}
	}
	for agent, at := range t.lost {
		if now.Sub(at) >= SettleWait {
			actions = append(actions, t.AgentGone(agent)...)
		}
	}
	t.expire(now)
	return actions
}

func (t *Table) expireLater(key api.Key) {
	s := key.Expires().Unix() + 1
	t.expiries[s] = append(t.expiries[s], key)
	if t.expired == 0 || s <= t.expired {
		t.expired = s - 1
	}
}

// expire forgets the keys that are refused by the same clock from now on.
func (t *Table) expire(now time.Time) {
	for ; len(t.expiries) > 0 && t.expired < now.Unix(); t.expired++ {
		s := t.expired + 1
		for _, key := range t.expiries[s] {
			t.forget(key)
		}
		delete(t.expiries, s)
	}
	for len(t.kept) > 0 && t.records[t.kept[0]] == nil {
		t.kept = t.kept[1:]
	}
}

func (t *Table) forget(key api.Key) {
	r := t.records[key]
	if r == nil || r.job != nil {
		return
	}
	t.keptBytes -= r.bytes
	delete(t.records, key)
}

type deadline struct {
	at  time.Time
	key api.Key
}

// deadlineHeap is a heap with the earliest deadline first.
type deadlineHeap []deadline

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadline)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	*h = old[:len(old)-1]
	return d
}
