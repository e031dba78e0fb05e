package jobs

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/api"
)

// Table is the job table of an entry. It is not safe for concurrent use.
type Table struct {
	options Options
	records map[api.Key]*record
	running int
	// tasksByAgent holds the started and unknown tasks of running jobs, by agent
	// incarnation.
	tasksByAgent map[uint64]map[taskID]struct{}
	// disconnectedAt holds, by agent incarnation, the time at which the connection
	// to an agent with unknown tasks was lost.
	disconnectedAt map[uint64]time.Time
	deadlines      deadlineHeap
	// keysByExpiry groups the keys by the Unix second in which they are deleted.
	// expiredThrough is the last second whose keys have been deleted.
	keysByExpiry   map[int64][]api.Key
	expiredThrough int64
	// answerOrder lists the keys of complete answers, oldest first.
	answerOrder []api.Key
	answerBytes int
	// runningBytes is the size of the task bodies and results of running jobs.
	runningBytes int
}

// record is the state of a key.
type record struct {
	digest     uint64
	team       string
	idempotent bool
	// job is nil once the job has a verdict.
	job *Job
	// answer is nil while the job runs. Its results are dropped when
	// Options.MaxAnswerBytes is exceeded.
	answer      *api.Answer
	resultBytes int
}

// NewTable returns an empty table with the given limits.
func NewTable(o Options) *Table {
	if o.MaxKeys == 0 {
		o.MaxKeys = DefaultMaxKeys
	}
	return &Table{
		options: o, records: map[api.Key]*record{}, tasksByAgent: map[uint64]map[taskID]struct{}{},
		disconnectedAt: map[uint64]time.Time{}, keysByExpiry: map[int64][]api.Key{},
	}
}

// Running returns the number of jobs without a verdict.
func (t *Table) Running() int { return t.running }

// RunningBytes returns the size of the bodies and results of running jobs, in
// bytes.
func (t *Table) RunningBytes() int { return t.runningBytes }

// Full reports whether the table has reached Options.MaxKeys.
func (t *Table) Full() bool { return len(t.records) >= t.options.MaxKeys }

// Job returns the running job of a key, or nil if there is none.
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

// HasUnstartedTasks reports whether the key has a running job with tasks that have
// not started.
func (t *Table) HasUnstartedTasks(key api.Key) bool {
	j := t.Job(key)
	return j != nil && slices.ContainsFunc(j.tasks, func(tk task) bool { return tk.state == taskWaiting })
}

// Keys returns the keys in the table for which sel returns true, in no particular
// order.
func (t *Table) Keys(sel func(api.Key) bool) []api.Key {
	var keys []api.Key
	for k := range t.records {
		if sel(k) {
			keys = append(keys, k)
		}
	}
	return keys
}

// Contains reports whether the key is in the table.
func (t *Table) Contains(key api.Key) bool { return t.records[key] != nil }

// Get returns the current answer of a key and the team that submitted it. The
// answer is nil for a key that is not in the table and has not expired.
func (t *Table) Get(key api.Key, now time.Time) (a *api.Answer, team string) {
	r := t.records[key]
	switch {
	case r != nil && r.answer != nil:
		return r.answer, r.team
	case r != nil:
		return &api.Answer{Key: key, State: api.StateRunning, Tasks: len(r.job.tasks), Finished: r.job.finished}, r.team
	case key.Expired(now):
		return keyExpiredVerdict().Answer(key, false), ""
	}
	return nil, ""
}

// Check looks up a submission before it is admitted. It returns nil for a new key,
// an answer in state running for a job in progress, and the final answer for a
// key that is finished, refused, in conflict, expired or from the future.
func (t *Table) Check(key api.Key, s *api.Submission, digest uint64, now time.Time) *api.Answer {
	r := t.records[key]
	switch {
	case r != nil && r.digest != digest:
		return keyConflictVerdict().Answer(key, false)
	case r != nil:
		a, _ := t.Get(key, now)
		return a
	case key.Expired(now):
		return keyExpiredVerdict().Answer(key, s.Idempotent)
	case key.FromFuture(now):
		v := api.Refuse(api.ReasonKeyFromFuture, fmt.Sprintf("the key was created at %s, which is more than %s ahead of this host's clock", key.Created().UTC().Format(time.RFC3339), api.ClockSkew))
		return t.Refuse(key, s, digest, v, now)
	}
	return nil
}

func keyConflictVerdict() *api.Verdict {
	return api.Refuse(api.ReasonKeyConflict, "the key was already used for a submission with different content")
}

func keyExpiredVerdict() *api.Verdict {
	return api.Fail(api.RanMaybe, api.ReasonKeyExpired, "the key has expired; whether its job ran is no longer known")
}

// Refuse stores the verdict v as the final answer of a key that is not in the table
// and returns the answer. If it cannot be stored, because the table is full or the
// key was created too far in the future, ran: no becomes ran: maybe, since a later
// copy of the submission could run.
func (t *Table) Refuse(key api.Key, s *api.Submission, digest uint64, v *api.Verdict, now time.Time) *api.Answer {
	if t.Full() || key.Created().Sub(now) > api.KeyLifetime {
		maybe := *v
		maybe.Ran = v.Ran.Combine(api.RanMaybe)
		return maybe.Answer(key, s.Idempotent)
	}
	a := v.Answer(key, s.Idempotent)
	t.records[key] = &record{digest: digest, team: s.Team, idempotent: s.Idempotent, answer: a}
	t.scheduleExpiry(key)
	return a
}

// Add adds a job to the table. It must only be called after Check has returned nil
// for the key and Full has returned false.
func (t *Table) Add(spec JobSpec, now time.Time) []Action {
	for _, s := range spec.Started {
		if s.Digest != spec.Digest {
			// An earlier owner has started tasks of another submission with this key.
			// Their records stay valid, and this submission is refused.
			return []Action{{Kind: Deliver, Key: spec.Key, Answer: keyConflictVerdict().Answer(spec.Key, false)}}
		}
	}
	j := &Job{
		Key: spec.Key, Submission: spec.Submission, Digest: spec.Digest, Deadline: spec.Deadline, Arrived: now,
		Recovered: len(spec.Started) > 0, tasks: make([]task, len(spec.Submission.Tasks)),
	}
	// The table and the ledgers delete the key when it expires, so the job must
	// have its verdict by then.
	if e := spec.Key.Expires(); j.Deadline.After(e) {
		j.Deadline = e
	}
	for _, b := range spec.Submission.Tasks {
		j.bytes += len(b)
	}
	t.records[spec.Key] = &record{digest: spec.Digest, team: spec.Submission.Team, idempotent: spec.Submission.Idempotent, job: j}
	t.running++
	t.runningBytes += j.bytes
	t.scheduleExpiry(spec.Key)
	heap.Push(&t.deadlines, deadline{j.Deadline, spec.Key})
	return t.scheduleTasks(j, spec)
}

// scheduleTasks settles the tasks that an earlier owner started and queues the
// others.
func (t *Table) scheduleTasks(j *Job, spec JobSpec) []Action {
	var actions []Action
	for _, s := range spec.Started {
		if int(s.Task) >= len(j.tasks) || j.tasks[s.Task].state != taskWaiting {
			continue
		}
		t.assign(j, s.Task, s.Agent, taskUnknown)
		actions = append(actions, Action{Kind: Settle, Key: j.Key, Task: s.Task, Agent: s.Agent, Watch: true})
	}
	for i := range j.tasks {
		if j.tasks[i].state != taskWaiting {
			continue
		}
		if spec.RecordsLost {
			j.tasks[i] = task{state: taskFinished, ran: api.RanMaybe}
			return t.fail(j, api.ReasonTaskInDoubt, fmt.Sprintf("an earlier owner of the key may have started task %d, and an agent ledger that could hold the record is lost", i))
		}
		actions = append(actions, Action{Kind: Queue, Key: j.Key, Task: uint16(i)})
	}
	return actions
}

// Tick fails jobs whose deadline has passed and jobs with tasks that have been
// unknown for SettleWait, and deletes expired keys.
func (t *Table) Tick(now time.Time) []Action {
	var actions []Action
	for len(t.deadlines) > 0 && !now.Before(t.deadlines[0].at) {
		d := heap.Pop(&t.deadlines).(deadline)
		if r := t.records[d.key]; r != nil && r.job != nil {
			actions = append(actions, t.fail(r.job, api.ReasonDeadlineExceeded, "the deadline passed before all tasks had a result")...)
		}
	}
	for agent, at := range t.disconnectedAt {
		if now.Sub(at) >= SettleWait {
			actions = append(actions, t.AgentLost(agent)...)
		}
	}
	t.expire(now)
	return actions
}

// scheduleExpiry adds a key to keysByExpiry. The next second is used, so that the
// key has expired when it is deleted.
func (t *Table) scheduleExpiry(key api.Key) {
	second := key.Expires().Unix() + 1
	t.keysByExpiry[second] = append(t.keysByExpiry[second], key)
	if t.expiredThrough == 0 || second <= t.expiredThrough {
		t.expiredThrough = second - 1
	}
}

// expire deletes the keys that have expired. Tick and Check take their time from
// the same clock, so Check refuses a deleted key as expired.
func (t *Table) expire(now time.Time) {
	for ; len(t.keysByExpiry) > 0 && t.expiredThrough < now.Unix(); t.expiredThrough++ {
		second := t.expiredThrough + 1
		for _, key := range t.keysByExpiry[second] {
			t.remove(key)
		}
		delete(t.keysByExpiry, second)
	}
	for len(t.answerOrder) > 0 && t.records[t.answerOrder[0]] == nil {
		t.answerOrder = t.answerOrder[1:]
	}
}

// remove deletes a key, unless its job is running.
func (t *Table) remove(key api.Key) {
	r := t.records[key]
	if r == nil || r.job != nil {
		return
	}
	t.answerBytes -= r.resultBytes
	delete(t.records, key)
}

type deadline struct {
	at  time.Time
	key api.Key
}

// deadlineHeap is a min-heap ordered by deadline.
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
