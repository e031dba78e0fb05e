package ingress

import (
	"context"
	"time"

	"github.com/sesamelift/sesamelift/api"
)

// Service handles the requests that a Server has accepted. All methods are safe
// for concurrent use.
type Service interface {
	// Submit runs a job. If wait is false, it returns once the job is accepted or
	// refused. The end of ctx ends the wait; it does not cancel the job. age is the time
	// since the head of the request arrived, without that in which the entry waited for
	// bytes that the caller had not sent; the deadline is sooner by it.
	Submit(ctx context.Context, key api.Key, s *api.Submission, age time.Duration, wait bool) *api.Answer
	// Get returns the answer of a job of the team. If wait is true, it waits for
	// the verdict.
	Get(ctx context.Context, key api.Key, team string, wait bool) *api.Answer
	// Cancel ends a job of the team that is in progress; the job fails.
	Cancel(ctx context.Context, key api.Key, team string) *api.Answer
	// NotReadyReason returns the reason why the entry takes no new jobs, or an empty
	// string.
	NotReadyReason() string
	// Status describes the entry to the operator.
	Status(ctx context.Context) *Status
	// Workers lists the connected workers.
	Workers(ctx context.Context) []Worker
	// Explain says what would happen to a job that arrived now. It changes nothing, and
	// returns nil if the entry stops.
	Explain(ctx context.Context, s *api.Submission) *Explanation
}

// Status describes an entry to the operator.
type Status struct {
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Version     string `json:"version"`
	// NotReady is the reason when Ready is false.
	Ready               bool          `json:"ready"`
	NotReady            string        `json:"not_ready,omitempty"`
	RosterVersion       uint64        `json:"roster_version"`
	Entries             []string      `json:"entries"`
	ConfigVersion       uint64        `json:"config_version"`
	PlatformReachable   bool          `json:"platform_reachable"`
	PlatformLastReached string        `json:"platform_seen,omitempty"`
	Workers             int           `json:"workers"`
	Jobs                int           `json:"jobs"`
	QueuedTasks         int           `json:"queued_tasks"`
	Queued              []QueuedTasks `json:"queued"`
	// EvacuatedZones lists the zones on whose workers no task is started.
	EvacuatedZones []EvacuatedZone `json:"evacuated_zones,omitempty"`
	// Unresolved lists former entries whose keys are blocked until all agents have
	// answered, with the workers that have not.
	Unresolved []UnresolvedFence `json:"unresolved,omitempty"`
	// Advice holds one sentence for each condition that needs the operator.
	Advice []string `json:"what_to_do"`
}

// QueuedTasks is the number of waiting tasks of a team for a service.
type QueuedTasks struct {
	Service string `json:"service"`
	Team    string `json:"team"`
	Tasks   int    `json:"tasks"`
}

// EvacuatedZone is an evacuated zone with its connected workers and the tasks that
// still run on them.
type EvacuatedZone struct {
	Zone    string `json:"zone"`
	Workers int    `json:"workers"`
	Running int    `json:"running"`
}

// UnresolvedFence is an entry incarnation that has left the roster, with the workers
// whose agents have not yet reported which tasks it started.
type UnresolvedFence struct {
	Incarnation uint64   `json:"incarnation"`
	Workers     []string `json:"workers"`
}

// Worker describes a connected worker to the operator.
type Worker struct {
	Worker         string   `json:"worker"`
	Zone           string   `json:"zone"`
	Incarnation    uint64   `json:"incarnation"`
	Services       []string `json:"services"`
	Slots          int      `json:"slots"`
	Running        int      `json:"running"`
	Held           int      `json:"held"`
	Ejected        bool     `json:"ejected"`
	EjectionReason string   `json:"why,omitempty"`
	Leaving        bool     `json:"leaving"`
	Drained        bool     `json:"drained"`
	Evacuated      bool     `json:"evacuated"`
	ConfigVersion  uint64   `json:"config_version"`
}

// Options configures a Server.
type Options struct {
	Service       Service
	OperatorToken string
	// TeamTokens maps each team to the token of its callers.
	TeamTokens map[string]string
	// RequestsPerSecond bounds the requests of one team.
	RequestsPerSecond int
}

const (
	// Limits of the HTTP server.
	readHeaderTimeout = 5 * time.Second
	// readTimeout is that of package intake for a whole body.
	readTimeout = 2 * time.Minute
	idleTimeout = 2 * time.Minute
	// writeTimeout is longer than the longest deadline of a job, whose answer may
	// be the response.
	writeTimeout   = api.MaxDeadline + time.Minute
	maxHeaderBytes = 16 << 10
)
