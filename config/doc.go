// Package config holds the configuration of a deployment: which services and
// request types exist, the quotas of teams, and what each worker may serve. Entries
// on the users' platform use package routes instead.
//
// Input: versions of the configuration. Output: the version in effect, faults,
// differences. State: a Holder owns the version in effect. A Config must not be
// changed after it has been passed to a Holder; a Holder is safe for concurrent
// use, everything else is plain data.
package config
