package ingress

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/sesamelift/sesamelift/admission"
	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/intake"
	"github.com/sesamelift/sesamelift/placement"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	// ExplainPath is the path at which an entry explains decisions to operators.
	ExplainPath = "/v1/explain"
	// explainsPerSecond and explainBurst bound the explanations that an entry gives. With
	// 890 agents and a job of 32 tasks, one takes 0.3 ms of the event loop and 10 ms of
	// processor time; 20,000 waiting jobs add 9 ms of the event loop.
	explainsPerSecond = 1
	explainBurst      = 4
)

// Decision says what would happen to a job.
type Decision string

// Decisions.
const (
	// Placed means that every task would start at once, Waits that the job would be accepted
	// and at least one task would wait.
	Placed Decision = "placed"
	Waits  Decision = "waits"
	// Refused means that the job would be refused, and none of it run.
	Refused Decision = "refused"
)

// Explanation says what an entry would do with a job that arrived now under a key that it
// owns, and why. Times are in milliseconds.
type Explanation struct {
	Entry         string `json:"entry"`
	Zone          string `json:"zone"`
	Ready         bool   `json:"ready"`
	ConfigVersion uint64 `json:"config_version"`
	RosterVersion uint64 `json:"roster_version"`
	// PlatformAgeMS is how long ago the entry last read the platform; -1 if it never has.
	PlatformAgeMS  int64    `json:"platform_age_ms"`
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`

	Decision Decision `json:"decision"`
	// Reason and Message are those of the refusal; Message may also say for what a job
	// waits that has no worker yet.
	Reason       api.Reason `json:"reason,omitempty"`
	Message      string     `json:"message,omitempty"`
	RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
	Service      string     `json:"service"`
	Type         string     `json:"type"`
	Team         string     `json:"team"`
	// Class is that of the request type by its learned run time.
	Class string `json:"class"`
	// DeadlineMS is the time until the deadline. ExpectedEndMS is when the last task is
	// expected to end, 0 if that isn't known.
	DeadlineMS    int64 `json:"deadline_ms"`
	ExpectedEndMS int64 `json:"expected_end_ms,omitempty"`
	// Ahead is the queue of the service before the job, Supply the slots of the service and
	// Admission the further inputs of the admission.
	Ahead     QueueAhead     `json:"ahead"`
	Supply    SupplyView     `json:"supply"`
	Admission admission.View `json:"admission"`
	// Tasks are the first tasks of the job, TotalTasks is the number of all.
	Tasks      []TaskView `json:"tasks"`
	TotalTasks int        `json:"total_tasks"`
}

// QueueAhead describes the waiting tasks of the service. FirstTask and LastTask are the
// numbers of those that are served before the first and the last task of the job.
type QueueAhead struct {
	Waiting   int `json:"waiting"`
	FirstTask int `json:"first_task"`
	LastTask  int `json:"last_task"`
}

// SupplyView is admission.Supply without the waiting tasks.
type SupplyView struct {
	Slots        int   `json:"slots"`
	Busy         int   `json:"busy"`
	BusyByOthers int   `json:"busy_by_others"`
	RunTimeMS    int64 `json:"run_time_ms"`
}

// TaskView says where a task would go.
type TaskView struct {
	Index int `json:"index"`
	// Worker is the chosen one, empty if the task would wait. Rule says why.
	Worker string `json:"worker,omitempty"`
	Rule   string `json:"rule"`
	// Candidates and Excluded are empty for a task for which no worker has been looked for.
	Candidates []placement.Candidate `json:"candidates,omitempty"`
	Excluded   map[string]int        `json:"excluded,omitempty"`
}

// ClassName returns the name of a class.
func ClassName(c wire.Class) string {
	if c == wire.ClassLong {
		return "long"
	}
	return "short"
}

func (s *Server) explain(c echo.Context) error {
	if !s.explainLimiter.Allow() {
		c.Response().Header().Set(echo.HeaderRetryAfter, "1")
		return echo.NewHTTPError(http.StatusTooManyRequests, "at most one explanation a second is given")
	}
	sub, v, err := s.parseSubmission(c)
	if status, ok := intake.Status(c.Response(), err); ok {
		return echo.NewHTTPError(status, v.Message)
	}
	if v == nil {
		v = sub.Validate()
	}
	if v != nil {
		return echo.NewHTTPError(http.StatusBadRequest, v.Message)
	}
	explanation := s.options.Service.Explain(c.Request().Context(), sub)
	if explanation == nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the entry stops")
	}
	return c.JSON(http.StatusOK, explanation)
}
