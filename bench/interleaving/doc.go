// Package interleaving tests the scheduler of entries (package dispatch) and the state of
// agents (package runner) against each other in simulated time, under faults of processes,
// connections and workers. Only its tests have content.
//
// Unlike package model, which compares scheduling decisions, the simulation delays,
// reorders and loses what the platform and TCP permit to be delayed, reordered and lost:
// calls to workers overtake each other, cuts hold back what was sent, and events wait in
// slow or frozen processes. It checks that no task runs twice at the same time, that none
// starts on a worker without its required label, and that no worker exceeds its capacity.
package interleaving
