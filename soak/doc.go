// Package soak runs the product's programs as processes on one machine against a
// simulated platform, injects random faults that are derived from a seed, and
// checks the product's guarantees as callers and workers observe them.
//
// Input: seeds, programs. Output: violations. State: the processes that it
// started, which it ends by their process IDs.
package soak
