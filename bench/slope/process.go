package slope

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// clockTicks is the unit of /proc/PID/stat on Linux, ticks a second.
	clockTicks = 100
	// statUtime and statStime are the fields of the processor time after the
	// name of the program.
	statUtime = 11
	statStime = 12
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
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, errors.Wrap(err, "read processor time")
	}
	fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	if len(fields) <= statStime {
		return u, errors.Errorf("unexpected content of /proc/%d/stat", pid)
	}
	user, _ := strconv.ParseInt(fields[statUtime], 10, 64)
	system, _ := strconv.ParseInt(fields[statStime], 10, 64)
	u.cpu = time.Duration(user+system) * time.Second / clockTicks
	b, err = os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
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
