package standin

import (
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/api"
)

// Request headers that identify a task.
const (
	HeaderKey  = "Sesamelift-Key"
	HeaderTask = "Sesamelift-Task"
)

// TaskBody holds the fields of a task's body that Backend uses. Other fields are
// ignored; the result echoes the whole body.
type TaskBody struct {
	// WorkMS is the run time at speed 1, in milliseconds.
	WorkMS float64 `json:"work_ms"`
	// Fail makes the task fail at the end of its run time.
	Fail bool `json:"fail"`
	// ResultBytes is the amount of padding in the result, in bytes.
	ResultBytes int `json:"result_bytes"`
}

// TaskResult is the result of a task.
type TaskResult struct {
	Service string          `json:"service"`
	Type    string          `json:"type"`
	Worker  string          `json:"worker"`
	Echo    json.RawMessage `json:"echo"`
	Padding string          `json:"padding,omitempty"`
}

// BackendStatus is the reply to GET /executions.
type BackendStatus struct {
	Total    int      `json:"total"`
	Repeated []TaskID `json:"repeated"`
	Running  int      `json:"running"`
	Peak     int      `json:"peak"`
}

func (b *Backend) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tasks/{service}/{type}", b.serveTask)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if b.Faults().Unhealthy {
			writeJSON(w, http.StatusServiceUnavailable, errorReply{Error: "stand-in is set to be unhealthy"})
			return
		}
		writeJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) {
		current, peak := b.Running()
		writeJSON(w, http.StatusOK, BackendStatus{Total: b.runs.Total(), Repeated: b.runs.Repeated(), Running: current, Peak: peak})
	})
	faultRoutes(mux, b.Faults, b.SetFaults)
	return mux
}

func (b *Backend) serveTask(w http.ResponseWriter, r *http.Request) {
	id, err := parseTaskID(r.Header)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorReply{Error: err.Error()})
		return
	}
	body, ok := readBody(w, r, api.MaxTaskBytes)
	if !ok {
		return
	}
	var task TaskBody
	if err := json.Unmarshal(body, &task); err != nil {
		writeJSON(w, http.StatusBadRequest, errorReply{Error: "task body: " + err.Error()})
		return
	}
	f := b.begin(id)
	defer b.end(f)
	if f.FailAll || f.Hang {
		b.failOrHang(w, r, f)
		return
	}
	if !b.work(b.duration(id, task, f)) || f.DropAfterWork {
		abort()
	}
	if task.Fail {
		writeJSON(w, http.StatusInternalServerError, errorReply{Error: "the task asked to fail"})
		return
	}
	writeJSON(w, http.StatusOK, TaskResult{
		Service: r.PathValue("service"), Type: r.PathValue("type"), Worker: b.options.Name,
		Echo: body, Padding: strings.Repeat("x", max(0, task.ResultBytes)+f.ResultBytes),
	})
}

// begin records a run and returns the faults that apply to it.
func (b *Backend) begin(id TaskID) BackendFaults {
	b.runs.add(id)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running++
	b.peak = max(b.peak, b.running)
	if b.faults.Hang && !b.faults.FailAll {
		b.hung++
	}
	return b.faults
}

func (b *Backend) end(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if f.Hang && !f.FailAll {
		b.hung--
	}
	b.idleSince = time.Now()
}

func (b *Backend) failOrHang(w http.ResponseWriter, r *http.Request, f BackendFaults) {
	if f.FailAll {
		writeJSON(w, http.StatusInternalServerError, errorReply{Error: "stand-in is set to fail all tasks"})
		return
	}
	select {
	case <-r.Context().Done():
	case <-b.killed:
	}
	abort()
}

// work waits for d, even if the agent has disconnected. It returns false if the
// server was killed.
func (b *Backend) work(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-b.killed:
		return false
	}
}

func (b *Backend) duration(id TaskID, task TaskBody, f BackendFaults) time.Duration {
	ms := max(0, task.WorkMS) / b.options.Speed
	if f.SlowFactor > 0 {
		ms *= f.SlowFactor
	}
	if f.StragglerShare > 0 && id.hashFraction(f.Seed) < f.StragglerShare {
		factor := f.StragglerFactor
		if factor == 0 {
			factor = defaultStragglerFactor
		}
		ms *= factor
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// hashFraction maps a task to a number in [0, 1) that depends only on the job
// key, the task number and seed.
func (id TaskID) hashFraction(seed uint64) float64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, seed))
	_, _ = h.Write(id.Key[:])
	_, _ = h.Write(binary.BigEndian.AppendUint16(nil, id.Task))
	// FNV's high bits differ little between short inputs that differ only at
	// their end; the multiplication spreads the low bits into the high ones.
	return float64(h.Sum64()*0x9e3779b97f4a7c15>>11) / (1 << 53)
}

func parseTaskID(h http.Header) (TaskID, error) {
	key, err := uuid.Parse(h.Get(HeaderKey))
	if err != nil {
		return TaskID{}, errors.Wrapf(err, "header %s", HeaderKey)
	}
	task, err := strconv.ParseUint(h.Get(HeaderTask), 10, 16)
	return TaskID{Key: api.Key(key), Task: uint16(task)}, errors.Wrapf(err, "header %s", HeaderTask)
}
