// Package jobs is the job table of an entry: it maps a key to a running job,
// to a finished answer, or to a tombstone.
//
// Input: submissions, starts, results, settled tasks, lost agents, time.
// Output: actions (queue a task, settle a task, deliver the answer of a job).
// State: the job table, finished answers and tombstones. The package does no
// I/O; time is an argument. A Table is not safe for concurrent use; the core
// loop of the entry owns it.
package jobs
