// Package entry implements an entry, the process that accepts jobs and
// dispatches their tasks to agents. One event loop connects ingress, ownership,
// jobs, admission, queue and placement; the package also holds the connections
// to agents and to other entries.
//
// Its inputs are HTTP requests, QUIC connections and rows of the platform's table
// service; its outputs are answers to callers and messages to agents and other
// entries.
//
// Goroutines and connections are managed here. The decisions are made in
// ownership, jobs, admission, queue and placement, which do no I/O and whose
// state only the event loop uses.
package entry
