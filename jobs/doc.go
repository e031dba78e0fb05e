// Package jobs implements the job table of an entry, which maps each key to a
// running job or a final answer.
//
// To settle a task is to ask its agent for the state of the task. A task that has
// not started is first closed at that agent, so that it can start at another one.
//
// The input is submissions, starts, results, settled tasks, lost agent connections
// and the time; the output is actions: queue a task, settle a task, deliver the
// answer of a job. The package does no I/O and reads no clock. A Table is not safe
// for concurrent use; it belongs to the event loop of the entry.
package jobs
