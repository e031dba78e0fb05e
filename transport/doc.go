// Package transport carries wire messages between entries and agents over QUIC
// with mutual TLS.
//
// Input and output: wire messages. State: open connections. A connection has
// one stream for messages in order, with a bounded send ring, and a stream of
// its own for each request that has exactly one reply. It notices on its own
// when a peer has gone silent while traffic was expected.
package transport
