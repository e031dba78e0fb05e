// Package daemon holds what the daemons share: flags, settings, exit codes,
// signals, and the set-up of credentials, logs, metrics and traces.
//
// Input: arguments and signals. Output: an exit code. State: none.
package daemon
