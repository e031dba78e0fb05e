// Package slope measures the CPU time, memory and traffic of one entry or agent
// process at a given number of connections and tasks, for docs/CAPACITY.md.
//
// The input is the addresses and the process id of a running process, the output
// one JSON object. The package simulates the peers of the measured process: agents
// that complete each task after a given time, or an entry that starts tasks. Its
// only state is the connections of these peers.
package slope
