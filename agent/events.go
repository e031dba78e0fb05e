package agent

import (
	"context"
	"time"

	"github.com/sesamelift/sesamelift/backend"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/wire"
)

// event is an input of the core loop.
type event interface{}

type (
	// helloRequest asks for the current Hello; the reply channel has room.
	helloRequest struct{ reply chan *wire.Hello }
	linkUp       struct{ link *link }
	linkDown     struct{ link *link }
	received     struct {
		link    *link
		message wire.Message
	}
	// fenceRequest asks to adopt the roster of a Fence. The reply is nil if the
	// incarnation is still a member.
	fenceRequest struct {
		message *wire.Fence
		reply   chan wire.Message
	}
	ended struct {
		task   *task
		result backend.Result
	}
	rosterRead struct{ roster *ownership.Roster }
	// replaced says that another incarnation has registered for this worker.
	replaced struct{}
	// drainRequest starts a drain; drained is closed at its end.
	drainRequest struct{ drained chan struct{} }
	// stopTasks cancels what runs and refuses what is held.
	stopTasks struct{}
	// flushRequest asks for the open connections.
	flushRequest struct{ done chan []*link }
)

// taskID identifies a task of a job.
type taskID struct {
	key  wire.Key
	task uint16
}

// task is a start that is held or runs.
type task struct {
	start    *wire.Start
	arrived  time.Time
	launched time.Time
	deadline time.Time
	// ctx and cancel are set when the task runs.
	ctx    context.Context
	cancel context.CancelFunc
	// watchers get the result besides the owner.
	watchers []*link
}

func (t *task) id() taskID { return taskID{t.start.Key, t.start.Task} }

func (t *task) watch(l *link) {
	for _, w := range t.watchers {
		if w == l {
			return
		}
	}
	t.watchers = append(t.watchers, l)
}
