// Package ledger decides at an agent whether a task may start, and records every
// start until its key has expired.
//
// The input is starts, results, settle requests, rosters and the time; the output
// is permission to run, the state of an earlier start, or a refusal. A Ledger
// keeps the started tasks, tombstones, stored results and the members of the
// newest roster. A tombstone is a record that closes a task, or a key with all its
// tasks, so that it can no longer start.
//
// A Ledger does no I/O and is not safe for concurrent use; it belongs to the event
// loop of the agent.
package ledger
