// Package slope measures what one entry or one agent process costs at a given
// number of connections and tasks, for docs/CAPACITY.md.
//
// Input: addresses and the id of a running process. Output: one JSON object.
// State: its own connections. The processes at the other side of the measured
// one are played by this package: agents that finish tasks after a set time, or
// an entry that starts tasks.
package slope
