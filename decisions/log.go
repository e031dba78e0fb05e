// Package decisions writes one structured log line for each decision that
// touches a job or changes what a process believes.
//
// Input: lines. Output: JSON lines through logrus. State: a bounded ring and the
// number of lines that didn't fit. Add never blocks, so that a slow reader of
// the output delays no job.
package decisions

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// ringLines bounds the lines that wait to be written: two seconds of an
	// entry that takes 100 jobs a second.
	ringLines = 2048
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
	// flushTimeout bounds how long Run goes on writing after its context ended.
	flushTimeout = 200 * time.Millisecond
)

// Line is one decision.
type Line struct {
	Level   logrus.Level
	Message string
	// Fields alternates names and values: what was decided on, its age or
	// version, and the outcome.
	Fields []any
}

// Info returns a line at level info.
func Info(message string, fields ...any) Line {
	return Line{Level: logrus.InfoLevel, Message: message, Fields: fields}
}

// Warn returns a line at level warning: a dependency is lost, or input can't be
// used.
func Warn(message string, fields ...any) Line {
	return Line{Level: logrus.WarnLevel, Message: message, Fields: fields}
}

type stamped struct {
	Line
	at time.Time
}

// Log is the ring and its writer. Add is safe for concurrent use.
type Log struct {
	out     *logrus.Entry
	ring    chan stamped
	dropped atomic.Int64
}

// New returns a log that writes to out while Run runs.
func New(out *logrus.Entry) *Log {
	return &Log{out: out, ring: make(chan stamped, ringLines)}
}

// Add queues lines. Lines that don't fit are counted and dropped.
func (l *Log) Add(lines ...Line) {
	now := time.Now()
	for _, line := range lines {
		select {
		case l.ring <- stamped{line, now}:
		default:
			l.dropped.Add(1)
		}
	}
}

// Dropped returns how many lines were dropped since the last report.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Run writes lines until ctx ends, and then those that are left.
func (l *Log) Run(ctx context.Context) {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case s := <-l.ring:
			l.write(s)
		case <-report.C:
			l.reportDropped()
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	end := time.Now().Add(flushTimeout)
	for time.Now().Before(end) {
		select {
		case s := <-l.ring:
			l.write(s)
		default:
			l.reportDropped()
			return
		}
	}
}

func (l *Log) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.out.WithField("lines", n).Warn("log lines were dropped since the output is too slow")
	}
}

func (l *Log) write(s stamped) {
	fields := make(logrus.Fields, len(s.Fields)/2)
	for i := 0; i+1 < len(s.Fields); i += 2 {
		if name, ok := s.Fields[i].(string); ok {
			fields[name] = s.Fields[i+1]
		}
	}
	l.out.WithTime(s.at).WithFields(fields).Log(s.Level, s.Message)
}
