package telemetry

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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

// Guards against losing the trace context between two processes, and against
// accepting a malformed traceparent.
func TestTraceparentCrossesProcesses(t *testing.T) {
	const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	ctx := WithTraceparent(context.Background(), parent)
	qt.Assert(t, Traceparent(ctx), qt.Equals, parent)
	qt.Assert(t, TraceID(ctx), qt.Equals, "4bf92f3577b34da6a3ce929d0e0e4736")
	qt.Assert(t, Traceparent(WithTraceparent(context.Background(), "x")), qt.Equals, "")
}

// Guards against log lines that do not carry their fields as JSON.
func TestLogIsStructured(t *testing.T) {
	var b bytes.Buffer
	NewLogger("entry", settings.Logging{Level: "info", Format: "json"}, &b).WithField("trace_id", "ab").Info("ready")
	qt.Assert(t, b.String(), qt.Contains, `"trace_id":"ab"`)
}
