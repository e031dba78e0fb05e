package model

import (
	"slices"
	"time"
)

// Scenario describes a deployment, its load and its faults. It is read by package
// settings from JSON with comments.
type Scenario struct {
	Name string `json:"name" kind:"name"`
	// DurationMS is how long callers submit jobs. The run continues until all jobs are
	// answered.
	DurationMS int           `json:"duration_ms" min:"1000" max:"3600000"`
	Network    Network       `json:"network"`
	Costs      Costs         `json:"costs"`
	Entries    []EntryGroup  `json:"entries"`
	Workers    []WorkerGroup `json:"workers"`
	Kinds      []JobKind     `json:"kinds"`
	Callers    []CallerGroup `json:"callers"`
	Retries    Retries       `json:"retries"`
	// Interference lists kinds whose tasks slow each other down.
	Interference []Interference `json:"interference" optional:"true"`
	Events       []Event        `json:"events" optional:"true"`
}

// Network holds the one-way latencies between hosts, in microseconds.
type Network struct {
	InZoneUS    int `json:"in_zone_us" default:"200" min:"0" max:"1000000"`
	CrossZoneUS int `json:"cross_zone_us" default:"500" min:"0" max:"1000000"`
	ClientUS    int `json:"client_us" default:"1000" min:"0" max:"1000000"`
	// DiscoveryMS is how long after its start an entry or an agent is known to the
	// others.
	DiscoveryMS int `json:"discovery_ms" default:"30" min:"0" max:"60000"`
	// RotationMS is how long the load balancer takes to notice that an entry accepts
	// connections no more.
	RotationMS int `json:"rotation_ms" default:"2000" min:"0" max:"60000"`
}

// Costs is the processor time of the processes on a whole core, in microseconds.
type Costs struct {
	// EntryJobUS is for reading, answering and logging one job at an entry.
	EntryJobUS int `json:"entry_job_us" default:"170" min:"0" max:"100000"`
	// EntryMessageUS is for sending or receiving one message at an entry.
	EntryMessageUS int `json:"entry_message_us" default:"16" min:"0" max:"100000"`
	// AgentMessageUS is for sending or receiving one message at an agent, AgentCallUS
	// for one call to the worker.
	AgentMessageUS int `json:"agent_message_us" default:"16" min:"0" max:"100000"`
	AgentCallUS    int `json:"agent_call_us" default:"60" min:"0" max:"100000"`
	// TickUS is for one tick of an event loop.
	TickUS int `json:"tick_us" default:"4" min:"0" max:"100000"`
}

// EntryGroup describes entries of one availability zone on equal hosts.
type EntryGroup struct {
	Zone  string  `json:"zone" kind:"name"`
	Count int     `json:"count" min:"1" max:"2000"`
	Cores float64 `json:"cores" default:"1" min:"0.01" max:"1024"`
	// LinkMbps is the bandwidth of the host in each direction.
	LinkMbps float64 `json:"link_mbps" default:"1000" min:"0.1" max:"400000"`
	// Weight is the relative number of callers that connect to each of these entries.
	Weight float64 `json:"weight" default:"1" min:"0.001" max:"1000"`
}

// WorkerGroup describes workers of one availability zone, each with its agent.
type WorkerGroup struct {
	Zone  string `json:"zone" kind:"name"`
	Count int    `json:"count" min:"1" max:"5000"`
	// Speeds and Cores are dealt out to the workers in turn.
	Speeds   []float64 `json:"speeds" min:"0.01" max:"100"`
	Cores    []float64 `json:"cores" min:"0.1" max:"4096"`
	MemoryMB int       `json:"memory_mb" default:"65536" min:"1" max:"100000000"`
	// AgentCores is the processor share of an agent.
	AgentCores float64 `json:"agent_cores" default:"0.24" min:"0.01" max:"1024"`
}

// JobKind describes the jobs of one queue.
type JobKind struct {
	Name string `json:"name" kind:"name"`
	// Share is the relative number of jobs of this kind, Worth the relative worth of a
	// job that is on time. A late one is worth LateWorth times as much.
	Share     float64 `json:"share" min:"0" max:"1000000"`
	Worth     float64 `json:"worth" default:"1" min:"0" max:"1000000"`
	LateWorth float64 `json:"late_worth" default:"0.2" min:"0" max:"1"`
	Priority  int     `json:"priority" default:"1" min:"0" max:"100"`
	// The run time of a task on a worker of speed 1 is log-normal with mean WorkMS and
	// the standard deviation WorkSpread of its logarithm, at most MaxWorkMS. A share
	// StragglerShare of the jobs runs StragglerFactor times as long.
	WorkMS          float64 `json:"work_ms" min:"0.1" max:"3600000"`
	WorkSpread      float64 `json:"work_spread" default:"0.4" min:"0" max:"3"`
	MaxWorkMS       float64 `json:"max_work_ms" min:"0.1" max:"36000000"`
	StragglerShare  float64 `json:"straggler_share" default:"0" min:"0" max:"1"`
	StragglerFactor float64 `json:"straggler_factor" default:"1" min:"1" max:"1000"`
	// TaskSpread is the same for the tasks of one job, around the mean of the job.
	TaskSpread float64 `json:"task_spread" default:"0.15" min:"0" max:"3"`
	// EstimateError is the largest relative error of the declared run time.
	EstimateError float64 `json:"estimate_error" default:"0.4" min:"0" max:"0.9"`
	// The number of tasks is log-normal like the run time.
	Tasks       float64 `json:"tasks" default:"1" min:"1" max:"170"`
	TasksSpread float64 `json:"tasks_spread" default:"0.4" min:"0" max:"3"`
	MaxTasks    int     `json:"max_tasks" default:"170" min:"1" max:"170"`
	// Cores and MemoryMB are the need of a task. Cores is log-normal like the run time.
	Cores       float64 `json:"cores" default:"1" min:"0.001" max:"1024"`
	CoresSpread float64 `json:"cores_spread" default:"0" min:"0" max:"3"`
	MemoryMB    int     `json:"memory_mb" default:"64" min:"0" max:"1000000"`
	SpecBytes   int     `json:"spec_bytes" default:"1200" min:"0" max:"1000000"`
	// A job is on time within LatencyFactor times the run time of its longest task plus
	// AllowanceMS; entries only know the declared run time. Its caller leaves after
	// DeadlineFactor times that run time plus DeadlineMS.
	LatencyFactor  float64 `json:"latency_factor" default:"1.6" min:"1" max:"100"`
	AllowanceMS    int     `json:"allowance_ms" default:"60" min:"0" max:"3600000"`
	DeadlineFactor float64 `json:"deadline_factor" default:"5" min:"0" max:"100"`
	DeadlineMS     int     `json:"deadline_ms" default:"1500" min:"1" max:"3600000"`
	MaxAttempts    int     `json:"max_attempts" default:"3" min:"1" max:"100"`
	// FailureShare is the share of tasks that fail once.
	FailureShare float64 `json:"failure_share" default:"0" min:"0" max:"1"`
}

// Interference says that tasks of a kind take Factor times as long while a task of the
// neighbor kind runs on the same worker.
type Interference struct {
	Kind     string  `json:"kind" kind:"name"`
	Neighbor string  `json:"neighbor" kind:"name"`
	Factor   float64 `json:"factor" min:"1" max:"100"`
}

// CallerGroup describes the callers of one availability zone. Their rate is a sine wave
// around JobsPerS.
type CallerGroup struct {
	Zone     string  `json:"zone" kind:"name"`
	JobsPerS float64 `json:"jobs_per_s" min:"0" max:"1000000"`
	Swing    float64 `json:"swing" default:"0" min:"0" max:"1"`
	PeriodMS int     `json:"period_ms" default:"15000" min:"1" max:"3600000"`
	Phase    float64 `json:"phase" default:"0" min:"0" max:"1"`
}

// Retries says what callers do when they have no answer.
type Retries struct {
	// ResendMS is how long after a broken connection, or a failed attempt to connect, a
	// caller submits its job again.
	ResendMS int `json:"resend_ms" default:"1300" min:"1" max:"3600000"`
	// ReturnShare is the share of refused callers that come back after Retry-After.
	ReturnShare float64 `json:"return_share" default:"0" min:"0" max:"1"`
}

// Kinds of events.
const (
	surge          = "surge"
	hotEntry       = "hot_entry"
	longJobs       = "long_jobs"
	failingJobs    = "failing_jobs"
	cancelWave     = "cancel_wave"
	workerCrash    = "worker_crash"
	workerSilent   = "worker_silent"
	workerSlow     = "worker_slow"
	workerFailing  = "worker_failing"
	workerHang     = "worker_hang"
	workerLeave    = "worker_leave"
	workerJoin     = "worker_join"
	callsLost      = "calls_lost"
	entryKill      = "entry_kill"
	entrySlow      = "entry_slow"
	entryCut       = "entry_cut"
	agentKill      = "agent_kill"
	agentCut       = "agent_cut"
	powerOff       = "power_off"
	rollingEntries = "rolling_entries"
	rollingAgents  = "rolling_agents"
)

// Event is a change of the load or a fault.
type Event struct {
	AtMS int `json:"at_ms" min:"0" max:"3600000"`
	// Kind is one of
	//   - surge: the rate of jobs is Factor times as high; of one kind of job or zone
	//   - hot_entry: a share of the jobs goes to one entry
	//   - long_jobs: a share of the jobs runs Factor times as long as declared
	//   - failing_jobs: the tasks of a share of the jobs fail on every worker
	//   - cancel_wave: a share of the callers leaves within NoticeMS
	//   - worker_crash: workers end; others start in their place after ForMS, or never if it is 0
	//   - worker_silent: as worker_crash, but nothing tells of it
	//   - worker_slow: tasks take Factor times as long
	//   - worker_failing: a share FailureShare of the tasks fails
	//   - worker_hang: tasks make no progress
	//   - worker_leave: workers announce that they leave, end after NoticeMS and are replaced after ForMS, or never if it is 0
	//   - worker_join: Count workers are added
	//   - calls_lost: a share FailureShare of the calls to workers gets no answer; starts are carried out
	//   - entry_kill, agent_kill: processes end and start again after ForMS
	//   - entry_slow: entries have 1/Factor of their processor share
	//   - entry_cut, agent_cut: entries are cut off from all agents, or agents from all entries; callers still reach them
	//   - power_off: hosts lose power, with entries, agents and workers, for ForMS
	//   - rolling_entries, rolling_agents: processes are ended gracefully and start again, Count at a time, every GapMS
	Kind string `json:"kind" enum:"surge,hot_entry,long_jobs,failing_jobs,cancel_wave,worker_crash,worker_silent,worker_slow,worker_failing,worker_hang,worker_leave,worker_join,calls_lost,entry_kill,entry_slow,entry_cut,agent_kill,agent_cut,power_off,rolling_entries,rolling_agents"`
	// Share of the things that fit, or Count of them.
	Share        float64 `json:"share" default:"0" min:"0" max:"1"`
	Count        int     `json:"count" default:"0" min:"0" max:"5000"`
	Factor       float64 `json:"factor" default:"1" min:"0" max:"1000"`
	FailureShare float64 `json:"failure_share" default:"1" min:"0" max:"1"`
	ForMS        int     `json:"for_ms" default:"0" min:"0" max:"3600000"`
	GapMS        int     `json:"gap_ms" default:"1000" min:"1" max:"3600000"`
	NoticeMS     int     `json:"notice_ms" default:"2000" min:"0" max:"3600000"`
	Zone         string  `json:"zone" kind:"name" optional:"true"`
	JobKind      string  `json:"job_kind" kind:"name" optional:"true"`
}

// Check implements settings.Checker: zones and kinds that are named must exist, and
// events need what they act on.
func (s *Scenario) Check(fault func(field, format string, args ...any)) {
	zones := s.zones()
	for i, c := range s.Callers {
		if !slices.Contains(zones, c.Zone) {
			fault(path("callers", i, "zone"), "no entry or worker is in the zone %q", c.Zone)
		}
	}
	total := 0.0
	for i, k := range s.Kinds {
		total += k.Share
		if k.MaxWorkMS < k.WorkMS {
			fault(path("kinds", i, "max_work_ms"), "%v is below the mean, %v", k.MaxWorkMS, k.WorkMS)
		}
		if slices.ContainsFunc(s.Kinds[:i], func(o JobKind) bool { return o.Name == k.Name }) {
			fault(path("kinds", i, "name"), "two kinds have the name %q", k.Name)
		}
	}
	if total <= 0 {
		fault("kinds", "no kind has a share")
	}
	for i, e := range s.Events {
		if e.Zone != "" && !slices.Contains(zones, e.Zone) {
			fault(path("events", i, "zone"), "no entry or worker is in the zone %q", e.Zone)
		}
		if e.JobKind != "" && !slices.ContainsFunc(s.Kinds, func(k JobKind) bool { return k.Name == e.JobKind }) {
			fault(path("events", i, "job_kind"), "there is no kind %q", e.JobKind)
		}
		e.check(func(field, format string, args ...any) { fault(path("events", i, field), format, args...) })
	}
}

// check names the fields that an event needs and doesn't have.
func (ev *Event) check(fault func(field, format string, args ...any)) {
	switch ev.Kind {
	case surge, workerSlow, entrySlow, longJobs:
		if ev.Factor <= 0 {
			fault("factor", "must be above 0")
		}
	}
	switch ev.Kind {
	case surge, hotEntry, longJobs, failingJobs, cancelWave, workerSlow, workerFailing, workerHang, callsLost, entrySlow, entryCut, agentCut, powerOff:
		if ev.ForMS == 0 {
			fault("for_ms", "%s needs a duration", ev.Kind)
		}
	}
	if ev.Kind != surge && ev.Share == 0 && ev.Count == 0 {
		fault("share", "%s needs a share or a count", ev.Kind)
	}
}

func (s *Scenario) zones() []string {
	var zones []string
	add := func(zone string) {
		if !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	for _, g := range s.Entries {
		add(g.Zone)
	}
	for _, g := range s.Workers {
		add(g.Zone)
	}
	return zones
}

// Resize changes the scenario to the given numbers of entries and workers; 0 leaves a
// number as it is. Groups keep their proportions, each with at least one member. The
// rate of jobs follows the number of workers.
func (s *Scenario) Resize(entries, workers int) {
	count := func(n int) float64 { return float64(n) }
	if entries > 0 {
		total := 0
		for _, g := range s.Entries {
			total += g.Count
		}
		for i := range s.Entries {
			s.Entries[i].Count = max(1, int(count(s.Entries[i].Count)*count(entries)/count(total)+0.5))
		}
	}
	if workers > 0 {
		before, after := 0, 0
		for _, g := range s.Workers {
			before += g.Count
		}
		for i := range s.Workers {
			s.Workers[i].Count = max(1, int(count(s.Workers[i].Count)*count(workers)/count(before)+0.5))
			after += s.Workers[i].Count
		}
		for i := range s.Callers {
			s.Callers[i].JobsPerS *= count(after) / count(before)
		}
	}
}

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

func microseconds(us int) time.Duration { return time.Duration(us) * time.Microsecond }
