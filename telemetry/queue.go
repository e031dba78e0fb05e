package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/settings"
)

const (
	// queuedLines and queuedBytes bound the lines that wait to be written. Most lines have
	// 200 to 400 bytes; some quote what a client has sent.
	queuedLines = 2048
	queuedBytes = 2 << 20
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = time.Second
	// flushTimeout bounds how long the end of a process waits for lines to be written.
	flushTimeout = 200 * time.Millisecond
)

// NewQueuedLogger returns a logger like that of NewLogger that never waits for out: lines
// are written by a goroutine, and those that don't fit in its queue are dropped, counted in
// dropped, and reported by a line once others can be written. stop writes the lines that are
// left, for at most flushTimeout; lines that are logged later are dropped.
func NewQueuedLogger(program string, s settings.Logging, out io.Writer, dropped tally.Counter) (log *logrus.Entry, stop func()) {
	w := &queuedWriter{out: out, dropped: dropped, lines: make(chan []byte, queuedLines), stopped: make(chan struct{}), done: make(chan struct{})}
	// Reports don't pass through the queue, which may be full.
	go w.run(NewLogger(program, s, out))
	return NewLogger(program, s, w), w.stop
}

// queuedWriter queues what is written to it, one line with each call of Write.
type queuedWriter struct {
	out     io.Writer
	dropped tally.Counter
	lines   chan []byte
	// bytes is the size of the lines that wait, unreported the number of those that were
	// dropped since the last report.
	bytes, unreported atomic.Int64
	stopOnce          sync.Once
	stopped, done     chan struct{}
}

// Write never blocks and never fails: logrus would write an error to standard error, which
// may be the output that is too slow.
func (w *queuedWriter) Write(line []byte) (int, error) {
	n := int64(len(line))
	if w.bytes.Add(n) <= queuedBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.bytes.Add(-n)
	w.unreported.Add(1)
	w.dropped.Inc(1)
	return len(line), nil
}

// run writes lines until the writer is stopped, and then those that are left. reports writes
// to the output at once.
func (w *queuedWriter) run(reports *logrus.Entry) {
	defer close(w.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ticker.C:
			w.report(reports)
		case <-w.stopped:
			for {
				select {
				case line := <-w.lines:
					w.write(line)
				default:
					w.report(reports)
					return
				}
			}
		}
	}
}

func (w *queuedWriter) report(reports *logrus.Entry) {
	if n := w.unreported.Swap(0); n > 0 {
		reports.WithField("lines", n).Warn("log lines dropped: the output is too slow")
	}
}

func (w *queuedWriter) write(line []byte) {
	// There is nowhere to report a failure of the log.
	_, _ = w.out.Write(line)
	w.bytes.Add(-int64(len(line)))
}

func (w *queuedWriter) stop() {
	w.stopOnce.Do(func() { close(w.stopped) })
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
