// Package bench runs load scenarios on real entries, agents and stand-in
// backend servers, in one process over loopback sockets, and compares the
// response times with those of an ideal dispatcher on the same trace.
//
// The input is a scenario and a seed, the output a report. No state is kept
// between runs. Correctness violations (double starts, partial answers, incorrect
// "not run" answers) are counted at the backend servers and at the callers,
// independently of the entries and agents under test.
package bench
