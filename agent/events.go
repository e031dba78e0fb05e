package agent

import (
	"context"
	"time"

	"github.com/sesamelift/sesamelift/backend"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/wire"
)

// event is an input of the event loop, one of the types below.
type event interface{}

type (
	// helloRequest asks for the current Hello. The reply channel must be
	// buffered, so that the event loop does not block.
	helloRequest    struct{ reply chan *wire.Hello }
	connOpened      struct{ conn *entryConn }
	connClosed      struct{ conn *entryConn }
	messageReceived struct {
		conn    *entryConn
		message wire.Message
	}
	// fenceRequest asks the event loop to adopt the roster of a Fence and to reply
	// with the FenceAck. The reply is nil if handleFence returns none.
	fenceRequest struct {
		message *wire.Fence
		reply   chan wire.Message
	}
	taskEnded struct {
		task   *task
		result backend.Result
	}
	rosterRead struct{ roster *ownership.Roster }
	// registrationReplaced reports that another incarnation has registered for
	// this worker, or that the worker was retired.
	registrationReplaced struct{}
	// drainRequest starts a drain. The event loop closes drained when it is
	// complete.
	drainRequest struct{ drained chan struct{} }
	// stopTasksRequest cancels the running tasks and refuses the held ones.
	stopTasksRequest struct{}
	// listConnsRequest asks for the open connections to entries.
	listConnsRequest struct{ reply chan []*entryConn }
)

// taskID identifies a task by the key of its job and its number in the job.
type taskID struct {
	key  wire.Key
	task uint16
}

// task is a task that is held or running.
type task struct {
	start    *wire.Start
	arrived  time.Time
	launched time.Time
	deadline time.Time
	// ctx and cancel are set when the task is launched.
	ctx    context.Context
	cancel context.CancelFunc
	// watchers are the connections to which the result is sent in addition to
	// that of the owner.
	watchers []*entryConn
}

func (t *task) id() taskID { return taskID{t.start.Key, t.start.Task} }

func (t *task) addWatcher(ec *entryConn) {
	for _, w := range t.watchers {
		if w == ec {
			return
		}
	}
	t.watchers = append(t.watchers, ec)
}
