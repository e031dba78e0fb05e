// Package soak runs the programs of the product as processes on one machine
// against stand-ins of the users' platform, injects faults drawn from a seed, and
// checks the promises from what callers and workers see.
//
// Input: seeds, programs. Output: violations. State: the processes it started,
// which it ends by their ids.
package soak
