// Package entry runs the dispatcher: it wires ingress, ownership, jobs,
// admission, queue and placement around one core loop, and holds the
// connections to agents and to other entries.
//
// Input: HTTP requests, QUIC connections, rows of the platform. Output: answers,
// messages to agents and peers. State: goroutines and connections; decisions
// are in the pure packages, which only the core loop touches.
package entry
