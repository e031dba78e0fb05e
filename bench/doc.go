// Package bench runs load scenarios on real entries, agents and stand-in
// backend servers, in one process over loopback sockets, and compares them with
// an ideal dispatcher on the same trace.
//
// Input: a scenario, a seed. Output: a report. State: none between runs. What
// must never happen (double starts, partial answers, incorrect "not run") is
// counted at the backend servers and at the callers, not by the product.
package bench
