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

// usage is what a process has used so far.
type usage struct {
	at  time.Time
	cpu time.Duration
	// rss is the resident memory, in bytes.
	rss int64
}

func readUsage(pid int) (usage, error) {
	u := usage{at: time.Now()}
	var err error
	if u.cpu, err = readCPU(pid); err != nil {
		return u, err
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, errors.Wrap(err, "read memory")
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			u.rss = kb << 10
		}
	}
	return u, nil
}

// readCPU sums the run times of all threads, in nanoseconds. /proc/PID/stat
// counts clock ticks instead, which showed twice the time of a profile for an
// agent that wakes up a few hundred times a second. Threads that end between two
// readings are missing; the Go runtime rarely ends threads.
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

// phase is the cost of a process over a stretch of time.
type phase struct {
	Seconds float64 `json:"seconds"`
	// CPUPercent is the processor time, in percent of one core.
	CPUPercent float64 `json:"cpu_percent"`
	RSSMB      float64 `json:"rss_mb"`
	// SentBytesPerS and ReceivedBytesPerS are UDP payload bytes as the other
	// side counts them: received by the process, and sent by it.
	ReceivedBytesPerS float64 `json:"received_bytes_per_s"`
	SentBytesPerS     float64 `json:"sent_bytes_per_s"`
	Tasks             int64   `json:"tasks,omitempty"`
	Failed            int64   `json:"failed,omitempty"`
	CPUPerTaskUS      float64 `json:"cpu_us_per_task,omitempty"`
}

// traffic counts bytes from the side of this package.
type traffic struct{ sent, received uint64 }

// measure runs f and returns what the process used meanwhile.
func measure(pid int, count func() traffic, f func()) (phase, error) {
	before, err := readUsage(pid)
	if err != nil {
		return phase{}, err
	}
	t0 := count()
	f()
	after, err := readUsage(pid)
	if err != nil {
		return phase{}, err
	}
	t1, s := count(), after.at.Sub(before.at).Seconds()
	return phase{
		Seconds:           s,
		CPUPercent:        100 * (after.cpu - before.cpu).Seconds() / s,
		RSSMB:             float64(after.rss) / (1 << 20),
		ReceivedBytesPerS: float64(t1.sent-t0.sent) / s,
		SentBytesPerS:     float64(t1.received-t0.received) / s,
	}, nil
}

func (p *phase) perTask(tasks, failed int64) {
	p.Tasks, p.Failed = tasks, failed
	if tasks > 0 {
		p.CPUPerTaskUS = p.CPUPercent / 100 * p.Seconds * 1e6 / float64(tasks)
	}
}
