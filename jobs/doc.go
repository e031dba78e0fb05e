// Package jobs implements the job table of an entry, which maps each key to a
// running job, a final answer, or a tombstone.
//
// The input is submissions, starts, results, settled tasks, lost agent connections
// and the time; the output is actions: queue a task, settle a task, deliver the
// answer of a job. The package does no I/O and reads no clock. A Table is not safe
// for concurrent use; it belongs to the event loop of the entry.
package jobs
