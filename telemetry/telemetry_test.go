package telemetry

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/settings"
)

// Guards against metrics that are recorded but not served.
func TestMetricsAreServed(t *testing.T) {
	scope, h, closer := NewMetrics("test")
	scope.Counter("jobs_total").Inc(3)
	time.Sleep(reportInterval + 200*time.Millisecond)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	qt.Assert(t, closer.Close(), qt.IsNil)
	qt.Assert(t, strings.Contains(w.Body.String(), "test_jobs_total 3"), qt.IsTrue, qt.Commentf("%s", w.Body))
}

// Guards against log lines that do not carry their fields as JSON.
func TestLogIsStructured(t *testing.T) {
	var b bytes.Buffer
	NewLogger("entry", settings.Logging{Level: "info", Format: "json"}, &b).WithField("trace_id", "ab").Info("ready")
	qt.Assert(t, b.String(), qt.Contains, `"trace_id":"ab"`)
}

// blockedWriter is an output whose reader has stopped reading until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

func (b *blockedWriter) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.String()
}

// Guards against a process that stands still, grows or does not end because what collects its
// log has stopped reading, and against lines that are lost without being counted.
func TestQueuedLoggerNeverBlocks(t *testing.T) {
	for _, size := range []int{1, 10_000} {
		out := &blockedWriter{unblock: make(chan struct{})}
		scope := tally.NewTestScope("", nil)
		log, stop := NewQueuedLogger("entry", settings.Logging{Level: "info", Format: "json"}, out, scope.Counter("dropped"))
		const lines = 2 * queuedLines
		text := strings.Repeat("x", size)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range lines {
				log.Info(text)
			}
		}()
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			t.Fatal("the log blocks")
		}
		began := time.Now()
		stop()
		qt.Check(t, time.Since(began) < 10*time.Second, qt.IsTrue)
		dropped := scope.Snapshot().Counters()["dropped+"].Value()
		qt.Check(t, dropped > 0, qt.IsTrue)
		close(out.unblock)
		stop()
		written := out.String()
		qt.Check(t, int64(strings.Count(written, `"level":"info"`)), qt.Equals, lines-dropped)
		qt.Check(t, len(written) < queuedBytes+2*(size+200), qt.IsTrue, qt.Commentf("%d bytes", len(written)))
		qt.Check(t, strings.Contains(written, fmt.Sprintf(`"lines":%d,`, dropped)), qt.IsTrue, qt.Commentf("%d lines dropped", dropped))
	}
}

// Guards against a report of dropped lines that comes only when the process ends.
func TestDroppedLinesAreReported(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	log, stop := NewQueuedLogger("entry", settings.Logging{Level: "info", Format: "json"}, out, tally.NoopScope.Counter("dropped"))
	defer stop()
	for range 2 * queuedLines {
		log.Info("x")
	}
	close(out.unblock)
	for end := time.Now().Add(10 * time.Second); !strings.Contains(out.String(), "log lines dropped: the output is too slow"); time.Sleep(10 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
}
