package slope

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// processUsage is a reading of the resource use of a process.
type processUsage struct {
	at  time.Time
	cpu time.Duration
	// rss is the resident memory in bytes.
	rss int64
}

func readUsage(pid int) (processUsage, error) {
	u := processUsage{at: time.Now()}
	var err error
	if u.cpu, err = readCPU(pid); err != nil {
		return u, err
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, errors.Wrap(err, "read resident memory")
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			u.rss = kb << 10
		}
	}
	return u, nil
}

// readCPU returns the sum of the run times of all threads, which schedstat has in
// nanoseconds. /proc/PID/stat counts clock ticks instead: for an agent that wakes
// up a few hundred times a second, it showed twice the CPU time that a profile
// showed. Threads that end between two readings are missed, but the Go runtime
// rarely ends threads.
func readCPU(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, errors.Errorf("process %d has no schedstat", pid)
	}
	var sum time.Duration
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		ns, _ := strconv.ParseInt(strings.Fields(string(b))[0], 10, 64)
		sum += time.Duration(ns)
	}
	return sum, nil
}

// phaseReport is the resource use of a process over a period of time.
type phaseReport struct {
	Seconds float64 `json:"seconds"`
	// CPUPercent is the processor time in percent of one core.
	CPUPercent float64 `json:"cpu_percent"`
	RSSMB      float64 `json:"rss_mb"`
	// ReceivedBytesPerS and SentBytesPerS are the UDP payload bytes that the
	// measured process receives and sends, as counted by its simulated peers.
	ReceivedBytesPerS float64 `json:"received_bytes_per_s"`
	SentBytesPerS     float64 `json:"sent_bytes_per_s"`
	// Tasks is the number of completed tasks.
	Tasks int64 `json:"tasks,omitempty"`
	// Failed is the number of failed tasks of an agent or failed jobs of an entry.
	Failed       int64   `json:"failed,omitempty"`
	CPUPerTaskUS float64 `json:"cpu_us_per_task,omitempty"`
}

// traffic is the number of bytes that the simulated peers have sent and received.
type traffic struct{ sent, received uint64 }

// measure runs f and returns the resources that the process used in the meantime.
func measure(pid int, readTraffic func() traffic, f func()) (phaseReport, error) {
	before, err := readUsage(pid)
	if err != nil {
		return phaseReport{}, err
	}
	trafficBefore := readTraffic()
	f()
	after, err := readUsage(pid)
	if err != nil {
		return phaseReport{}, err
	}
	trafficAfter, seconds := readTraffic(), after.at.Sub(before.at).Seconds()
	return phaseReport{
		Seconds:           seconds,
		CPUPercent:        100 * (after.cpu - before.cpu).Seconds() / seconds,
		RSSMB:             float64(after.rss) / (1 << 20),
		ReceivedBytesPerS: float64(trafficAfter.sent-trafficBefore.sent) / seconds,
		SentBytesPerS:     float64(trafficAfter.received-trafficBefore.received) / seconds,
	}, nil
}

func (p *phaseReport) setTasks(tasks, failed int64) {
	p.Tasks, p.Failed = tasks, failed
	if tasks > 0 {
		p.CPUPerTaskUS = p.CPUPercent / 100 * p.Seconds * 1e6 / float64(tasks)
	}
}
