package decisions

import (
	"bytes"
	"context"
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

// Guards against a log that delays jobs when its output blocks, and against
// lines that are dropped without being counted.
func TestFullQueueDropsAndCounts(t *testing.T) {
	l, b := newTestLog()
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
