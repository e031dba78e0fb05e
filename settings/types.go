package settings

import "time"

// TLSFiles holds the paths of the PEM files of a process.
type TLSFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
}

// Logging configures the structured log.
type Logging struct {
	Level  string `json:"level" default:"info" enum:"debug,info,warning,error"`
	Format string `json:"format" default:"json" enum:"json,text"`
}

// Tracing configures the export of spans.
type Tracing struct {
	Exporter string `json:"exporter" default:"none" enum:"none,stdout,otlp"`
	// Endpoint is the IP address and port of an OTLP receiver over HTTP.
	Endpoint string `json:"endpoint" kind:"address" optional:"true"`
	// SampleOneIn is N when one in N traces is recorded.
	SampleOneIn int `json:"sample_one_in" default:"1" min:"1" max:"1000000"`
}

// Entry holds the settings of sesamelift-entry.
type Entry struct {
	// Name is unique among entries and stays the same across restarts.
	Name string `json:"name" kind:"name"`
	// Zone is the availability zone of the host.
	Zone string `json:"zone" kind:"name"`
	// CallerAddress is where callers and operators connect over HTTP.
	CallerAddress string `json:"caller_address" kind:"address"`
	// PeerAddress is where agents and other entries connect over QUIC.
	PeerAddress string `json:"peer_address" kind:"address"`
	// PlatformAddress is the HTTP address of the platform's services.
	PlatformAddress string   `json:"platform_address" kind:"address"`
	TLS             TLSFiles `json:"tls"`
	// OperatorToken is the bearer token that authenticates operators.
	OperatorToken string `json:"operator_token" kind:"token"`
	// TeamTokens maps each team to the token of its callers.
	TeamTokens map[string]string `json:"team_tokens" kind:"token"`
	// Policy selects the algorithm for the placement of tasks.
	Policy string `json:"policy" default:"estimate" enum:"estimate,random,power-of-two"`
	// MaxQueuedTasks bounds the tasks that wait for a slot.
	MaxQueuedTasks int `json:"max_queued_tasks" default:"20000" min:"1" max:"1000000"`
	// MaxAnswerBytes bounds the memory for answers of finished jobs, in bytes.
	MaxAnswerBytes int `json:"max_answer_bytes" default:"33554432" min:"65536" max:"4294967296"`
	// CallerRequestsPerSecond bounds the requests of one team at this entry.
	CallerRequestsPerSecond int `json:"caller_requests_per_second" default:"5000" min:"1" max:"1000000"`
	// DrainTimeoutMS bounds a graceful shutdown, in milliseconds.
	DrainTimeoutMS int `json:"drain_timeout_ms" default:"60000" min:"0" max:"600000"`
	// Processors bounds the processors in use; 0 means all.
	Processors int     `json:"processors" default:"0" min:"0" max:"1024"`
	Logging    Logging `json:"logging"`
	Tracing    Tracing `json:"tracing"`
}

// Agent holds the settings of sesamelift-agent.
type Agent struct {
	// Name is the name of the worker and stays the same across restarts.
	Name string `json:"name" kind:"name"`
	// Zone is the availability zone of the host.
	Zone string `json:"zone" kind:"name"`
	// Rack is the rack of the host.
	Rack string `json:"rack" kind:"name" optional:"true"`
	// AnnounceAddress is where the backend server announces itself over HTTP.
	// Metrics and health are served there too.
	AnnounceAddress string `json:"announce_address" kind:"address"`
	// PlatformAddress is the HTTP address of the platform's services.
	PlatformAddress string   `json:"platform_address" kind:"address"`
	TLS             TLSFiles `json:"tls"`
	// Slots is the number of tasks that run at once.
	Slots int `json:"slots" default:"8" min:"1" max:"1024"`
	// LongSlots is how many of the slots long tasks may take.
	LongSlots int `json:"long_slots" default:"6" min:"1" max:"1024"`
	// Hold is how many task starts may wait for a slot.
	Hold int `json:"hold" default:"4" min:"0" max:"1024"`
	// Connections bounds the connections to the backend server.
	Connections int `json:"connections" default:"64" min:"1" max:"4096"`
	// EntryFanout bounds the entries that the agent connects to; 0 means all.
	// Other values are not allowed yet: an entry has to fence a former owner at
	// every agent and can reach only agents that are connected to it.
	EntryFanout int `json:"entry_fanout" default:"0" min:"0" max:"0"`
	// HealthIntervalMS is the time between health checks of the backend server,
	// in milliseconds.
	HealthIntervalMS int `json:"health_interval_ms" default:"1000" min:"50" max:"60000"`
	// MaxLedgerRecords bounds the task starts that the ledger keeps.
	MaxLedgerRecords int `json:"max_ledger_records" default:"200000" min:"1000" max:"10000000"`
	// MaxResultBytes bounds the memory for kept results, in bytes.
	MaxResultBytes int `json:"max_result_bytes" default:"33554432" min:"65536" max:"4294967296"`
	// DrainTimeoutMS bounds a graceful shutdown, in milliseconds.
	DrainTimeoutMS int `json:"drain_timeout_ms" default:"60000" min:"0" max:"600000"`
	// Processors bounds the processors in use; 0 means all. A task passes through
	// six goroutines of an agent, and waking a goroutine on another processor costs
	// more time than its work: at 95 tasks/s, an agent used a quarter less CPU time
	// on one processor than on ten.
	Processors int     `json:"processors" default:"1" min:"0" max:"1024"`
	Logging    Logging `json:"logging"`
	Tracing    Tracing `json:"tracing"`
}

// DrainTimeout returns the time limit for a graceful shutdown.
func (e *Entry) DrainTimeout() time.Duration {
	return time.Duration(e.DrainTimeoutMS) * time.Millisecond
}

// DrainTimeout returns the time limit for a graceful shutdown.
func (a *Agent) DrainTimeout() time.Duration {
	return time.Duration(a.DrainTimeoutMS) * time.Millisecond
}

// HealthInterval returns the time between health checks.
func (a *Agent) HealthInterval() time.Duration {
	return time.Duration(a.HealthIntervalMS) * time.Millisecond
}
