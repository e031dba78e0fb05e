// Package transport carries wire messages between entries and agents over QUIC
// with mutual TLS.
//
// Input and output: wire messages. State: open connections. A connection has
// one stream for ordered messages, with a bounded send queue, and a separate
// stream for each request with exactly one reply. It detects a lost peer by
// probing when expected messages do not arrive.
package transport
