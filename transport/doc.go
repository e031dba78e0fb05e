// Package transport carries wire messages between entries and agents, and among
// entries, over QUIC with mutual TLS.
//
// Input and output: wire messages. State: open connections. A connection has
// one stream for ordered messages, with a bounded send queue, and a separate
// stream for each request with exactly one reply. To detect a lost peer, a
// connection is probed when expected messages do not arrive and when it is idle.
package transport
