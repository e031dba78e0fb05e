// Package ledger decides at an agent whether a task may start, and remembers
// every start for as long as its key is valid.
//
// Input: starts, results, settle requests, rosters and the time. Output: accept,
// the known state, or a refusal. State: started tasks, tombstones, kept results,
// and the members of the newest roster. It does no I/O and is not safe for
// concurrent use; the agent's core loop owns it.
package ledger
