// Package daemon implements the start-up that the daemons have in common: flags,
// settings, exit codes, signal handling, and the set-up of credentials, logs,
// metrics and traces.
//
// Input: arguments and signals. Output: an exit code. State: none.
package daemon
