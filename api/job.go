package api

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxTasks is the largest number of tasks in a job.
	MaxTasks = 170
	// MaxTaskBytes bounds the body of one task, in bytes.
	MaxTaskBytes = 64 << 10
	// MaxResultBytes bounds the result of one task, in bytes. A larger result
	// fails the job.
	MaxResultBytes = 64 << 10
	// MaxJobBytes bounds the body of a submission, in bytes.
	MaxJobBytes = 2 << 20
	// MaxDeadline bounds the deadline of a job. It is shorter than KeyLifetime, so
	// that a job with a new key ends before entries and agents discard the key. For
	// an older key, package jobs moves a later deadline to the expiry of the key.
	MaxDeadline = 4 * time.Minute
	// MaxNameLength bounds the names of services, request types and teams, in
	// bytes.
	MaxNameLength = 64
)

// Submission is a job as a caller sends it.
type Submission struct {
	Service string `json:"service"`
	Type    string `json:"type"`
	Team    string `json:"team"`
	// Tasks are the bodies of the tasks. Each is any JSON value.
	Tasks []json.RawMessage `json:"tasks"`
	// DeadlineMS is the time that the caller allows for the job, in milliseconds
	// from its arrival. Zero means the default of the request type.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Idempotent says that running the job a second time under a new key does
	// no harm. The job is never started a second time under the same key.
	Idempotent bool `json:"idempotent"`
}

// Validate makes the checks that depend on the submission alone, so that every entry
// returns the same verdict for it. It returns nil or a refusal.
func (s *Submission) Validate() *Verdict {
	for _, n := range []struct{ field, value string }{{"service", s.Service}, {"type", s.Type}, {"team", s.Team}} {
		if n.value == "" {
			return Refuse(ReasonMalformed, fmt.Sprintf("field %q is missing", n.field))
		}
		if len(n.value) > MaxNameLength {
			return Refuse(ReasonMalformed, fmt.Sprintf("field %q has %d bytes, the limit is %d", n.field, len(n.value), MaxNameLength))
		}
	}
	switch {
	case len(s.Tasks) == 0:
		return Refuse(ReasonMalformed, "the job has no tasks")
	case len(s.Tasks) > MaxTasks:
		return Refuse(ReasonTooManyTasks, fmt.Sprintf("the job has %d tasks, the limit is %d", len(s.Tasks), MaxTasks))
	case s.DeadlineMS < 0:
		return Refuse(ReasonDeadlinePast, fmt.Sprintf("deadline_ms is %d: the deadline is in the past", s.DeadlineMS))
	case s.DeadlineMS > MaxDeadline.Milliseconds():
		return Refuse(ReasonMalformed, fmt.Sprintf("deadline_ms is %d, the limit is %d", s.DeadlineMS, MaxDeadline.Milliseconds()))
	}
	for i, t := range s.Tasks {
		if len(t) > MaxTaskBytes {
			return Refuse(ReasonTooLarge, fmt.Sprintf("task %d has %d bytes, the limit is %d", i, len(t), MaxTaskBytes))
		}
	}
	return nil
}

// Digest returns a hash that identifies the content of a submission. Submitting a
// key again with another digest is a conflict. The deadline is not part of the
// hash, because a caller that resubmits may have less time left.
func (s *Submission) Digest() uint64 {
	h := xxhash.New()
	var n [8]byte
	write := func(b []byte) {
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	write([]byte(s.Service))
	write([]byte(s.Type))
	write([]byte(s.Team))
	if s.Idempotent {
		write([]byte{1})
	}
	for _, t := range s.Tasks {
		write(t)
	}
	return h.Sum64()
}

// Answer is what a caller gets for a job.
type Answer struct {
	// Key is omitted when the request had no valid key.
	Key Key `json:"key,omitzero"`
	// State is "running" until there is a verdict, then "done".
	State   string  `json:"state"`
	Verdict Outcome `json:"verdict,omitempty"`
	Ran     Ran     `json:"ran,omitempty"`
	Reason  Reason  `json:"reason,omitempty"`
	Message string  `json:"message,omitempty"`
	// RetrySafe says that the caller may submit the job again under a new key:
	// either nothing has run, or the job is idempotent.
	RetrySafe bool `json:"retry_safe,omitempty"`
	// Results holds one result for each task, in order, and is present only
	// when the verdict is complete.
	Results []json.RawMessage `json:"results,omitempty"`
	// Tasks and Finished report progress.
	Tasks    int `json:"tasks,omitempty"`
	Finished int `json:"finished,omitempty"`
	// RetryAfterMS is a hint for refusals, in milliseconds.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	TraceID      string `json:"trace_id,omitempty"`
}

// States of an answer.
const (
	StateRunning = "running"
	StateDone    = "done"
)

// Answer returns the answer that carries the verdict v for a failed job.
func (v *Verdict) Answer(key Key, idempotent bool) *Answer {
	return &Answer{
		Key: key, State: StateDone, Verdict: v.Outcome, Ran: v.Ran, Reason: v.Reason, Message: v.Message,
		RetrySafe:    v.Outcome == Failed && (idempotent || v.Ran == RanNo),
		RetryAfterMS: v.RetryAfter.Milliseconds(),
	}
}
