package api

import "time"

// Outcome is the result of a job as a whole. A job is never partly complete.
type Outcome string

// Outcomes of a job.
const (
	Complete Outcome = "complete"
	Failed   Outcome = "failed"
)

// Ran says whether any task of a job may have run at a backend server.
type Ran string

// Values of Ran, in ascending order of precedence: a job has run if any of its
// tasks certainly has; otherwise it may have run if any of its tasks may have.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Combine combines the values of two parts of a job.
func (r Ran) Combine(other Ran) Ran {
	switch {
	case r == RanYes || other == RanYes:
		return RanYes
	case r == RanMaybe || other == RanMaybe:
		return RanMaybe
	}
	return RanNo
}

// Reason is the machine-readable cause of a verdict.
type Reason string

// Reasons.
const (
	ReasonOK                Reason = "ok"
	ReasonMalformed         Reason = "malformed"
	ReasonTooLarge          Reason = "too_large"
	ReasonTooManyTasks      Reason = "too_many_tasks"
	ReasonUnauthorized      Reason = "unauthorized"
	ReasonUnknownService    Reason = "unknown_service"
	ReasonUnknownType       Reason = "unknown_type"
	ReasonUnknownTeam       Reason = "unknown_team"
	ReasonUnknownKey        Reason = "unknown_key"
	ReasonKeyConflict       Reason = "key_conflict"
	ReasonKeyExpired        Reason = "key_expired"
	ReasonKeyFromFuture     Reason = "key_from_future"
	ReasonDeadlinePast      Reason = "deadline_past"
	ReasonDeadlineExceeded  Reason = "deadline_exceeded"
	ReasonOverload          Reason = "overload"
	ReasonQuota             Reason = "quota"
	ReasonNoWorker          Reason = "no_worker"
	ReasonCancelled         Reason = "cancelled"
	ReasonCancelledByCaller Reason = "cancelled_by_caller"
	ReasonDraining          Reason = "draining"
	ReasonOwnerChange       Reason = "owner_change"
	ReasonOwnerUnreachable  Reason = "owner_unreachable"
	ReasonTaskFailed        Reason = "task_failed"
	ReasonTaskInDoubt       Reason = "task_in_doubt"
	ReasonResultTooLarge    Reason = "result_too_large"
	ReasonResultsDropped    Reason = "answer_forgotten"
	ReasonNotReady          Reason = "not_ready"
	ReasonInternal          Reason = "internal"
)

// Verdict is the outcome of a job and whether any of it may have run. It is the
// error type of the request path; it is an error only when Outcome is Failed.
type Verdict struct {
	Outcome Outcome
	Ran     Ran
	Reason  Reason
	// Message is meant for people; it never contains request bodies or secrets.
	Message string
	// RetryAfter is a hint for overload refusals; zero means no hint.
	RetryAfter time.Duration
}

// Error implements error.
func (v *Verdict) Error() string {
	return string(v.Outcome) + " (" + string(v.Reason) + ", ran: " + string(v.Ran) + "): " + v.Message
}

// Refuse returns the verdict of a refused job: none of its tasks has run or will
// run.
func Refuse(reason Reason, message string) *Verdict {
	return &Verdict{Outcome: Failed, Ran: RanNo, Reason: reason, Message: message}
}

// Fail returns the verdict of a failed job; ran says whether any of its tasks may
// have run.
func Fail(ran Ran, reason Reason, message string) *Verdict {
	return &Verdict{Outcome: Failed, Ran: ran, Reason: reason, Message: message}
}
