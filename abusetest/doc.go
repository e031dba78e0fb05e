// Package abusetest runs the entry and agent programs as separate processes on loopback
// addresses and connects to each of their listening addresses with clients that send
// too much or never finish. It consists of tests only.
package abusetest
