package decisions

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

func newTestLog() (*Log, *bytes.Buffer) {
	var b bytes.Buffer
	l := logrus.New()
	l.SetOutput(&b)
	l.SetFormatter(&logrus.JSONFormatter{})
	return New(logrus.NewEntry(l)), &b
}

// stoppedClock returns a clock that stands still.
func stoppedClock() func() time.Time {
	now := time.Now()
	return func() time.Time { return now }
}

// Guards against a log that delays jobs when its output blocks, and against
// lines that are dropped without being counted. The clock of the flush stands
// still, so that the pace of the machine decides nothing.
func TestFullQueueDropsAndCounts(t *testing.T) {
	l, b := newTestLog()
	l.now = stoppedClock()
	begin := time.Now()
	for range queueSize + 7 {
		l.Add(Info("x"))
	}
	qt.Assert(t, time.Since(begin) < time.Second, qt.IsTrue)
	qt.Assert(t, l.Dropped(), qt.Equals, int64(7))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx)
	qt.Assert(t, strings.Count(b.String(), `"msg":"x"`), qt.Equals, queueSize)
	qt.Assert(t, b.String(), qt.Contains, `"lines":7`)
}

// Guards against a process that does not end because its output is slow, and
// against lines that are left at the end without being counted.
func TestLinesLeftAfterTheFlushAreCounted(t *testing.T) {
	l, b := newTestLog()
	// Each reading of the clock advances it by a tenth of the time for the flush.
	now := time.Now()
	l.now = func() time.Time { now = now.Add(flushTimeout / 10); return now }
	for range 100 {
		l.Add(Info("x"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx)
	// Run writes some lines, by chance, before it notices that its context ended.
	written := strings.Count(b.String(), `"msg":"x"`)
	qt.Assert(t, written < 100, qt.IsTrue)
	qt.Assert(t, b.String(), qt.Contains, fmt.Sprintf(`"lines":%d,`, 100-written))
}

// Guards against lines that are written without their level or their fields.
func TestLinesHoldTheirFields(t *testing.T) {
	l, b := newTestLog()
	l.Add(Warn("store lost", "table", "op", "version", 7))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx)
	qt.Assert(t, b.String(), qt.Contains, `"level":"warning","msg":"store lost"`)
	qt.Assert(t, b.String(), qt.Contains, `"table":"op"`)
	qt.Assert(t, b.String(), qt.Contains, `"version":7`)
}

// Guards against texts of hundreds of kilobytes that clients have sent and that wait in the
// queue two thousand at a time.
func TestLongTextsAreCut(t *testing.T) {
	l, b := newTestLog()
	l.Add(Info("x", "error", strings.Repeat("9", 250_000), "n", 1))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx)
	qt.Assert(t, b.Len() < 2*maxValueBytes, qt.IsTrue)
	qt.Assert(t, b.String(), qt.Contains, `9..."`)
}
