// Package cancellation decides which entries are asked, and when, about jobs that a caller
// cancels at an entry which doesn't know them, and what the caller is answered. It also decides
// when the others are told of a job that has been cancelled, since its request may arrive
// there, again or late.
//
// Input: cancelled jobs, answers and failures of entries, the time. Output: the jobs to ask
// an entry about or to tell it of next, the outcome for each caller. State: open inquiries, and
// for each entry the jobs to ask it about and since when it hasn't answered. Pure.
package cancellation

import (
	"slices"
	"time"
)

const (
	// MaxJobs limits the jobs that an entry is asked about in one request.
	MaxJobs = 256
	// MaxOpen limits the open inquiries of an entry: at the rate of MaxJobs every
	// requestInterval they are asked about within half a second.
	MaxOpen = 1024
	// maxPeers limits the entries that are asked. The design size is 35.
	maxPeers = 128
	// requestInterval is the shortest time between two requests to an entry. Callers that
	// cancel jobs at random at all 35 entries cost each of them 340 requests a second at most.
	requestInterval = 100 * time.Millisecond
	// noticeInterval is that for requests with a notice: the caller waits for it to arrive.
	noticeInterval = 2 * time.Millisecond
	// unreachableTimeout is how long an entry that can't be connected to is tried: a host that
	// is up answers after one lost packet at the latest.
	unreachableTimeout = 500 * time.Millisecond
	// failureRetention is how long after its last failure an entry counts as failing. Other
	// inquiries then don't wait as long for it.
	failureRetention = 5 * time.Second
)

// Outcome is what is known about a cancelled job.
type Outcome int

// Outcomes of an inquiry.
const (
	// Open: not known yet.
	Open Outcome = iota
	// Cancelled: an entry ran the job and has cancelled it.
	Cancelled
	// NotRunning: no entry that can be reached runs the job.
	NotRunning
	// Unresolved: entries that may be reachable have not been asked.
	Unresolved
)

// Failure says why an entry hasn't answered a request.
type Failure int

// Failures of a request.
const (
	// Unreachable: no connection.
	Unreachable Failure = iota
	// Unanswered: no answer in time, or one that refuses the request.
	Unanswered
	// Unsupported: the entry knows no such request.
	Unsupported
)

// Inquiry is a job that entries are asked about or told of.
type Inquiry struct {
	job string
	// retention is how long the entries shall remember that the job is cancelled, if they are
	// told of it; 0 if they are asked.
	retention time.Duration
	// waiting holds the entries without an answer, and whether each was asked.
	waiting map[string]bool
	// repeated says that an entry has cancelled the job before. Another one may run it since.
	repeated bool
	// incomplete says that not all entries are asked.
	incomplete bool
	outcome    Outcome
	finished   func()
	// told is called once only failing entries have not answered; nil afterwards.
	told func()
}

// Outcome returns what is known.
func (i *Inquiry) Outcome() Outcome { return i.outcome }

// Inquiries are the inquiries of an entry.
type Inquiries struct {
	timeout time.Duration
	open    int
	peers   map[string]*peer
}

// peer is an entry that is asked.
type peer struct {
	// queue holds the inquiries to ask it about, batch those of the request under way.
	queue, batch []*Inquiry
	// sentAt is when the last request was sent, nextAt the earliest time of the next one.
	sentAt, nextAt time.Duration
	// If failing, the requests since failingSince have failed, the last at failedAt.
	failing                bool
	failingSince, failedAt time.Duration
}

// New returns Inquiries that last for up to timeout each.
func New(timeout time.Duration) *Inquiries {
	return &Inquiries{timeout: timeout, peers: map[string]*peer{}}
}

// Begin begins an inquiry at the named entries. finished is called once it has an outcome,
// possibly before Begin returns. It returns nil if there are too many open ones.
func (q *Inquiries) Begin(now time.Duration, job string, peers []string, finished func()) *Inquiry {
	if q.open >= MaxOpen {
		return nil
	}
	q.open++
	q.forgetIdle(now)
	i := &Inquiry{job: job, waiting: map[string]bool{}, incomplete: len(peers) > maxPeers, finished: finished}
	for _, name := range peers[:min(len(peers), maxPeers)] {
		p := q.peers[name]
		if p == nil {
			p = &peer{}
			q.peers[name] = p
		}
		i.waiting[name] = false
		p.queue = append(p.queue, i)
	}
	q.settle(i)
	return i
}

// forgetIdle forgets entries that are not asked about anything.
func (q *Inquiries) forgetIdle(now time.Duration) {
	for name, p := range q.peers {
		if len(p.queue)+len(p.batch) == 0 && now >= p.nextAt && (!p.failing || now-p.failedAt > failureRetention) {
			delete(q.peers, name)
		}
	}
}

// Tell begins to tell the named entries that a job has been cancelled, and that requests of it
// may arrive during the given time. told is called once all of them know it but those that fail
// to answer, possibly before Tell returns. It returns false if there are too many open inquiries.
func (q *Inquiries) Tell(now time.Duration, job string, retention time.Duration, peers []string, told func()) bool {
	i := q.Begin(now, job, peers, func() {})
	if i == nil {
		return false
	}
	i.retention, i.told = retention, told
	q.noteTold(i)
	return true
}

// noteTold calls told if it is time to.
func (q *Inquiries) noteTold(i *Inquiry) {
	if i.told == nil {
		return
	}
	for name := range i.waiting {
		if !q.peers[name].failing {
			return
		}
	}
	i.told()
	i.told = nil
}

// Request is a job in a request to an entry.
type Request struct {
	Job string
	// Retention is how long the entry shall remember that the job is cancelled; 0 if it is
	// only asked whether it runs the job.
	Retention time.Duration
}

// Next returns the jobs to ask an entry about or to tell it of now. If there are none yet, it
// returns after which time to call it again; 0 means that there is nothing to ask.
func (q *Inquiries) Next(now time.Duration, name string) (jobs []Request, wait time.Duration) {
	p := q.peers[name]
	if p == nil || len(p.batch) > 0 {
		return nil, 0
	}
	p.queue = onlyOpen(p.queue)
	if len(p.queue) == 0 {
		return nil, 0
	}
	at := p.nextAt
	if slices.ContainsFunc(p.queue, func(i *Inquiry) bool { return i.retention > 0 }) && !p.failing {
		at = min(at, p.sentAt+noticeInterval)
	}
	if now < at {
		return nil, at - now
	}
	n := min(len(p.queue), MaxJobs)
	p.batch, p.queue = p.queue[:n:n], p.queue[n:]
	p.sentAt, p.nextAt = now, now+requestInterval
	for _, i := range p.batch {
		i.waiting[name] = true
		jobs = append(jobs, Request{i.job, i.retention})
	}
	return jobs, 0
}

func onlyOpen(inquiries []*Inquiry) []*Inquiry {
	open := inquiries[:0]
	for _, i := range inquiries {
		if i.outcome == Open {
			open = append(open, i)
		}
	}
	return open
}

// Answered records the answer to the last request to an entry: the jobs that it ran and has
// cancelled, and those that it had cancelled before.
func (q *Inquiries) Answered(name string, cancelled, repeated []string) {
	p := q.peers[name]
	p.failing = false
	for _, i := range q.takeBatch(p) {
		delete(i.waiting, name)
		i.repeated = i.repeated || slices.Contains(repeated, i.job)
		if i.retention == 0 && slices.Contains(cancelled, i.job) {
			q.finish(i, Cancelled)
		}
		q.settle(i)
		q.noteTold(i)
	}
}

// Failed records that the last request to an entry had no answer. The entry is asked again
// unless it has failed for so long that its runs have ended, since agents stop the runs of
// an entry that is silent for half a second. It reports whether the entry answered before.
func (q *Inquiries) Failed(now time.Duration, name string, f Failure) (first bool) {
	p := q.peers[name]
	if !p.failing || now-p.failedAt > failureRetention {
		p.failing, p.failingSince, first = true, p.sentAt, true
	}
	p.failedAt = now
	patience := q.timeout
	switch f {
	case Unreachable:
		patience = unreachableTimeout
	case Unsupported:
		patience = 0
	}
	batch := q.takeBatch(p)
	for _, i := range slices.Concat(batch, p.queue) {
		q.noteTold(i)
	}
	if now-p.failingSince < patience {
		p.queue = append(batch, p.queue...)
		return first
	}
	for _, i := range batch {
		delete(i.waiting, name)
		q.settle(i)
	}
	return first
}

// takeBatch returns the open inquiries of the request under way to p, which has ended.
func (q *Inquiries) takeBatch(p *peer) []*Inquiry {
	batch := onlyOpen(p.batch)
	p.batch = nil
	return batch
}

// End ends an inquiry at the end of its time, or because its caller has gone. Entries that
// were asked and have not answered count as unreachable.
func (q *Inquiries) End(i *Inquiry) {
	if i.outcome != Open {
		return
	}
	for name, asked := range i.waiting {
		i.incomplete = i.incomplete || !asked
		delete(i.waiting, name)
	}
	q.settle(i)
}

// settle finishes an inquiry for which no more answers are expected.
func (q *Inquiries) settle(i *Inquiry) {
	switch {
	case i.outcome != Open || len(i.waiting) > 0:
	case i.repeated:
		q.finish(i, Cancelled)
	case i.incomplete:
		q.finish(i, Unresolved)
	default:
		q.finish(i, NotRunning)
	}
}

func (q *Inquiries) finish(i *Inquiry, o Outcome) {
	i.outcome = o
	q.open--
	i.finished()
}
