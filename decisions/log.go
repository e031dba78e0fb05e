// Package decisions writes structured log lines: one for each decision about a
// job and for each change of what a process knows about its peers.
//
// Input: lines. Output: JSON lines through logrus. State: a bounded queue and
// the number of lines that were dropped because it was full. Add never blocks,
// so a slow consumer of the output can't delay jobs.
package decisions

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueSize bounds the lines that wait to be written. It holds what an entry
	// that takes 100 jobs per second logs in two seconds.
	queueSize = 2048
	// maxValueBytes bounds a text in a line, in bytes. Texts that quote what a client has sent
	// would otherwise take a thousand times the memory of an ordinary line while they wait.
	maxValueBytes = 8 << 10
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = time.Second
	// flushTimeout bounds how long Run continues to write after its context ended.
	flushTimeout = 200 * time.Millisecond
)

// Line is one log line.
type Line struct {
	Level   logrus.Level
	Message string
	// Fields alternates names and values: the input of the decision, its age or
	// version, and the outcome.
	Fields []any
}

// Info returns a line at level info.
func Info(message string, fields ...any) Line {
	return Line{Level: logrus.InfoLevel, Message: message, Fields: fields}
}

// Warn returns a line at level warning, used for a lost dependency or invalid
// input.
func Warn(message string, fields ...any) Line {
	return Line{Level: logrus.WarnLevel, Message: message, Fields: fields}
}

type timestampedLine struct {
	Line
	at time.Time
}

// Log queues lines and writes them in Run. Add is safe for concurrent use.
type Log struct {
	out     *logrus.Entry
	queue   chan timestampedLine
	dropped atomic.Int64
	// now is the clock by which Run flushes.
	now func() time.Time
}

// New returns a log that writes to out while Run is active.
func New(out *logrus.Entry) *Log {
	return &Log{out: out, queue: make(chan timestampedLine, queueSize), now: time.Now}
}

// Add queues lines without blocking. Lines that don't fit in the queue are
// dropped and counted.
func (l *Log) Add(lines ...Line) {
	now := time.Now()
	for _, line := range lines {
		for i, field := range line.Fields {
			if text, ok := field.(string); ok && len(text) > maxValueBytes {
				line.Fields[i] = text[:maxValueBytes] + "..."
			}
		}
		select {
		case l.queue <- timestampedLine{line, now}:
		default:
			l.dropped.Add(1)
		}
	}
}

// Waiting returns the number of lines that wait to be written.
func (l *Log) Waiting() int { return len(l.queue) }

// Dropped returns the number of lines dropped since the last report.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Run writes lines until ctx ends, and then the lines still in the queue, for
// at most flushTimeout. Lines that are left then count as dropped.
func (l *Log) Run(ctx context.Context) {
	report := time.NewTicker(dropReportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		case <-report.C:
			l.reportDropped()
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	defer l.reportDropped()
	for end := l.now().Add(flushTimeout); l.now().Before(end); {
		select {
		case line := <-l.queue:
			l.write(line)
		default:
			return
		}
	}
	l.dropped.Add(int64(len(l.queue)))
}

func (l *Log) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.out.WithField("lines", n).Warn("log lines dropped: the output is too slow")
	}
}

func (l *Log) write(line timestampedLine) { line.Write(l.out.WithTime(line.at)) }

// Write writes the line to out at once.
func (l Line) Write(out *logrus.Entry) {
	fields := make(logrus.Fields, len(l.Fields)/2)
	for i := 0; i+1 < len(l.Fields); i += 2 {
		if name, ok := l.Fields[i].(string); ok {
			fields[name] = l.Fields[i+1]
		}
	}
	out.WithFields(fields).Log(l.Level, l.Message)
}
